/**
 * Whether a request is taken: a route, a workspace, a proof of the configuration that is young enough, and room in the
 * workspace's limit over the whole fleet.
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

/** A request that was let in. */
export interface AdmittedRequest {
  readonly route: Route;
  readonly table: RouteTable;
  /** Undefined where the route is public and no key came. */
  readonly workspace: Workspace | undefined;
}

/** What is known of one workspace's limit. */
export interface QuotaState {
  /** Units taken, with those that are foreseen. */
  readonly level: number;
  /** Units taken, without what is foreseen. */
  readonly knownLevel: number;
  readonly capacity: number;
  /** Share of the fleet whose counts are known. */
  readonly share: number;
}

/** Options of admission. */
export interface AdmissionOptions {
  readonly clock: Clock;
  readonly follower: ConfigurationFollower;
  readonly counters: SharedCounters;
  /** Window that limits are counted over. */
  readonly quotaWindowMs: number;
  /** Units beyond a limit that the fleet may have used, once. */
  readonly quotaSlack: number;
  /** Share of a limit that the fleet may have used beyond it; none where it is left out. */
  readonly quotaOvershoot?: number;
  /** Returns the number of instances; one where it is left out. */
  readonly getFleetSize?: () => number;
  /** Whether this life is the system's first: there is no use before it that it could not know of. */
  readonly isFirstStart: boolean;
  /** Returns the share of the fleet whose counts are known. */
  readonly getKnownShare: () => number;
  /** Returns a number from 0 to 1, to spread those who come back. */
  readonly getRandom: () => number;
}

const notReadyRetryMs = 500;
/** Most of the room that a life which does not know what was used before it counts as taken. */
const maxAssumedShare = 0.9;
/** Of the room, as much is taken where the arbiter does not answer: a workspace in calm goes on, a surge does not. */
const fallbackShare = 0.25;
/** Time after which all instances have told what another arbiter granted them: one report of a large fleet, and its way. */
const arbiterTakeoverMs = 300;
/** An arbiter that was not asked for so long may have had another in its place. */
const arbiterIdleMs = 1_000;
const millisecondsPerSecond = 1_000;
/** Share of the fleet that must be heard for a request larger than the room; two halves could each let one in. */
const minShareForOversized = 0.5;
/** Share of the room up to which units are taken untold. */
const localGrantShare = 0.5;
/** A request counts as the largest of its workspace for as long. */
const largestRequestTtlMs = 10_000;
/** Most of the room that is kept for the largest request. */
const maxLargestShare = 0.25;
const minRetryAfterMs = 300;
const percent = 100;

/** Decides on requests. */
export class Admission {
  /** Largest share of the fleet that a limit's level was seeded for, by workspace. */
  private readonly assumedShares = new Map<string, number>();
  /** Largest request of late, by workspace. */
  private readonly largest = new Map<string, LargestRequest>();
  /** Since when this instance has been asked about a limit, and when it was last, by workspace. */
  private readonly arbiterTerms = new Map<string, ArbiterTerm>();

  private constructor(private readonly options: AdmissionOptions) {}

  static create(options: AdmissionOptions): Admission {
    return new Admission(options);
  }

