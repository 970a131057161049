/**
 * Charges requests to the limits of their workspaces, either by this instance's own counts or through the limit's arbiter.
 * Charges are counted by workspace, and logged while at least half of the limit's capacity is taken.
 * @module
 */
import type { Clock, Failure, Logger } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import type { Admission, QuotaDemand, QuotaState } from "./admission.js";
import type { Arbiters } from "./arbiters.js";
import { type GatewayMetrics, QuotaEvent } from "../gatewayMetrics.js";
import { createQuotaCall, QuotaUse } from "../fleet/memberMessages.js";
import { GrantDecision } from "./grantDecision.js";
import type { SharedCounters } from "../counters/sharedCounters.js";
import { CounterKind } from "./counterTypes.js";
import type { Workspace } from "../types.js";

/** Options of quota charging. */
export interface QuotaChargesOptions {
  readonly clock: Clock;
  readonly admission: Admission;
  readonly counters: SharedCounters;
  readonly arbiters: Arbiters;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Milliseconds since a reader last sent the fleet's counts; undefined if none has. */
  readonly getViewAge: () => number | undefined;
}

/** A request to charge. */
export interface ChargeRequest {
  readonly request: string;
  readonly workspace: Workspace;
  /** Units of one run. */
  readonly units: number;
  /** Milliseconds until the request must have its final response. */
  readonly leftMs: number;
  /** Priority of the request's route; if left out, the limit alone decides. */
  readonly rank?: number;
  /** Name of the request's route. */
  readonly route?: string;
}

/** Units charged to a request, once for each of its runs. */
export interface RequestCharge {
  readonly request: string;
  readonly workspace: Workspace;
  /** Units of one run. */
  readonly units: number;
  /** Runs that were charged. */
  runs: number;
  /** Monotonic time at which the last of them was charged. */
  chargedAt: number;
}

/** Units to charge, and until when a decision is needed. */
interface PendingCharge extends QuotaDemand {
  readonly leftMs: number;
}

/** Largest share of a request's remaining time to wait for an arbiter; the rest is left for its run. */
const arbiterWaitShare = 0.5;
/** Share of the capacity from which charges are logged; below it, no counting error can matter. */
const minLoggedShare = 0.5;

/** Charges requests and settles the charges once the requests have ended. */
export class QuotaCharges {
  /** Workspaces with a limit that have gauges, as last configured. */
  private readonly monitored = new Map<string, Workspace>();

  private constructor(private readonly options: QuotaChargesOptions) {}

  static create(options: QuotaChargesOptions): QuotaCharges {
    return new QuotaCharges(options);
  }

  /** Charges a request for its first run. Fails with `QuotaSpent` or `QuotaShareSpent`. */
  async take({
    request,
    workspace,
    units,
    leftMs,
    rank,
    route,
  }: ChargeRequest): Promise<Result<RequestCharge, Failure>> {
    this.registerGauges(workspace);
    const charge: RequestCharge = { request, workspace, units, runs: 0, chargedAt: 0 };
    const pending = { cost: units, use: QuotaUse.First, rank, route, leftMs };
    return (await this.charge(charge, pending)).map(() => charge);
  }

  /**
   * Charges a request for one more run. Fails with `QuotaSpent`. Without this charge, retries of runs whose responses were
   * lost would exceed the limit.
   */
  takeRetry(charge: RequestCharge, leftMs: number): Promise<Result<void, Failure>> {
    return this.charge(charge, { cost: charge.units, use: QuotaUse.Retry, rank: undefined, leftMs });
  }

  /** Settles a charge: units of runs stay taken, units that were charged without a run are refunded. */
  settle({ workspace, units, runs: charged, chargedAt }: RequestCharge, runs: number): void {
    const { admission, metrics } = this.options;
    if (runs > 0) metrics.countQuota(workspace.name, QuotaEvent.Run, units * runs);
    if (charged <= runs) return;
    const unused = units * (charged - runs);
    metrics.countQuota(workspace.name, QuotaEvent.Returned, unused);
    admission.refundQuota(workspace, unused, chargedAt);
  }

