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
import type { ConfigurationFollower } from "./configurationFollower.js";
import { type QuotaReply, type QuotaCall, QuotaUse, GrantDecision } from "./memberMessages.js";
import { getAllowances, type QuotaAllowances } from "./quotaAllowances.js";
import { CounterKind, type SharedCounters } from "./sharedCounters.js";
import { type CallerRequestHead, QuotaUnit, type Route, type Workspace } from "./types.js";
import type { RouteTable } from "./routeTable.js";

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
}

const notReadyRetryMs = 500;
/** Largest share of the capacity that a new process counts as taken if it does not know the usage before its start. */
const maxAssumedShare = 0.9;
/**
 * Share of the capacity that may be taken while the arbiter does not reply: a workspace at its base load is served, a surge
 * is not.
 */
const fallbackShare = 0.25;
/**
 * Time after which all instances have reported what another arbiter granted them: one report interval of a large fleet and
 * the report's transmission.
 */
const arbiterTakeoverMs = 300;
/** After this long without a call, another instance may have acted as arbiter in the meantime. */
const arbiterIdleMs = 1_000;
const millisecondsPerSecond = 1_000;
/**
 * Share of the fleet whose counts must be known to admit a request larger than the capacity; otherwise two halves of a
 * partitioned fleet could each admit one.
 */
const minShareForOversized = 0.5;
/** Share of the capacity up to which units are taken without calling the arbiter. */
const localGrantShare = 0.5;
/** Time for which a request counts as the largest of its workspace. */
const largestRequestTtlMs = 10_000;
/** Largest share of the capacity that is kept free for the largest request. */
const maxLargestShare = 0.25;
const minRetryAfterMs = 300;
const percent = 100;

/** Admits requests and keeps the levels of limits. */
export class Admission {
  /** Largest known share of the fleet for which prior usage of a limit was assumed, by workspace. */
  private readonly assumedShares = new Map<string, number>();
  /** Largest recent request, by workspace. */
  private readonly largest = new Map<string, LargestRequest>();
  /** Time in which this instance has been the arbiter of a limit without a pause, by workspace. */
  private readonly arbiterTerms = new Map<string, ArbiterTerm>();

  private constructor(private readonly options: AdmissionOptions) {}

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

  /** Takes units of a workspace's limit by the counts that this instance knows; fails with `QuotaSpent`. */
  takeQuota(workspace: Workspace, cost: number, use = QuotaUse.First): Result<void, Failure> {
    if (workspace.ratePerSecond <= 0) return Ok(undefined);
    // Instances whose counts are unknown may be serving, so their shares are left to them: all shares add up to the limit.
    const share = this.prepareLimit(workspace);
    const level = this.options.counters.getSum(CounterKind.Quota, workspace.name);
    const bound = this.getCapacity(workspace, share, use);
    const needed = this.getRequired(workspace, cost, bound);
    return this.takeIfAvailable({ workspace, cost, needed, level, bound, share });
  }

  /** Takes units while the limit's arbiter does not reply, which is only allowed while the level is low. */
  takeWithoutArbiter(workspace: Workspace, cost: number): Result<void, Failure> {
    const share = this.prepareLimit(workspace);
    const level = this.options.counters.getSum(CounterKind.Quota, workspace.name);
    const bound = this.getCapacity(workspace, share, QuotaUse.First) * fallbackShare;
    const needed = this.getRequired(workspace, cost, bound);
    return this.takeIfAvailable({ workspace, cost, needed, level, bound, share });
  }

  /** Returns the refusal if the limit is exhausted as far as is known here; undefined if there may be free capacity. */
  findRefusal(workspace: Workspace, cost: number, use: QuotaUse): Failure | undefined {
    const taking = this.createCheck(workspace, cost, use);
    return getExcess(taking) > 0 ? this.createQuotaFailure(taking) : undefined;
  }

  /** Returns the refusal for units that the limit's arbiter did not grant. */
  createRefusal(workspace: Workspace, cost: number, use: QuotaUse): Failure {
    return this.createQuotaFailure(this.createCheck(workspace, cost, use));
  }

