/**
 * Gives the orders of the capacity plan: only what differs from the last order, backing off where a data hall has none.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import type { Endpoint } from "./endpoint.js";
import { planCapacity, type HallCount } from "./capacityPlan.js";
import {
  type CapacityOrder,
  type OrderSender,
  type OrderService,
  OrderOutcome,
  type ScalingLimits,
  type Service,
} from "./types.js";

/** Options of the orders. */
export interface CapacityOrdersOptions {
  readonly orders: OrderService;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getEndpoints: (service: string) => readonly Endpoint[];
  /** Endpoints that the load ahead of a service needs. */
  readonly getNeeded: (service: Service, halls: number, present: number) => number;
  /** Whether the system starts for the first time and nothing was asked of a service yet. */
  readonly isLoadAwaited: (service: string) => boolean;
}

interface LastOrder {
  readonly desired: number;
  readonly at: number;
}

const refusalCooldownMs = 2_000;
const failureCooldownMs = 800;
/** A wanted number that is not there yet is ordered again after this long. */
const resendIntervalMs = 6_000;
/** How long reclaimable endpoints count as scarce after a refusal. */
const scarcityMs = 4_000;
/** Share of a data hall's reclaimable endpoints that leave together only where the data hall is reclaimed. */
const reclaimDetectionShare = 0.5;
/** Reclaims come in waves: so long after one, the next data hall is provided for. */
const reclaimWaveMs = 8_000;
/** Share of that data hall that is provided for: on-demand endpoints are dear, and not every wave goes on. */
const provisionShare = 0.5;
/** Endpoints record themselves over some time; once none has been found for so long, all are known. */
const discoveryMs = 1_600;

/** Keeps the numbers of endpoints as planned. */
export class CapacityOrders {
  private readonly lastOrders = new Map<string, LastOrder>();
  /** When each data hall last refused reclaimable endpoints; forgotten once it gives some. */
  private readonly refusedAt = new Map<string, number>();
  private scarceUntil = -Infinity;
  /** When a data hall's reclaimable endpoints were last taken away together. */
  private reclaimedAt = -Infinity;
  /** Most endpoints of each service that were ever found, and when the last of them was. */
  private readonly found = new Map<string, { readonly count: number; readonly at: number }>();
  /** Time of the last order that had no answer. */
  private failedAt = -Infinity;

  private constructor(private readonly options: CapacityOrdersOptions) {}

  static create(options: CapacityOrdersOptions): CapacityOrders {
    return new CapacityOrders(options);
  }

  /** Forgets what was ordered; for a new holder, who cannot know what others ordered meanwhile. */
  reset(): void {
    this.lastOrders.clear();
    this.refusedAt.clear();
  }

  /** Gives the orders of one service that are due. */
  async step(service: Service, getSender: () => OrderSender | undefined): Promise<void> {
    const { scaling } = service;
    if (!scaling || this.options.clock.getTime() - this.failedAt < failureCooldownMs) return;
    const halls = this.countHalls(service.name, scaling);
    const onDemand = halls.reduce((sum, hall) => sum + hall.onDemand, 0);
    const reclaimable = halls.reduce((sum, hall) => sum + hall.reclaimable, 0);
    // While one class takes the place of the other both are there for a time; they are not needed twice.
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
      const isAnswered = await this.send(order, sender);
      if (!isAnswered) return;
    }
  }

  /** Takes note of how many endpoints were found; returns whether no more are to be expected. */
  private recordDiscovered(service: string, count: number): boolean {
    const time = this.options.clock.getTime();
    const found = this.found.get(service);
    if (found && found.count >= count) return time - found.at > discoveryMs;
    this.found.set(service, { count, at: time });
    return false;
  }

  /** Reclaimable endpoints that the next reclaim of a wave would take. */
  private countAtRisk(halls: readonly HallCount[]): number {
    if (this.options.clock.getTime() - this.reclaimedAt > reclaimWaveMs) return 0;
    return Math.floor(Math.max(...halls.map(({ reclaimable }) => reclaimable)) * provisionShare);
  }

  /** Takes note of a data hall whose reclaimable endpoints leave together. */
  private detectReclaim(hall: string, endpoints: readonly Endpoint[]): void {
    const here = endpoints.filter(({ record }) => record.hall === hall && record.isReclaimable);
    const leaving = here.filter((endpoint) => !endpoint.isUsable()).length;
    if (leaving > 1 && leaving >= here.length * reclaimDetectionShare)
      this.reclaimedAt = this.options.clock.getTime();
  }

  private countHalls(service: string, { hallPrices }: ScalingLimits): readonly HallCount[] {
    const time = this.options.clock.getTime();
    const known = this.options.getEndpoints(service);
    const endpoints = known.filter((endpoint) => endpoint.isUsable());
    const names = new Set([...hallPrices.keys(), ...endpoints.map((endpoint) => endpoint.record.hall)]);
    return [...names].map((hall) => {
      this.detectReclaim(hall, known);
      const here = endpoints.filter((endpoint) => endpoint.record.hall === hall);
      const reclaimable = here.filter((endpoint) => endpoint.record.isReclaimable).length;
      const refusedAt = this.refusedAt.get(hall);
      const isReclaimableDry = refusedAt !== undefined;
      const isReclaimableRefused = isReclaimableDry && time - refusedAt < refusalCooldownMs;
      const onDemand = here.length - reclaimable;
      const ordered = this.lastOrders.get(getKey({ service, hall, isReclaimable: false }))?.desired;
      return {
        hall,
        reclaimable,
        onDemand,
        reclaimableOrdered: this.lastOrders.get(getKey({ service, hall, isReclaimable: true }))?.desired ?? 0,
        onDemandOrdered: ordered ?? onDemand,
        isReclaimableRefused,
        isReclaimableDry,
      };
    });
  }

  private isDue(order: CapacityOrder, halls: readonly HallCount[]): boolean {
    const count = halls.find(({ hall }) => hall === order.hall);
    if (!count || (order.isReclaimable && count.isReclaimableRefused)) return false;
    const present = order.isReclaimable ? count.reclaimable : count.onDemand;
    const last = this.lastOrders.get(getKey(order));
    if (!last) return order.desired !== present;
    if (last.desired !== order.desired) return true;
    return present !== order.desired && this.options.clock.getTime() - last.at > resendIntervalMs;
  }

  private async send(order: CapacityOrder, sender: OrderSender): Promise<boolean> {
    const { orders, clock, logger } = this.options;
    const at = clock.getTime();
    const taken = await orders.orderCapacity(order, sender);
    const outcome = taken.isErr() ? taken.error.name : OrderOutcome[taken.value];
    const { service, hall, desired, isReclaimable } = order;
    logger.info("capacity.ordered", { service, hall, desired, isReclaimable, fence: sender.fence, outcome });
    if (taken.isErr()) {
      this.failedAt = clock.getTime();
      return false;
    }
    if (taken.value === OrderOutcome.Taken) {
      this.lastOrders.set(getKey(order), { desired, at });
      if (isReclaimable) this.refusedAt.delete(hall);
      return true;
    }
    this.refusedAt.set(hall, at);
    this.scarceUntil = at + scarcityMs;
    return true;
  }
}

function getKey({ service, hall, isReclaimable }: Omit<CapacityOrder, "desired">): string {
  return `${service}/${hall}/${isReclaimable}`;
}