  private async charge(charge: RequestCharge, pending: PendingCharge): Promise<Result<void, Failure>> {
    const { clock, metrics } = this.options;
    const { workspace, units } = charge;
    const taken = await this.decide(charge, pending);
    metrics.countQuota(workspace.name, taken.isOk() ? QuotaEvent.Charged : QuotaEvent.Refused, units);
    if (taken.isErr()) return taken;
    charge.runs += 1;
    charge.chargedAt = clock.getTime();
    this.logTaken(charge);
    return taken;
  }

  /** Decides locally if this instance is the arbiter or its own counts suffice; otherwise calls the limit's arbiter. */
  private async decide(charge: RequestCharge, pending: PendingCharge): Promise<Result<void, Failure>> {
    const { admission, arbiters } = this.options;
    const { workspace, units } = charge;
    if (workspace.ratePerSecond <= 0) return Ok(undefined);
    if (arbiters.isOwnSubject(workspace.name)) return admission.takeQuota(workspace, pending);
    const refusal = admission.findRefusal(workspace, pending);
    if (refusal) return Err(refusal);
    if (admission.tryTakeUnreported(workspace, units)) return Ok(undefined);
    return this.callArbiter(charge, pending);
  }

  /**
   * Calls the arbiter. The units are counted before the call, so that no report contains less than was granted; if the reply
   * is lost, the arbiter counts too much until the next report.
   */
  private async callArbiter(charge: RequestCharge, pending: PendingCharge): Promise<Result<void, Failure>> {
    const { admission, arbiters, counters, metrics } = this.options;
    const { request, workspace, units } = charge;
    const { name } = workspace;
    const { use, rank, route, leftMs } = pending;
    admission.addQuota(workspace, units);
    const total = counters.getOwnTotal(CounterKind.Quota, name);
    const uptime = Math.round(counters.getUptime());
    const call = { workspace: name, total, uptime, use, ...(rank !== undefined && { rank, route, units }) };
    const reply = await arbiters.call(createQuotaCall(call), leftMs * arbiterWaitShare);
    const decision = reply.isOk() ? reply.value.word : GrantDecision.Unknown;
    metrics.countQuotaCall(GrantDecision[decision]);
    this.options.logger.debug("quota.asked", {
      request,
      workspace: name,
      units,
      total,
      word: GrantDecision[decision],
      level: reply.isOk() ? reply.value.level : undefined,
      rank,
      waitMs: reply.isOk() ? reply.value.waitMs : undefined,
    });
    const isGranted = decision === GrantDecision.Granted;
    if (!isGranted) admission.addQuota(workspace, -units);
    if (reply.isErr()) return admission.takeWithoutArbiter(workspace, units, rank);
    counters.applyLevel(name, reply.value.level, total, isGranted);
    if (isGranted) return Ok(undefined);
    const { waitMs } = reply.value;
    if (waitMs === undefined) return Err(admission.createRefusal(workspace, pending));
    return Err(admission.createShareRefusal(workspace, rank, waitMs));
  }

  private registerGauges(workspace: Workspace): void {
    const { name, ratePerSecond } = workspace;
    if (ratePerSecond <= 0) return;
    const isRegistered = this.monitored.has(name);
    this.monitored.set(name, workspace);
    if (isRegistered) return;
    const { admission, metrics } = this.options;
    const getState = (): QuotaState => admission.getQuotaState(this.monitored.get(name) ?? workspace);
    metrics.registerQuotaGauges(name, {
      getLevel: () => getState().level,
      getCapacity: () => getState().capacity,
    });
  }

  private logTaken({ request, workspace, units }: RequestCharge): void {
    if (workspace.ratePerSecond <= 0) return;
    const { level, knownLevel, capacity, share } = this.options.admission.getQuotaState(workspace);
    if (level < capacity * minLoggedShare) return;
    const viewAge = this.options.getViewAge();
    this.options.logger.debug("quota.taken", {
      request,
      workspace: workspace.name,
      units,
      level: Math.round(level),
      known: Math.round(knownLevel),
      room: Math.round(capacity),
      share,
      viewAgeMs: viewAge && Math.round(viewAge),
    });
  }
}