  private createCheck(workspace: Workspace, cost: number, use: QuotaUse): QuotaCheck {
    const share = this.prepareLimit(workspace);
    const level = this.options.counters.getKnownSum(CounterKind.Quota, workspace.name);
    const bound = this.getCapacity(workspace, share, use);
    return { workspace, cost, needed: this.getRequired(workspace, cost, bound), level, bound, share };
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
  decideForPeer(peer: PeerIdentity, { workspace: name, total, uptime, use }: QuotaCall): QuotaReply {
    const { counters, follower } = this.options;
    const workspace = follower.getTable()?.findWorkspaceByName(name);
    if (!workspace) return { word: GrantDecision.Unknown, level: 0 };
    const share = this.prepareLimit(workspace);
    const bound = this.getCapacity(workspace, share, use) - this.getTakeoverMargin(workspace);
    const peerTotal = { peer: peer.name, life: getIncarnationKey(peer), uptime, name, total };
    const decision = counters.applyTotal(CounterKind.Quota, peerTotal, (cost) => {
      const level = counters.getSum(CounterKind.Quota, name);
      const needed = this.getRequired(workspace, cost, bound);
      return workspace.ratePerSecond <= 0 || getExcess({ workspace, cost, needed, level, bound, share }) <= 0;
    });
    return { word: decision, level: Math.round(counters.getKnownSum(CounterKind.Quota, name)) };
  }

  /**
   * Returns the units that must be free to admit a request: as many as the workspace's largest recent request needs. If only
   * the request's own units had to be free, hardly any long request would be admitted beside short ones while the limit is
   * exhausted.
   */
  private getRequired({ name }: Workspace, cost: number, bound: number): number {
    const time = this.options.clock.getTime();
    const known = this.largest.get(name);
    const isLargest = !known || cost >= known.units || time - known.at > largestRequestTtlMs;
    if (isLargest) this.largest.set(name, { units: cost, at: time });
    return Math.max(cost, Math.min(isLargest ? cost : known.units, bound * maxLargestShare));
  }

  /**
   * Returns the units that a previous arbiter may have granted and that are not reported yet. Without this margin, several
   * arbiters that fail one after the other would grant more than the limit allows.
   */
  private getTakeoverMargin({ name, ratePerSecond }: Workspace): number {
    const time = this.options.clock.getTime();
    const term = this.arbiterTerms.get(name);
    const since = term && time - term.calledAt <= arbiterIdleMs ? term.since : time;
    this.arbiterTerms.set(name, { since, calledAt: time });
    // The usage that a new process assumes already includes this margin.
    if (!this.options.counters.knowsHistory) return 0;
    return time - since < arbiterTakeoverMs ? (ratePerSecond * arbiterTakeoverMs) / millisecondsPerSecond : 0;
  }

  private takeIfAvailable(taking: QuotaCheck): Result<void, Failure> {
    if (getExcess(taking) > 0) return Err(this.createQuotaFailure(taking));
    this.addQuota(taking.workspace, taking.cost);
    return Ok(undefined);
  }

  private createQuotaFailure(taking: QuotaCheck): Failure {
    const { workspace, level, bound, share } = taking;
    const wait = this.options.counters.getTimeUntilFreed(
      CounterKind.Quota,
      workspace.name,
      Math.max(0, getExcess(taking)),
    );
    const values = {
      workspace: workspace.name,
      limit: workspace.ratePerSecond,
      level: Math.round(level),
      room: Math.round(bound),
      share: Math.round(share * percent),
    };
    // Other callers wait for the same units: a random delay makes it less likely that a retry is refused again.
    const retryAfter = minRetryAfterMs + wait * (1 + this.options.getRandom());
    return Failure.create(FailureCode.QuotaSpent, values, retryAfter);
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

/** The largest recent request of a workspace. */
interface LargestRequest {
  readonly units: number;
  readonly at: number;
}

/** Time in which an instance is the arbiter of a limit, from its first to its last call. */
interface ArbiterTerm {
  readonly since: number;
  readonly calledAt: number;
}

/** Units that are to be taken from a limit, compared with its state. */
interface QuotaCheck {
  readonly workspace: Workspace;
  readonly cost: number;
  /** Units that must be free. */
  readonly needed: number;
  readonly level: number;
  /** Level up to which units may be taken. */
  readonly bound: number;
  readonly share: number;
}

/**
 * Returns the units by which a request exceeds the bound; 0 or less if it fits. A request larger than the bound is admitted
 * while the level is 0, but not by instances that are partitioned from the fleet: each of them knows only its own level.
 */
function getExcess({ needed, level, bound, share }: QuotaCheck): number {
  const isAlone = level === 0 && share >= minShareForOversized;
  return isAlone ? 0 : level + needed - bound;
}
