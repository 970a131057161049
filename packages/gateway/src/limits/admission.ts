/**
 * Decides whether a request is admitted. It needs a route, a workspace, a sufficiently recent proof that the configuration
 * is current, and free capacity in the workspace's limit over the whole fleet.
 *
 * A limit is a leaky bucket. Its level rises with the units that requests take and falls at the limit's rate; its capacity
 * is the level up to which units may be taken. For each limit one instance, its arbiter, decides for the whole fleet.
 * @module
 */
import { type Clock, Failure, FailureCode } from "@gladewall/kernel";
import { getIncarnationKey, type PeerIdentity } from "@gladewall/coordination";
import { Err, Ok, type Result } from "ts-results-es";
import type { ConfigurationFollower } from "../configuration/configurationFollower.js";
import { arbiterTakeoverMs, ArbiterTerms } from "./arbiterTerms.js";
import { type QuotaReply, type QuotaCall, QuotaUse } from "../fleet/memberMessages.js";
import { GrantDecision } from "./grantDecision.js";
import { LargestRequests } from "../largestRequests.js";
import type { LimitOrders } from "./limitOrders.js";
import { getAllowances, type QuotaAllowances } from "./quotaAllowances.js";
import { createLimitFailure, createShareFailure, getExcess, type QuotaCheck } from "./quotaRefusals.js";
import type { SharedCounters } from "../counters/sharedCounters.js";
import { CounterKind } from "./counterTypes.js";
import { type CallerRequestHead, QuotaUnit, type Route, type Workspace } from "../types.js";
import type { RouteTable } from "../configuration/routeTable.js";

/** Route, routing table and workspace of an admitted request. */
export interface AdmittedRequest {
  readonly route: Route;
  readonly table: RouteTable;
  /** Undefined if the request has no known key and needs none: the route is public, or there are no workspaces. */
  readonly workspace: Workspace | undefined;
}

/** State of one workspace's limit, as far as this instance knows. */
export interface QuotaState {
  /** Units taken, with those that the fleet is expected to have taken since the last view. */
  readonly level: number;
  /** Units taken, without the expected ones. */
  readonly knownLevel: number;
  readonly capacity: number;
  /** Share of the fleet whose counts are known, 0 to 1. */
  readonly share: number;
}

/** Units that a request wants of a limit. */
export interface QuotaDemand {
  readonly cost: number;
  /** Units of the request alone, if the cost includes units that its instance has not reported yet; the cost if left out. */
  readonly units?: number;
  readonly use: QuotaUse;
  /** Priority of the request's route; undefined for retries of admitted requests, which the limit alone decides. */
  readonly rank: number | undefined;
  /** Name of the request's route; undefined if it is not known. */
  readonly route?: string | undefined;
}

/** Options of admission. */
export interface AdmissionOptions {
  readonly clock: Clock;
  readonly follower: ConfigurationFollower;
  readonly counters: SharedCounters;
  /** Length of the window that limits are counted over. */
  readonly quotaWindowMs: number;
  /** Units by which the fleet may exceed a limit once. */
  readonly quotaSlack: number;
  /** Share of a limit by which the fleet may exceed it; 0 if omitted. */
  readonly quotaOvershoot?: number;
  /** Returns the number of instances; 1 if omitted. */
  readonly getFleetSize?: () => number;
  /** Whether the system starts for the first time, so that there is no earlier usage that this process can't know of. */
  readonly isFirstStart: boolean;
  /** Returns the share of the fleet whose counts are known. */
  readonly getKnownShare: () => number;
  /** Returns a number from 0 to 1, to spread the times at which refused callers retry. */
  readonly getRandom: () => number;
  /** Order of the requests inside a limit; without it, the limit alone decides. */
  readonly orders?: LimitOrders;
}

const notReadyRetryMs = 500;
/** Largest share of the capacity that a new process counts as taken if it does not know the usage before its start. */
const maxAssumedShare = 0.9;
/**
 * Share of the capacity that may be taken while the arbiter does not reply: a workspace at its base load is served, a surge
 * is not.
 */
const fallbackShare = 0.25;
/** Share of the capacity up to which units are taken without calling the arbiter. */
const localGrantShare = 0.5;
const millisecondsPerSecond = 1_000;

/** Admits requests and keeps the levels of limits. */
export class Admission {
  /** Largest known share of the fleet for which prior usage of a limit was assumed, by workspace. */
  private readonly assumedShares = new Map<string, number>();
  private readonly largest: LargestRequests;
  /** Time in which this instance has been the arbiter of a limit without a pause, by workspace. */
  private readonly arbiterTerms: ArbiterTerms;

