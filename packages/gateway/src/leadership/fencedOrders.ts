/**
 * Sends orders until the platform refuses their fencing token. A refusal means that a higher token has been used, so this
 * instance is no longer the leader even if its lease appears to be valid. From then on nothing is sent with that
 * token.
 * @module
 */
import { Failure, FailureCode, type Logger } from "@gladewall/kernel";
import { Err, type Result } from "ts-results-es";
import type { CapacityOrder, OrderSender, OrderService, OrderOutcome, UsageReport } from "../types.js";

/** An order service that remembers the highest refused fencing token. */
export class FencedOrders implements OrderService {
  private refusedFence = -Infinity;

  private constructor(
    private readonly orders: OrderService,
    private readonly logger: Logger,
  ) {}

  static create(orders: OrderService, logger: Logger): FencedOrders {
    return new FencedOrders(orders, logger);
  }

  /** Whether this fencing token, or a higher one of this instance, was refused. */
  isRefused(fence: number): boolean {
    return fence <= this.refusedFence;
  }

  reportUsage(report: UsageReport, sender: OrderSender): Promise<Result<OrderOutcome, Failure>> {
    return this.send(sender, () => this.orders.reportUsage(report, sender));
  }

  orderCapacity(order: CapacityOrder, sender: OrderSender): Promise<Result<OrderOutcome, Failure>> {
    return this.send(sender, () => this.orders.orderCapacity(order, sender));
  }

  async close(): Promise<void> {
    await this.orders.close();
  }

  private async send(
    { fence }: OrderSender,
    call: () => Promise<Result<OrderOutcome, Failure>>,
  ): Promise<Result<OrderOutcome, Failure>> {
    if (this.isRefused(fence)) return Err(Failure.create(FailureCode.FenceOutdated, { fence }));
    const result = await call();
    if (result.isErr() && result.error.code === FailureCode.FenceOutdated) {
      this.refusedFence = Math.max(this.refusedFence, fence);
      this.logger.warn("fence.refused", { fence });
    }
    return result;
  }
}
