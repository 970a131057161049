/**
 * Sends the orders of the capacity plan. An order is only sent if it differs from the last one or was not fulfilled; data
 * halls that have no endpoints available are left alone for a while (backoff).
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import type { Endpoint } from "../endpoints/endpoint.js";
import { planCapacity, type HallCount } from "./capacityPlan.js";
import {
  type CapacityOrder,
  type OrderSender,
  type OrderService,
  OrderOutcome,
  type ScalingLimits,
  type Service,
} from "../types.js";

/** Options of capacity orders. */
export interface CapacityOrdersOptions {
  readonly orders: OrderService;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getEndpoints: (service: string) => readonly Endpoint[];
  /** Returns the endpoints that the expected load of a service needs. */
  readonly getNeeded: (service: Service, halls: number, present: number) => number;
  /** Whether the system starts for the first time and a service has had no load yet. */
  readonly isLoadAwaited: (service: string) => boolean;
}

interface LastOrder {
  readonly desired: number;
  readonly at: number;
}

/** Time for which no endpoints of a price class are ordered in a data hall after a refusal. */
const refusalCooldownMs = 2_000;
/** Time for which nothing is ordered after a failed call. */
const failureCooldownMs = 800;
/** Time after which an order that is not fulfilled yet is sent again. */
const resendIntervalMs = 6_000;
/** Time for which reclaimable endpoints count as scarce after a refusal. */
const scarcityMs = 4_000;
/** If this share of a data hall's reclaimable endpoints leaves at once, the platform is reclaiming the data hall. */
const reclaimDetectionShare = 0.5;
/** Reclaims come in waves: for this long after one, replacements are ordered for the next data hall in advance. */
const reclaimWaveMs = 8_000;
/** Share of that data hall to replace in advance: on-demand endpoints are expensive, and not every wave continues. */
const provisionShare = 0.5;
/** Endpoints register over some time; all are known once no further one has been found for this long. */
const discoveryMs = 1_600;

/** Orders endpoints until their numbers match the plan. */
export class CapacityOrders {
  private readonly lastOrders = new Map<string, LastOrder>();
  /** Monotonic time at which each data hall last refused an order for reclaimable endpoints; deleted once it accepts one. */
  private readonly refusedAt = new Map<string, number>();
  /** The same for on-demand endpoints. */
  private readonly onDemandRefusedAt = new Map<string, number>();
  private scarceUntil = -Infinity;
  /** Monotonic time at which a data hall was last reclaimed. */
  private reclaimedAt = -Infinity;
  /** Data halls that are being reclaimed, by service. */
  private readonly reclaimedHalls = new Set<string>();
  /** Highest number of on-demand endpoints found so far of each service, and when it was reached. */
  private readonly discovered = new Map<string, { readonly count: number; readonly at: number }>();
  /** Monotonic time of the last call that failed. */
  private failedAt = -Infinity;

  private constructor(private readonly options: CapacityOrdersOptions) {}

  static create(options: CapacityOrdersOptions): CapacityOrders {
    return new CapacityOrders(options);
  }

  /** Forgets the orders; called by a new leader, which can't know what others ordered in the meantime. */
  reset(): void {
    this.lastOrders.clear();
    this.refusedAt.clear();
    this.onDemandRefusedAt.clear();
  }

  /** Sends the orders of one service that are due. */
  async step(service: Service, getSender: () => OrderSender | undefined): Promise<void> {
    const { scaling } = service;
    if (!scaling || this.options.clock.getTime() - this.failedAt < failureCooldownMs) return;
    const halls = this.countHalls(service.name, scaling);
    const onDemand = halls.reduce((sum, hall) => sum + hall.onDemand, 0);
    const reclaimable = halls.reduce((sum, hall) => sum + hall.reclaimable, 0);
    // While one price class replaces the other, both are present for a time; they must not be counted twice.
    const present = Math.max(onDemand, reclaimable);
    const isSettled = this.recordDiscovered(service.name, onDemand);
    const plan = planCapacity({
      service: service.name,
      limits: scaling,
      halls,
      needed: this.options.getNeeded(service, halls.length, present),
      isReclaimableScarce: this.options.clock.getTime() < this.scarceUntil,
      isLoadAwaited: isSettled && this.options.isLoadAwaited(service.name),
      atRisk: this.countAtRisk(halls),
    });
    for (const order of plan) {
      if (!this.isDue(order, halls)) continue;
      const sender = getSender();
      if (!sender) return;
      const hasReplied = await this.send(order, sender);
      if (!hasReplied) return;
    }
  }