  private constructor(private readonly options: AdmissionOptions) {
    this.largest = LargestRequests.create(options.clock);
    this.arbiterTerms = ArbiterTerms.create(options.clock);
  }

  static create(options: AdmissionOptions): Admission {
    return new Admission(options);
  }

  /** Finds the route and the workspace. Fails with `NotReady`, `UnknownRoute` or `Unauthorized`. */
  admit(host: string, target: string, head: CallerRequestHead): Result<AdmittedRequest, Failure> {
    const { follower } = this.options;
    const table = follower.getTable();
    const isProven = follower.hasFreshProof();
    const notReady = Err(Failure.create(FailureCode.NotReady, {}, notReadyRetryMs));
    if (!table) return notReady;
    const route = table.findRoute(host, target);
    // Without a recent proof, a newer configuration may hold a route that this one lacks.
    if (!route) return isProven ? Err(Failure.create(FailureCode.UnknownRoute)) : notReady;
    if (route.isPublic || !table.hasWorkspaces) {
      const workspace = head.key === undefined ? undefined : table.findWorkspaceByKey(head.key);
      return Ok({ route, table, workspace });
    }
    if (!isProven) return notReady;
    const workspace = head.key === undefined ? undefined : table.findWorkspaceByKey(head.key);
    if (!workspace) return Err(Failure.create(FailureCode.Unauthorized));
    return Ok({ route, table, workspace });
  }

  /** Returns the units that a request is charged. */
  getCost(workspace: Workspace, head: CallerRequestHead): number {
    if (workspace.unit === QuotaUnit.Requests) return 1;
    if (head.promptTokens === undefined) return workspace.defaultTokenCost;
    return head.promptTokens + (head.outputTokens ?? 0);
  }

  /**
   * Takes units of a workspace's limit by the counts that this instance knows, as its arbiter; fails with `QuotaSpent` or
   * `QuotaShareSpent`.
   */
  takeQuota(workspace: Workspace, demand: QuotaDemand): Result<void, Failure> {
    if (workspace.ratePerSecond <= 0) return Ok(undefined);
    const taking = this.createTaking(workspace, demand, 1);
    const wait = this.decideOrderWait(taking, demand);
    if (wait !== undefined) return Err(this.createShareRefusal(workspace, demand.rank, wait));
    return this.takeIfAvailable(taking);
  }

  /** Takes units while the limit's arbiter does not reply, which is only allowed while the level is low. */
  takeWithoutArbiter(workspace: Workspace, cost: number, rank?: number): Result<void, Failure> {
    return this.takeIfAvailable(
      this.createTaking(workspace, { cost, use: QuotaUse.First, rank }, fallbackShare),
    );
  }

  /**
   * Returns the refusal if the limit is exhausted as far as is known here; undefined if there may be free capacity. Where the order
   * inside the limit applies to several ranks, only a level or a request beyond the capacity is refused here, and the arbiter decides
   * otherwise: it has to know the demand of every rank, and its level is newer. A call counts the request's units until the reply
   * arrives; units of any size would make the counts inexact.
   */
  findRefusal(workspace: Workspace, demand: QuotaDemand): Failure | undefined {
    const check = this.createCheck(workspace, demand);
    if (getExcess(check) <= 0) return undefined;
    const { orders } = this.options;
    const isOrdered = orders?.appliesTo(demand.rank) && this.largest.hasSeveralRanks(workspace.name);
    const canFit = check.cost <= check.bound;
    if (isOrdered && canFit && getExcess({ ...check, needed: 0 }) <= 0) return undefined;
    return this.createLimitFailure(check);
  }

  /** Returns the refusal for units that the limit's arbiter did not grant. */
  createRefusal(workspace: Workspace, demand: QuotaDemand): Failure {
    return this.createLimitFailure(this.createCheck(workspace, demand));
  }

  /** Returns the refusal for a rank whose share of the limit has room after `waitMs`. */
  createShareRefusal(workspace: Workspace, rank: number | undefined, waitMs: number): Failure {
    const { getRandom } = this.options;
    return createShareFailure({ workspace, rank, waitMs, ...this.getQuotaState(workspace), getRandom });
  }

