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
  readonly getFleetSize: () => number;
  readonly getHeardShare: () => number;
}

const notReadyRetryMs = 500;
/** Share of the burst that a life which does not know what was used before it counts as used. */
const seededBurstShare = 0.75;
/** Share of the slack that is used up for delays between nodes. */
const usedSlackShare = 0.1;
const millisecondsPerSecond = 1_000;
const shortestRetryMs = 100;

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
    const { counters, quotaWindowMs } = this.options;
    if (tenant.ratePerSecond <= 0) return Ok(undefined);
    this.seedOnce(tenant);
    const limit = (tenant.ratePerSecond * quotaWindowMs) / millisecondsPerSecond + tenant.burst;
    const used = counters.getSum(CounterKind.Quota, tenant.name);
    const excess = Math.max(used + cost - limit - this.getSlack(), this.getOwnExcess(tenant, cost, limit));
    if (excess > 0) {
      const wait = counters.getTimeUntilFreed(CounterKind.Quota, tenant.name, excess);
      const values = { tenant: tenant.name, limit: tenant.ratePerSecond };
      return Err(Failure.create(FailureCode.QuotaSpent, values, Math.max(shortestRetryMs, wait)));
    }
    counters.add(CounterKind.Quota, tenant.name, cost);
    return Ok(undefined);
  }

  /** Gives units back of a request that did not run. */
  returnQuota(tenant: Tenant, cost: number): void {
    if (tenant.ratePerSecond > 0) this.options.counters.add(CounterKind.Quota, tenant.name, -cost);
  }

  private getSlack(): number {
    return this.options.quotaSlack * usedSlackShare;
  }

  /**
   * Units by which this node alone would be over its part of the limit. Nodes that hear few of the others keep to an
   * equal part, so that the parts of all add up to the limit whoever is cut off from whom.
   */
  private getOwnExcess(tenant: Tenant, cost: number, limit: number): number {
    const { counters, getFleetSize, getHeardShare } = this.options;
    const fleet = getFleetSize();
    const heard = 1 + getHeardShare() * (fleet - 1);
    const part = limit * (heard / fleet) + this.getSlack() / fleet;
    return counters.getOwnSum(CounterKind.Quota, tenant.name) + cost - part;
  }

  /** A life that is not the first cannot know what was used just before it: it counts the limit as used. */
  private seedOnce(tenant: Tenant): void {
    if (this.seeded.has(tenant.name)) return;
    this.seeded.add(tenant.name);
    const { counters, quotaWindowMs, isFirstStart } = this.options;
    if (isFirstStart || counters.isInformed || counters.getUptime() > quotaWindowMs) return;
    const steady = (tenant.ratePerSecond * quotaWindowMs) / millisecondsPerSecond;
    const left = 1 - counters.getUptime() / quotaWindowMs;
    counters.seed(CounterKind.Quota, tenant.name, (steady + tenant.burst * seededBurstShare) * left);
  }
}
