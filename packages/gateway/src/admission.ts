/**
 * Whether a request is taken: a route, a workspace, a proof of the configuration that is young enough, and room in the
 * workspace's limit over the whole fleet.
 * @module
 */
import { type Clock, Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import type { ConfigurationFollower } from "./configurationFollower.js";
import { CounterKind, type SharedCounters } from "./sharedCounters.js";
import { type CallerHead, QuotaUnit, type Route, type Workspace } from "./types.js";
import type { RouteTable } from "./routeTable.js";

/** A request that was let in. */
export interface Admitted {
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
  readonly known: number;
  readonly room: number;
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
  /** Whether this life is the system's first: there is no use before it that it could not know of. */
  readonly isFirstStart: boolean;
  /** Returns the share of the fleet whose counts are known. */
  readonly getKnownShare: () => number;
  /** Returns a number from 0 to 1, to spread those who come back. */
  readonly getRandom: () => number;
}

const notReadyRetryMs = 500;
/** Most of the room that a life which does not know what was used before it counts as taken. */
const mostSeededShare = 0.9;
/** Share of the slack that is given out; the rest covers delays between instances, and what restarts don't know. */
const usedSlackShare = 0.35;
/** Share of the rest that one restart of the whole fleet may give out again: two of them within a window fit into it. */
const restartSlackShare = 0.5;
const shortestRetryMs = 300;
const percent = 100;

/** Decides on requests. */
export class Admission {
  private readonly seeded = new Set<string>();

  private constructor(private readonly options: AdmissionOptions) {}

  static create(options: AdmissionOptions): Admission {
    return new Admission(options);
  }

  /** Finds route and workspace. Fails with `NotReady`, `UnknownRoute` or `Unauthorized`. */
  admit(host: string, target: string, head: CallerHead): Result<Admitted, Failure> {
    const { follower } = this.options;
    const table = follower.getTable();
    const isProven = follower.isProven();
    const notReady = Err(Failure.create(FailureCode.NotReady, {}, notReadyRetryMs));
    if (!table) return notReady;
    const route = table.findRoute(host, target);
    // Without a proof, a newer configuration may hold what this one does not.
    if (!route) return isProven ? Err(Failure.create(FailureCode.UnknownRoute)) : notReady;
    if (route.isPublic || !table.hasWorkspaces) {
      const workspace = head.key === undefined ? undefined : table.findWorkspace(head.key);
      return Ok({ route, table, workspace });
    }
    if (!isProven) return notReady;
    const workspace = head.key === undefined ? undefined : table.findWorkspace(head.key);
    if (!workspace) return Err(Failure.create(FailureCode.Unauthorized));
    return Ok({ route, table, workspace });
  }

  /** Units that a request counts for. */
  getCost(workspace: Workspace, head: CallerHead): number {
    if (workspace.unit === QuotaUnit.Requests) return 1;
    if (head.promptTokens === undefined) return workspace.plainTokens;
    return head.promptTokens + (head.outputTokens ?? 0);
  }

  /** Takes units of a workspace's limit; fails with `QuotaSpent`. */
  takeQuota(workspace: Workspace, cost: number): Result<void, Failure> {
    const { counters } = this.options;
    if (workspace.ratePerSecond <= 0) return Ok(undefined);
    // Instances that may be serving unheard keep their parts, so that the parts of all add up to the limit.
    const share = this.options.getKnownShare();
    const room = this.getRoom(workspace, share);
    this.prepareLimit(workspace, share);
    const level = counters.getSum(CounterKind.Quota, workspace.name);
    // A request larger than the room is let in when nothing else is.
    const excess = level === 0 ? 0 : level + cost - room;
    if (excess > 0) {
      const wait = counters.getTimeUntilFreed(CounterKind.Quota, workspace.name, excess);
      const values = {
        workspace: workspace.name,
        limit: workspace.ratePerSecond,
        level: Math.round(level),
        room: Math.round(room),
        share: Math.round(share * percent),
      };
      // Others wait for the same room: coming back a little later spares being refused again.
      const retryAfter = shortestRetryMs + wait * (1 + this.options.getRandom());
      return Err(Failure.create(FailureCode.QuotaSpent, values, retryAfter));
    }
    counters.add(CounterKind.Quota, workspace.name, cost);
    return Ok(undefined);
  }

  /** Returns what is known of a workspace's limit now. */
  getQuotaState(workspace: Workspace): QuotaState {
    const { counters, getKnownShare } = this.options;
    const share = getKnownShare();
    return {
      level: counters.getSum(CounterKind.Quota, workspace.name),
      known: counters.getKnownSum(CounterKind.Quota, workspace.name),
      room: this.getRoom(workspace, share),
      share,
    };
  }

  /** Lets the levels of all limits fall as they should, also of those that no request comes for here. */
  refreshLimits(): void {
    const share = this.options.getKnownShare();
    for (const workspace of this.options.follower.getTable()?.configuration.workspaces ?? []) {
      if (workspace.ratePerSecond > 0) this.prepareLimit(workspace, share);
    }
  }

  private getRoom(workspace: Workspace, share: number): number {
    return (workspace.burst + this.options.quotaSlack * usedSlackShare) * share;
  }

  private prepareLimit(workspace: Workspace, share: number): void {
    this.seedOnce(workspace, share);
    this.options.counters.setRate(workspace.name, workspace.ratePerSecond * share);
  }

  /** Gives units back of a request that did not run. */
  returnQuota(workspace: Workspace, cost: number): void {
    if (workspace.ratePerSecond > 0) this.options.counters.add(CounterKind.Quota, workspace.name, -cost);
  }

  /** A life that is not the first cannot know what was used just before it: it counts most of the room as taken. */
  private seedOnce(workspace: Workspace, share: number): void {
    if (this.seeded.has(workspace.name)) return;
    this.seeded.add(workspace.name);
    const { counters, quotaWindowMs, isFirstStart } = this.options;
    if (isFirstStart || counters.isInformed || counters.getUptime() > quotaWindowMs) return;
    const room = this.getRoom(workspace, share);
    const unknown = this.options.quotaSlack * (1 - usedSlackShare) * restartSlackShare * share;
    const seeded = Math.min(room * mostSeededShare, Math.max(0, room - unknown));
    counters.seed(CounterKind.Quota, workspace.name, seeded);
  }
}