  /** Compares units to be taken with the limit's state; the level includes what the fleet is expected to have taken meanwhile. */
  private createTaking(
    workspace: Workspace,
    demand: QuotaDemand,
    boundShare: number,
    margin = 0,
  ): QuotaCheck {
    // Instances whose counts are unknown may be serving, so their shares are left to them: all shares add up to the limit.
    const share = this.prepareLimit(workspace);
    const level = this.options.counters.getSum(CounterKind.Quota, workspace.name);
    const bound = this.getCapacity(workspace, share, demand.use) * boundShare - margin;
    const needed = this.getRequired(workspace, demand, bound);
    return { workspace, cost: demand.cost, needed, level, bound, share };
  }

  private createCheck(workspace: Workspace, demand: QuotaDemand): QuotaCheck {
    const share = this.prepareLimit(workspace);
    const level = this.options.counters.getKnownSum(CounterKind.Quota, workspace.name);
    const bound = this.getCapacity(workspace, share, demand.use);
    const needed = this.getRequired(workspace, demand, bound);
    return { workspace, cost: demand.cost, needed, level, bound, share };
  }

  /**
   * Asks the order inside the limit about a request that the limit itself admits, and tells it of one that the limit refuses.
   * Returns the wait if the order refuses.
   */
  private decideOrderWait(
    taking: QuotaCheck,
    { rank, route, cost, units = cost }: QuotaDemand,
  ): number | undefined {
    const { workspace, level, bound, share } = taking;
    const { orders, counters } = this.options;
    const excess = getExcess(taking);
    const { name } = workspace;
    const ratePerSecond = workspace.ratePerSecond * share;
    const limitWaitMs = excess > 0 ? counters.getTimeUntilFreed(CounterKind.Quota, name, excess) : undefined;
    const request = { workspace: name, rank, route, units, level, capacity: bound, ratePerSecond };
    return orders?.decideWait(request, limitWaitMs);
  }

  /**
   * Takes units that no peer learns of before the next report; returns false if this instance's part of the allowance for
   * unreported units is used up. Without that bound, all instances would take the same free capacity when a surge begins.
   */
  tryTakeUnreported(workspace: Workspace, cost: number): boolean {
    const { counters, getFleetSize } = this.options;
    const { unreported } = this.getAllowances(workspace);
    const { knownLevel, capacity } = this.getQuotaState(workspace);
    // Only short requests fit into the allowance: near an exhausted limit they would take the units that long ones wait for.
    if (knownLevel + cost > capacity * localGrantShare) return false;
    if (
      counters.getUnreported(CounterKind.Quota, workspace.name) + cost >
      unreported / (getFleetSize?.() ?? 1)
    )
      return false;
    this.addQuota(workspace, cost);
    return true;
  }

  /** Counts units as taken. */
  addQuota(workspace: Workspace, cost: number): void {
    this.options.counters.add(CounterKind.Quota, workspace.name, cost);
  }

  /** Decides as the arbiter of a limit whether a peer's total of taken units may rise to the one in its call. */
  decideForPeer(peer: PeerIdentity, call: QuotaCall): QuotaReply {
    const { counters, follower, orders } = this.options;
    const { workspace: name, total, uptime, use, rank, units } = call;
    const route = typeof call.route === "string" ? call.route : undefined;
    const workspace = follower.getTable()?.findWorkspaceByName(name);
    if (!workspace) return { word: GrantDecision.Unknown, level: 0 };
    if (!Number.isFinite(total)) return { word: GrantDecision.Refused, level: this.getKnownLevel(name) };
    const margin = this.getTakeoverMargin(workspace);
    const peerTotal = { peer: peer.name, life: getIncarnationKey(peer), uptime, name, total };
    let waitMs: number | undefined;
    const hasUnits = units !== undefined && units > 0 && units <= total;
    if (hasUnits && orders?.appliesTo(rank)) {
      counters.lowerTotal({ ...peerTotal, total: total - units });
    }
    const decision = counters.applyTotal(peerTotal, (cost) => {
      if (workspace.ratePerSecond <= 0) return true;
      const ownUnits = hasUnits ? Math.min(cost, units) : cost;
      const demand = { cost, units: ownUnits, use, rank, route };
      const taking = this.createTaking(workspace, demand, 1, margin);
      waitMs = this.decideOrderWait(taking, demand);
      return waitMs === undefined && getExcess(taking) <= 0;
    });
    return {
      word: decision,
      level: this.getKnownLevel(name),
      ...(waitMs !== undefined && { waitMs: Math.round(waitMs) }),
    };
  }

