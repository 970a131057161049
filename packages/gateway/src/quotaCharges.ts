/**
 * Charges of requests to the limits of their workspaces, and what became of them: counted by workspace, and logged where
 * little of a limit is left.
 * @module
 */
import type { Clock, Failure, Logger } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import type { Admission, QuotaState } from "./admission.js";
import type { Arbiters } from "./arbiters.js";
import { type GatewayMetrics, QuotaEvent } from "./gatewayMetrics.js";
import { createQuotaCall, QuotaUse, GrantDecision } from "./memberMessages.js";
import { CounterKind, type SharedCounters } from "./sharedCounters.js";
import type { Workspace } from "./types.js";

/** Options of the charges. */
export interface QuotaChargesOptions {
  readonly clock: Clock;
  readonly admission: Admission;
  readonly counters: SharedCounters;
  readonly arbiters: Arbiters;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Milliseconds since a reader told what the fleet has taken; undefined where none did. */
  readonly getViewAge: () => number | undefined;
}

/** A request that is to be charged. */
export interface ChargeRequest {
  readonly request: string;
  readonly workspace: Workspace;
  /** Units of one run. */
  readonly units: number;
  /** Time until the request must have its final answer. */
  readonly leftMs: number;
}

/** What a request was charged: its units once for each of its runs. */
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

/** Of the time that a request has left, an arbiter is waited for this share at most: the rest is for its run. */
const arbiterWaitShare = 0.5;
/** Share of the room from which on charges are logged: below it, no error of the count can matter. */
const minLoggedShare = 0.5;

/** Charges requests. */
export class QuotaCharges {
  /** Limited workspaces that were charged, as the configuration last had them. */
  private readonly monitored = new Map<string, Workspace>();

  private constructor(private readonly options: QuotaChargesOptions) {}

  static create(options: QuotaChargesOptions): QuotaCharges {
    return new QuotaCharges(options);
  }

  /** Charges a request for its first run; fails with `QuotaSpent`. */
  async take({ request, workspace, units, leftMs }: ChargeRequest): Promise<Result<RequestCharge, Failure>> {
    this.registerGauges(workspace);
    const charge: RequestCharge = { request, workspace, units, runs: 0, chargedAt: 0 };
    return (await this.charge(charge, QuotaUse.First, leftMs)).map(() => charge);
  }

  /**
   * Charges a request for one more run; fails with `QuotaSpent`. Uncharged, runs whose answers are lost would go beyond the
   * limit.
   */
  takeRetry(charge: RequestCharge, leftMs: number): Promise<Result<void, Failure>> {
    return this.charge(charge, QuotaUse.Retry, leftMs);
  }

  /** Ends a charge: what ran stays taken, what was charged and did not run is given back. */
  settle({ workspace, units, runs: charged, chargedAt }: RequestCharge, runs: number): void {
    const { admission, metrics } = this.options;
    if (runs > 0) metrics.countQuota(workspace.name, QuotaEvent.Run, units * runs);
    if (charged <= runs) return;
    const unused = units * (charged - runs);
    metrics.countQuota(workspace.name, QuotaEvent.Returned, unused);
    admission.refundQuota(workspace, unused, chargedAt);
  }

  private async charge(charge: RequestCharge, use: QuotaUse, leftMs: number): Promise<Result<void, Failure>> {
    const { clock, metrics } = this.options;
    const { workspace, units } = charge;
    const taken = await this.decide(charge, use, leftMs);
    metrics.countQuota(workspace.name, taken.isOk() ? QuotaEvent.Charged : QuotaEvent.Refused, units);
    if (taken.isErr()) return taken;
    charge.runs += 1;
    charge.chargedAt = clock.getTime();
    this.logTaken(charge);
    return taken;
  }

  /** Decides here where that is right or enough, else asks the arbiter of the limit. */
  private async decide(charge: RequestCharge, use: QuotaUse, leftMs: number): Promise<Result<void, Failure>> {
    const { admission, arbiters } = this.options;
    const { workspace, units } = charge;
    if (workspace.ratePerSecond <= 0) return Ok(undefined);
    if (arbiters.isOwnSubject(workspace.name)) return admission.takeQuota(workspace, units, use);
    const refusal = admission.findRefusal(workspace, units, use);
    if (refusal) return Err(refusal);
    if (admission.tryTakeUnreported(workspace, units)) return Ok(undefined);
    return this.callArbiter(charge, use, leftMs * arbiterWaitShare);
  }

  /**
   * Asks the arbiter. The units are counted before the question leaves, so that no report tells less than was granted; an
   * answer that is lost leaves the arbiter with too much until the next report.
   */
  private async callArbiter(
    charge: RequestCharge,
    use: QuotaUse,
    waitMs: number,
  ): Promise<Result<void, Failure>> {
    const { admission, arbiters, counters, metrics } = this.options;
    const { request, workspace, units } = charge;
    const { name } = workspace;
    admission.addQuota(workspace, units);
    const total = counters.getOwnTotal(CounterKind.Quota, name);
    const uptime = Math.round(counters.getUptime());
    const answer = await arbiters.call(createQuotaCall({ workspace: name, total, uptime, use }), waitMs);
    const word = answer.isOk() ? answer.value.word : GrantDecision.Unknown;
    metrics.countQuotaCall(GrantDecision[word]);
    this.options.logger.debug("quota.asked", {
      request,
      workspace: name,
      units,
      total,
      word: GrantDecision[word],
      level: answer.isOk() ? answer.value.level : undefined,
    });
    const isGranted = word === GrantDecision.Granted;
    if (!isGranted) admission.addQuota(workspace, -units);
    if (answer.isErr()) return admission.takeWithoutArbiter(workspace, units);
    counters.applyLevel(name, answer.value.level, total, isGranted);
    return isGranted ? Ok(undefined) : Err(admission.createRefusal(workspace, units, use));
  }

  private registerGauges(workspace: Workspace): void {
    const { name, ratePerSecond } = workspace;
    if (ratePerSecond <= 0) return;
    const isShown = this.monitored.has(name);
    this.monitored.set(name, workspace);
    if (isShown) return;
    const { admission, metrics } = this.options;
    const getState = (): QuotaState => admission.getQuotaState(this.monitored.get(name) ?? workspace);
    metrics.registerQuotaGauges(name, {
      getLevel: () => getState().level,
      getCapacity: () => getState().capacity,
    });
  }

  private logTaken({ request, workspace, units }: RequestCharge): void {
    if (workspace.ratePerSecond <= 0) return;
    const {
      level,
      knownLevel: known,
      capacity: room,
      share,
    } = this.options.admission.getQuotaState(workspace);
    if (level < room * minLoggedShare) return;
    const viewAge = this.options.getViewAge();
    this.options.logger.debug("quota.taken", {
      request,
      workspace: workspace.name,
      units,
      level: Math.round(level),
      known: Math.round(known),
      room: Math.round(room),
      share,
      viewAgeMs: viewAge && Math.round(viewAge),
    });
  }
}
