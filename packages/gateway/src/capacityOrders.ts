/**
 * Gives the orders of the capacity plan: only what differs from the last order, backing off where a zone has none.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import type { Backend } from "./backend.js";
import { planCapacity, type ZoneCount } from "./capacityPlan.js";
import {
  type CapacityOrder,
  type OrderSender,
  type OrderService,
  OrderWord,
  type ScalingLimits,
  type Service,
} from "./types.js";

/** Options of the orders. */
export interface CapacityOrdersOptions {
  readonly orders: OrderService;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getBackends: (service: string) => readonly Backend[];
  /** Backends that the load ahead of a service needs. */
  readonly getNeeded: (service: Service, zones: number, present: number) => number;
  /** Whether the system starts for the first time and nothing was asked of a service yet. */
  readonly isLoadAwaited: (service: string) => boolean;
}

interface LastOrder {
  readonly desired: number;
  readonly at: number;
}

const refusedPauseMs = 2_000;
const failedPauseMs = 800;
/** A wanted number that is not there yet is ordered again after this long. */
const repeatMs = 6_000;
/** How long reclaimable backends count as scarce after a refusal. */
const scarceMs = 4_000;

/** Keeps the numbers of backends as planned. */
export class CapacityOrders {
  private readonly last = new Map<string, LastOrder>();
  /** When each zone last refused reclaimable backends; forgotten once it gives some. */
  private readonly refusedAt = new Map<string, number>();
  private scarceUntil = -Infinity;
  /** Time of the last order that had no answer. */
  private failedAt = -Infinity;

  private constructor(private readonly options: CapacityOrdersOptions) {}

  static create(options: CapacityOrdersOptions): CapacityOrders {
    return new CapacityOrders(options);
  }

  /** Forgets what was ordered; for a new holder, who cannot know what others ordered meanwhile. */
  reset(): void {
    this.last.clear();
    this.refusedAt.clear();
  }

  /** Gives the orders of one service that are due. */
  async step(service: Service, getSender: () => OrderSender | undefined): Promise<void> {
    const { scaling } = service;
    if (!scaling || this.options.clock.getTime() - this.failedAt < failedPauseMs) return;
    const zones = this.countZones(service.name, scaling);
    const onDemand = zones.reduce((sum, zone) => sum + zone.onDemand, 0);
    const reclaimable = zones.reduce((sum, zone) => sum + zone.reclaimable, 0);
    // While one class takes the place of the other both are there for a time; they are not needed twice.
    const present = Math.max(onDemand, reclaimable);
    const plan = planCapacity({
      service: service.name,
      limits: scaling,
      zones,
      needed: this.options.getNeeded(service, zones.length, present),
      isReclaimableScarce: this.options.clock.getTime() < this.scarceUntil,
      isLoadAwaited: this.options.isLoadAwaited(service.name),
    });
    for (const order of plan) {
      if (!this.isDue(order, zones)) continue;
      const sender = getSender();
      if (!sender) return;
      const isAnswered = await this.give(order, sender);
      if (!isAnswered) return;
    }
  }

  private countZones(service: string, { zonePrices }: ScalingLimits): readonly ZoneCount[] {
    const time = this.options.clock.getTime();
    const backends = this.options.getBackends(service).filter((backend) => backend.isUsable());
    const names = new Set([...zonePrices.keys(), ...backends.map((backend) => backend.record.zone)]);
    return [...names].map((zone) => {
      const here = backends.filter((backend) => backend.record.zone === zone);
      const reclaimable = here.filter((backend) => backend.record.isReclaimable).length;
      const refusedAt = this.refusedAt.get(zone);
      const isReclaimableDry = refusedAt !== undefined;
      const isReclaimableRefused = isReclaimableDry && time - refusedAt < refusedPauseMs;
      const onDemand = here.length - reclaimable;
      const ordered = this.last.get(getKey({ service, zone, isReclaimable: false }))?.desired;
      return {
        zone,
        reclaimable,
        onDemand,
        reclaimableOrdered: this.last.get(getKey({ service, zone, isReclaimable: true }))?.desired ?? 0,
        onDemandOrdered: ordered ?? onDemand,
        isReclaimableRefused,
        isReclaimableDry,
      };
    });
  }

  private isDue(order: CapacityOrder, zones: readonly ZoneCount[]): boolean {
    const count = zones.find(({ zone }) => zone === order.zone);
    if (!count || (order.isReclaimable && count.isReclaimableRefused)) return false;
    const present = order.isReclaimable ? count.reclaimable : count.onDemand;
    const last = this.last.get(getKey(order));
    if (!last) return order.desired !== present;
    if (last.desired !== order.desired) return true;
    return present !== order.desired && this.options.clock.getTime() - last.at > repeatMs;
  }

  private async give(order: CapacityOrder, sender: OrderSender): Promise<boolean> {
    const { orders, clock, logger } = this.options;
    const at = clock.getTime();
    const taken = await orders.orderCapacity(order, sender);
    const outcome = taken.isErr() ? taken.error.name : OrderWord[taken.value];
    const { service, zone, desired, isReclaimable } = order;
    logger.info("capacity.ordered", { service, zone, desired, isReclaimable, fence: sender.fence, outcome });
    if (taken.isErr()) {
      this.failedAt = clock.getTime();
      return false;
    }
    if (taken.value === OrderWord.Taken) {
      this.last.set(getKey(order), { desired, at });
      if (isReclaimable) this.refusedAt.delete(zone);
      return true;
    }
    this.refusedAt.set(zone, at);
    this.scarceUntil = at + scarceMs;
    return true;
  }
}

function getKey({ service, zone, isReclaimable }: Omit<CapacityOrder, "desired">): string {
  return `${service}/${zone}/${isReclaimable}`;
}