  /**
   * Returns the units that a previous arbiter may have granted and that are not reported yet. Without this margin, several
   * arbiters that fail one after the other would grant more than the limit allows.
   */
  private getTakeoverMargin({ name, ratePerSecond }: Workspace): number {
    const termMs = this.arbiterTerms.recordCall(name);
    // The usage that a new process assumes already includes this margin.
    if (termMs >= arbiterTakeoverMs || !this.options.counters.knowsHistory) return 0;
    return (ratePerSecond * arbiterTakeoverMs) / millisecondsPerSecond;
  }

  private getKnownLevel(name: string): number {
    return Math.round(this.options.counters.getKnownSum(CounterKind.Quota, name));
  }

  /** Returns the units that must be free to admit a request. */
  private getRequired(
    { name: workspace }: Workspace,
    { cost, units = cost, rank }: QuotaDemand,
    bound: number,
  ): number {
    const request = this.options.orders?.appliesTo(rank) ? { rank, units } : { rank: undefined, units: cost };
    return this.largest.getRequired({ workspace, ...request, cost, bound });
  }

  private takeIfAvailable(taking: QuotaCheck): Result<void, Failure> {
    if (getExcess(taking) > 0) return Err(this.createLimitFailure(taking));
    this.addQuota(taking.workspace, taking.cost);
    return Ok(undefined);
  }

  private createLimitFailure(check: QuotaCheck): Failure {
    return createLimitFailure(check, this.options.counters, this.options.getRandom);
  }

  /** Returns the current state of a workspace's limit. */
  getQuotaState(workspace: Workspace): QuotaState {
    const { counters, getKnownShare } = this.options;
    const share = getKnownShare();
    return {
      level: counters.getSum(CounterKind.Quota, workspace.name),
      knownLevel: counters.getKnownSum(CounterKind.Quota, workspace.name),
      capacity: this.getCapacity(workspace, share, QuotaUse.First),
      share,
    };
  }

  /** Sets the rates at which all levels fall, including those of limits for which this instance gets no requests. */
  updateDrainRates(): void {
    this.options.orders?.dropIdle();
    for (const workspace of this.options.follower.getTable()?.configuration.workspaces ?? []) {
      if (workspace.ratePerSecond > 0) this.prepareLimit(workspace);
    }
  }

  private getAllowances(workspace: Workspace): QuotaAllowances {
    const { quotaSlack: slack, quotaOvershoot: overshoot = 0, quotaWindowMs: windowMs } = this.options;
    return getAllowances(workspace, { slack, overshoot, windowMs });
  }

  private getCapacity(workspace: Workspace, share: number, use: QuotaUse): number {
    const { extraBurst, retries } = this.getAllowances(workspace);
    const retryCapacity = use === QuotaUse.Retry ? retries : 0;
    return (workspace.burst + extraBurst + retryCapacity) * share;
  }

  /** Sets the rate at which a limit's level falls; returns the share of the fleet whose counts are known. */
  private prepareLimit(workspace: Workspace): number {
    const share = this.options.getKnownShare();
    this.assumePriorUse(workspace, share);
    this.options.counters.setRate(workspace.name, workspace.ratePerSecond * share);
    return share;
  }

  /** Refunds units that were charged at the given time for a request that did not run. */
  refundQuota(workspace: Workspace, cost: number, chargedAt: number): void {
    if (workspace.ratePerSecond > 0) this.options.counters.refund(workspace.name, cost, chargedAt);
  }

  /**
   * Counts most of the capacity as taken, because a process that does not belong to the system's first start can't know the
   * usage just before it. A process that has done so for its own share does it again once it knows more of the fleet;
   * otherwise new readers would grant many times the rate after a restart of the whole fleet.
   */
  private assumePriorUse(workspace: Workspace, share: number): void {
    const { name } = workspace;
    if (share <= (this.assumedShares.get(name) ?? 0)) return;
    this.assumedShares.set(name, share);
    const { counters, quotaWindowMs, isFirstStart } = this.options;
    if (isFirstStart || counters.knowsHistory || counters.getUptime() > quotaWindowMs) return;
    const capacity = this.getCapacity(workspace, share, QuotaUse.First);
    const unknown = this.getAllowances(workspace).restart * share;
    const assumed = Math.min(capacity * maxAssumedShare, Math.max(0, capacity - unknown));
    if (counters.getKnownSum(CounterKind.Quota, name) >= assumed) return;
    counters.assumePriorUse(CounterKind.Quota, name, assumed);
  }
}
