/**
 * Applies the order inside a limit to the limits for which this instance is the arbiter, as the overload mode says, and counts and
 * logs its refusals.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import { LimitOrder, type LimitOrderDecision, type LimitRequest } from "@gladewall/policy";
import { OverloadMode, type OverloadSwitch } from "../overloadSwitch.js";

/** Options of the orders. */
export interface LimitOrdersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly overload: Pick<OverloadSwitch, "mode">;
  /** Counts a refusal; in mode `Observe` the request was not refused. */
  readonly countRefusal: (workspace: string, rank: number, mode: OverloadMode) => void;
}

/** A request that the order decides on; calls of earlier builds have no rank. */
export interface OrderedRequest extends Omit<LimitRequest, "rank"> {
  readonly workspace: string;
  readonly rank: number | undefined;
}

/** The orders by workspace. */
export class LimitOrders {
  private readonly orders = new Map<string, LimitOrder>();

  private constructor(private readonly options: LimitOrdersOptions) {}

  static create(options: LimitOrdersOptions): LimitOrders {
    return new LimitOrders(options);
  }

  /** Whether the order decides on a request with this rank. */
  appliesTo(rank: number | undefined): boolean {
    return rank !== undefined && this.options.overload.mode === OverloadMode.On;
  }

  /**
   * Decides on a request that the limit itself admits or, with `limitWaitMs`, refuses until that time has passed. Returns the
   * milliseconds until the route's share has room if the share is used up, and undefined if the limit alone decides.
   */
  decideWait({ workspace, rank, ...request }: OrderedRequest, limitWaitMs?: number): number | undefined {
    const { mode } = this.options.overload;
    if (mode === OverloadMode.Off) return undefined;
    // A request of no units takes nothing of a share; a peer's message may hold any number.
    if (!(request.units > 0)) return undefined;
    const order = this.getOrder(workspace);
    if (rank === undefined || !Number.isFinite(rank)) {
      if (limitWaitMs === undefined) order.recordUnranked(request.units);
      return undefined;
    }
    const ranked = { rank, ...request };
    const decision = limitWaitMs === undefined ? order.decide(ranked) : order.refuse(ranked, limitWaitMs);
    if (!decision.isShareSpent) return undefined;
    this.options.countRefusal(workspace, rank, mode);
    this.logRefusal({ workspace, ...ranked }, decision, mode);
    return mode === OverloadMode.On ? decision.waitMs : undefined;
  }

  /** Drops the state of workspaces without recent requests. */
  dropIdle(): void {
    for (const [workspace, order] of this.orders) {
      if (order.isIdle()) this.orders.delete(workspace);
    }
  }

  private getOrder(workspace: string): LimitOrder {
    let order = this.orders.get(workspace);
    if (!order) this.orders.set(workspace, (order = LimitOrder.create(this.options.clock)));
    return order;
  }

  private logRefusal(
    { workspace, rank, route, units, level, capacity, ratePerSecond }: OrderedRequest,
    { waitMs, routes }: LimitOrderDecision,
    mode: OverloadMode,
  ): void {
    const format = (key: "demand" | "share"): string =>
      routes.map((entry) => `${entry.rank}/${entry.route}:${Math.round(entry[key])}`).join(" ");
    this.options.logger.debug("quota.order-refused", {
      workspace,
      rank,
      route,
      units,
      mode: OverloadMode[mode].toLowerCase(),
      // `level` is the field of the log level.
      taken: Math.round(level),
      room: Math.round(capacity),
      limit: Math.round(ratePerSecond),
      demands: format("demand"),
      shares: format("share"),
      waitMs: Math.round(waitMs),
    });
  }
}