  /** Records the number of on-demand endpoints found; returns whether no more are expected. */
  private recordDiscovered(service: string, count: number): boolean {
    const time = this.options.clock.getTime();
    const found = this.discovered.get(service);
    if (found && found.count >= count) return time - found.at > discoveryMs;
    this.discovered.set(service, { count, at: time });
    return false;
  }

  /** Returns the reclaimable endpoints to replace in advance, because the next reclaim of a wave may take them. */
  private countAtRisk(halls: readonly HallCount[]): number {
    if (this.options.clock.getTime() - this.reclaimedAt > reclaimWaveMs) return 0;
    return Math.floor(Math.max(...halls.map(({ reclaimable }) => reclaimable)) * provisionShare);
  }

  /**
   * Records the time if the data hall's reclaimable endpoints leave together, and forgets the order for them: whether it still
   * holds shows only once it is sent again.
   */
  private detectReclaim(service: string, hall: string, endpoints: readonly Endpoint[]): void {
    const here = endpoints.filter(({ record }) => record.hall === hall && record.isReclaimable);
    const leaving = here.filter((endpoint) => !endpoint.isUsable()).length;
    const key = getKey({ service, hall, isReclaimable: true });
    if (leaving <= 1 || leaving < here.length * reclaimDetectionShare) {
      this.reclaimedHalls.delete(key);
      return;
    }
    this.reclaimedAt = this.options.clock.getTime();
    if (this.reclaimedHalls.has(key)) return;
    this.reclaimedHalls.add(key);
    this.lastOrders.delete(key);
  }

  private countHalls(service: string, { hallPrices }: ScalingLimits): readonly HallCount[] {
    const time = this.options.clock.getTime();
    const known = this.options.getEndpoints(service);
    const endpoints = known.filter((endpoint) => endpoint.isUsable());
    const names = new Set([...hallPrices.keys(), ...endpoints.map((endpoint) => endpoint.record.hall)]);
    return [...names].map((hall) => {
      this.detectReclaim(service, hall, known);
      const here = endpoints.filter((endpoint) => endpoint.record.hall === hall);
      const reclaimable = here.filter((endpoint) => endpoint.record.isReclaimable).length;
      const refusedAt = this.refusedAt.get(hall);
      const isReclaimableExhausted = refusedAt !== undefined;
      const isReclaimableRefused = isReclaimableExhausted && time - refusedAt < refusalCooldownMs;
      const onDemand = here.length - reclaimable;
      const ordered = this.lastOrders.get(getKey({ service, hall, isReclaimable: false }))?.desired;
      return {
        hall,
        reclaimable,
        onDemand,
        reclaimableOrdered: this.lastOrders.get(getKey({ service, hall, isReclaimable: true }))?.desired,
        onDemandOrdered: ordered ?? onDemand,
        isReclaimableRefused,
        isReclaimableExhausted,
      };
    });
  }

  private isDue(order: CapacityOrder, halls: readonly HallCount[]): boolean {
    const count = halls.find(({ hall }) => hall === order.hall);
    if (!count || (order.isReclaimable && count.isReclaimableRefused)) return false;
    const adds = order.desired > count.onDemand;
    if (!order.isReclaimable && adds && this.isOnDemandRefused(order.hall)) return false;
    const present = order.isReclaimable ? count.reclaimable : count.onDemand;
    const last = this.lastOrders.get(getKey(order));
    if (!last) return order.desired !== present;
    if (last.desired !== order.desired) return true;
    return present !== order.desired && this.options.clock.getTime() - last.at > resendIntervalMs;
  }

  private isOnDemandRefused(hall: string): boolean {
    const refusedAt = this.onDemandRefusedAt.get(hall) ?? -Infinity;
    return this.options.clock.getTime() - refusedAt < refusalCooldownMs;
  }

  private async send(order: CapacityOrder, sender: OrderSender): Promise<boolean> {
    const { orders, clock, logger } = this.options;
    const at = clock.getTime();
    const taken = await orders.orderCapacity(order, sender);
    const outcome = taken.isErr() ? taken.error.name : OrderOutcome[taken.value];
    const { service, hall, desired, isReclaimable } = order;
    const refusedAt = isReclaimable ? this.refusedAt : this.onDemandRefusedAt;
    logger.info("capacity.ordered", { service, hall, desired, isReclaimable, fence: sender.fence, outcome });
    if (taken.isErr()) {
      this.failedAt = clock.getTime();
      return false;
    }
    if (taken.value === OrderOutcome.Taken) {
      this.lastOrders.set(getKey(order), { desired, at });
      refusedAt.delete(hall);
      return true;
    }
    refusedAt.set(hall, at);
    this.scarceUntil = at + scarcityMs;
    return true;
  }
}

function getKey({ service, hall, isReclaimable }: Omit<CapacityOrder, "desired">): string {
  return `${service}/${hall}/${isReclaimable}`;
}
