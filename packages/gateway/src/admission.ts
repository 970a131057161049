/**
 * Whether a request is taken: a route, a tenant, a proof of the configuration that is young enough, and room in the
 * tenant's limit over the whole fleet.
 * @module
 */
import { type Clock, Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import type { ConfigurationFollower } from "./configurationFollower.js";
import { CounterKind, type SharedCounters } from "./sharedCounters.js";
import { type CallerHead, QuotaUnit, type Route, type Tenant } from "./types.js";
import type { RouteTable } from "./routeTable.js";

/** A request that was let in. */
export interface Admitted {
  readonly route: Route;
  readonly table: RouteTable;
  /** Undefined where the route is public and no key came. */
  readonly tenant: Tenant | undefined;
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
/** Share of the room that a life which does not know what was used before it counts as taken. */
const seededShare = 0.9;
/** Share of the slack that is given out; the rest covers delays between nodes. */
const usedSlackShare = 0.35;
const shortestRetryMs = 300;
const percent = 100;

/** Decides on requests. */
export class Admission {
  private readonly seeded = new Set<string>();

  private constructor(private readonly options: AdmissionOptions) {}

  static create(options: AdmissionOptions): Admission {
    return new Admission(options);
  }

  /** Finds route and tenant. Fails with `NotReady`, `UnknownRoute` or `Unauthorized`. */
  admit(host: string, target: string, head: CallerHead): Result<Admitted, Failure> {
    const { follower } = this.options;
    const table = follower.getTable();
    const isProven = follower.isProven();
    const notReady = Err(Failure.create(FailureCode.NotReady, {}, notReadyRetryMs));
    if (!table) return notReady;
    const route = table.findRoute(host, target);
    // Without a proof, a newer configuration may hold what this one does not.
    if (!route) return isProven ? Err(Failure.create(FailureCode.UnknownRoute)) : notReady;
    if (route.isPublic || !table.hasTenants) {
      const tenant = head.key === undefined ? undefined : table.findTenant(head.key);
      return Ok({ route, table, tenant });
    }
    if (!isProven) return notReady;
    const tenant = head.key === undefined ? undefined : table.findTenant(head.key);
    if (!tenant) return Err(Failure.create(FailureCode.Unauthorized));
    return Ok({ route, table, tenant });
  }

  /** Units that a request counts for. */
  getCost(tenant: Tenant, head: CallerHead): number {
    if (tenant.unit === QuotaUnit.Requests) return 1;
    if (head.promptTokens === undefined) return tenant.plainTokens;
    return head.promptTokens + (head.outputTokens ?? 0);
  }

  /** Takes units of a tenant's limit; fails with `QuotaSpent`. */
  takeQuota(tenant: Tenant, cost: number): Result<void, Failure> {
    const { counters } = this.options;
    if (tenant.ratePerSecond <= 0) return Ok(undefined);
    // Nodes that may be serving unheard keep their parts, so that the parts of all add up to the limit.
    const share = this.options.getKnownShare();
    const room = this.getRoom(tenant, share);
    this.prepareLimit(tenant, share);
    const level = counters.getSum(CounterKind.Quota, tenant.name);
    // A request larger than the room is let in when nothing else is.
    const excess = level === 0 ? 0 : level + cost - room;
    if (excess > 0) {
      const wait = counters.getTimeUntilFreed(CounterKind.Quota, tenant.name, excess);
      const values = {
        tenant: tenant.name,
        limit: tenant.ratePerSecond,
        level: Math.round(level),
        room: Math.round(room),
        share: Math.round(share * percent),
      };
      // Others wait for the same room: coming back a little later spares being refused again.
      const retryAfter = shortestRetryMs + wait * (1 + this.options.getRandom());
      return Err(Failure.create(FailureCode.QuotaSpent, values, retryAfter));
    }
    counters.add(CounterKind.Quota, tenant.name, cost);
    return Ok(undefined);
  }

  /** Lets the levels of all limits fall as they should, also of those that no request comes for here. */
  refreshLimits(): void {
    const share = this.options.getKnownShare();
    for (const tenant of this.options.follower.getTable()?.configuration.tenants ?? []) {
      if (tenant.ratePerSecond > 0) this.prepareLimit(tenant, share);
    }
  }

  private getRoom(tenant: Tenant, share: number): number {
    return (tenant.burst + this.options.quotaSlack * usedSlackShare) * share;
  }

  private prepareLimit(tenant: Tenant, share: number): void {
    this.seedOnce(tenant, this.getRoom(tenant, share));
    this.options.counters.setRate(tenant.name, tenant.ratePerSecond * share);
  }

  /** Gives units back of a request that did not run. */
  returnQuota(tenant: Tenant, cost: number): void {
    if (tenant.ratePerSecond > 0) this.options.counters.add(CounterKind.Quota, tenant.name, -cost);
  }

  /** A life that is not the first cannot know what was used just before it: it counts the room as taken. */
  private seedOnce(tenant: Tenant, room: number): void {
    if (this.seeded.has(tenant.name)) return;
    this.seeded.add(tenant.name);
    const { counters, quotaWindowMs, isFirstStart } = this.options;
    if (isFirstStart || counters.isInformed || counters.getUptime() > quotaWindowMs) return;
    counters.seed(CounterKind.Quota, tenant.name, room * seededShare);
  }
}