  /** Finds route and workspace. Fails with `NotReady`, `UnknownRoute` or `Unauthorized`. */
  admit(host: string, target: string, head: CallerRequestHead): Result<AdmittedRequest, Failure> {
    const { follower } = this.options;
    const table = follower.getTable();
    const isProven = follower.hasFreshProof();
    const notReady = Err(Failure.create(FailureCode.NotReady, {}, notReadyRetryMs));
    if (!table) return notReady;
    const route = table.findRoute(host, target);
    // Without a proof, a newer configuration may hold what this one does not.
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

  /** Units that a request counts for. */
  getCost(workspace: Workspace, head: CallerRequestHead): number {
    if (workspace.unit === QuotaUnit.Requests) return 1;
    if (head.promptTokens === undefined) return workspace.defaultTokenCost;
    return head.promptTokens + (head.outputTokens ?? 0);
  }

  /** Takes units of a workspace's limit by what is known here; fails with `QuotaSpent`. */
  takeQuota(workspace: Workspace, cost: number, use = QuotaUse.First): Result<void, Failure> {
    if (workspace.ratePerSecond <= 0) return Ok(undefined);
    // Instances that may be serving unheard keep their parts, so that the parts of all add up to the limit.
    const share = this.prepareLimit(workspace);
    const level = this.options.counters.getSum(CounterKind.Quota, workspace.name);
    const bound = this.getCapacity(workspace, share, use);
    const needed = this.getRequired(workspace, cost, bound);
    return this.takeIfAvailable({ workspace, cost, needed, level, bound, share });
  }

  /** Takes units while the arbiter of the limit does not answer: only where little of the limit is taken. */
  takeWithoutArbiter(workspace: Workspace, cost: number): Result<void, Failure> {
    const share = this.prepareLimit(workspace);
    const level = this.options.counters.getSum(CounterKind.Quota, workspace.name);
    const bound = this.getCapacity(workspace, share, QuotaUse.First) * fallbackShare;
    const needed = this.getRequired(workspace, cost, bound);
    return this.takeIfAvailable({ workspace, cost, needed, level, bound, share });
  }

  /** Returns the refusal of what the limit has no room for, as known here; undefined where there may be room. */
  findRefusal(workspace: Workspace, cost: number, use: QuotaUse): Failure | undefined {
    const taking = this.createCheck(workspace, cost, use);
    return getExcess(taking) > 0 ? this.createQuotaFailure(taking) : undefined;
  }

  /** Returns the refusal of what the arbiter of the limit has no room for. */
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
   * Takes units that nobody is told of before the next report; false where this instance's part of what may be untold is
   * used. With no bound, all instances would take the same room at the onset of a surge.
   */
  tryTakeUnreported(workspace: Workspace, cost: number): boolean {
    const { counters, getFleetSize } = this.options;
    const { unreported } = this.getAllowances(workspace);
    const { knownLevel, capacity } = this.getQuotaState(workspace);
    // Only short requests fit into the part: beside a spent limit they would take what long ones wait for.
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

  /** Decides as the arbiter of a limit on what a peer has taken in all. */
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
   * Room that must be left for a request: that of the workspace's largest one of late. By its own size alone, hardly any long
   * request would be let in beside short ones while the limit is spent.
   */
  private getRequired({ name }: Workspace, cost: number, bound: number): number {
    const time = this.options.clock.getTime();
    const known = this.largest.get(name);
    const isLargest = !known || cost >= known.units || time - known.at > largestRequestTtlMs;
    if (isLargest) this.largest.set(name, { units: cost, at: time });
    return Math.max(cost, Math.min(isLargest ? cost : known.units, bound * maxLargestShare));
  }

  /**
   * Units that an arbiter before this one may have granted and that no report has told yet. Without it, arbiters that
   * end in a row would let more than what is allowed run.
   */
  private getTakeoverMargin({ name, ratePerSecond }: Workspace): number {
    const time = this.options.clock.getTime();
    const term = this.arbiterTerms.get(name);
    const since = term && time - term.calledAt <= arbiterIdleMs ? term.since : time;
    this.arbiterTerms.set(name, { since, calledAt: time });
    // What a life that knows nothing before it counts as taken holds this too.
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
    // Others wait for the same room: coming back a little later spares being refused again.
    const retryAfter = minRetryAfterMs + wait * (1 + this.options.getRandom());
    return Failure.create(FailureCode.QuotaSpent, values, retryAfter);
  }

  /** Returns what is known of a workspace's limit now. */
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

  /** Lets the levels of all limits fall as they should, also of those that no request comes for here. */
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

  /** Sets how fast a limit's level falls; returns the share of the fleet whose counts are known. */
  private prepareLimit(workspace: Workspace): number {
    const share = this.options.getKnownShare();
    this.assumePriorUse(workspace, share);
    this.options.counters.setRate(workspace.name, workspace.ratePerSecond * share);
    return share;
  }

  /** Gives units back that were charged at a time, of a request that did not run. */
  refundQuota(workspace: Workspace, cost: number, chargedAt: number): void {
    if (workspace.ratePerSecond > 0) this.options.counters.refund(workspace.name, cost, chargedAt);
  }

  /**
   * A life that is not the first cannot know what was used just before it counts most of the room as taken. One that
   * began with its own part of the room does so again for the whole, or new readers would let many times
   * the rate run after a restart of the whole fleet.
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

/** A request that no larger one has followed. */
interface LargestRequest {
  readonly units: number;
  readonly at: number;
}

/** One span of time in which an instance is the arbiter of a limit. */
interface ArbiterTerm {
  readonly since: number;
  readonly calledAt: number;
}

/** Units that are to be taken of a limit, and what is taken already. */
interface QuotaCheck {
  readonly workspace: Workspace;
  readonly cost: number;
  /** Room that must be left for it. */
  readonly needed: number;
  readonly level: number;
  readonly bound: number;
  readonly share: number;
}

/**
 * Units by which a request exceeds the room. One larger than the room is let in when nothing else is, but not by instances
 * that are cut off: each of them knows only its own level.
 */
function getExcess({ needed, level, bound, share }: QuotaCheck): number {
  const isAlone = level === 0 && share >= minShareForOversized;
  return isAlone ? 0 : level + needed - bound;
}
