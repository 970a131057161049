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
/** Share of a zone's reclaimable backends that leave together only where the zone is reclaimed. */
const reclaimedShare = 0.5;
/** Reclaims come in waves: so long after one, the next zone is provided for. */
const waveMs = 8_000;
/** Share of that zone that is provided for: on-demand backends are dear, and not every wave goes on. */
const providedShare = 0.5;
/** Backends record themselves over some time; once none has been found for so long, all are known. */
const settledMs = 1_600;

/** Keeps the numbers of backends as planned. */
export class CapacityOrders {
  private readonly last = new Map<string, LastOrder>();
  /** When each zone last refused reclaimable backends; forgotten once it gives some. */
  private readonly refusedAt = new Map<string, number>();
  private scarceUntil = -Infinity;
  /** When a zone's reclaimable backends were last taken away together. */
  private reclaimedAt = -Infinity;
  /** Most backends of each service that were ever found, and when the last of them was. */
  private readonly found = new Map<string, { readonly count: number; readonly at: number }>();
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
    const isSettled = this.noteFound(service.name, onDemand);
    const plan = planCapacity({
      service: service.name,
      limits: scaling,
      zones,
      needed: this.options.getNeeded(service, zones.length, present),
      isReclaimableScarce: this.options.clock.getTime() < this.scarceUntil,
      isLoadAwaited: isSettled && this.options.isLoadAwaited(service.name),
      atRisk: this.countAtRisk(zones),
    });
    for (const order of plan) {
      if (!this.isDue(order, zones)) continue;
      const sender = getSender();
      if (!sender) return;
      const isAnswered = await this.give(order, sender);
      if (!isAnswered) return;
    }
  }

  /** Takes note of how many backends were found; returns whether no more are to be expected. */
  private noteFound(service: string, count: number): boolean {
    const time = this.options.clock.getTime();
    const found = this.found.get(service);
    if (found && found.count >= count) return time - found.at > settledMs;
    this.found.set(service, { count, at: time });
    return false;
  }

  /** Reclaimable backends that the next reclaim of a wave would take. */
  private countAtRisk(zones: readonly ZoneCount[]): number {
    if (this.options.clock.getTime() - this.reclaimedAt > waveMs) return 0;
    return Math.floor(Math.max(...zones.map(({ reclaimable }) => reclaimable)) * providedShare);
  }

  /** Takes note of a zone whose reclaimable backends leave together. */
  private noteLeaving(zone: string, backends: readonly Backend[]): void {
    const here = backends.filter(({ record }) => record.zone === zone && record.isReclaimable);
    const leaving = here.filter((backend) => !backend.isUsable()).length;
    if (leaving > 1 && leaving >= here.length * reclaimedShare)
      this.reclaimedAt = this.options.clock.getTime();
  }

  private countZones(service: string, { zonePrices }: ScalingLimits): readonly ZoneCount[] {
    const time = this.options.clock.getTime();
    const known = this.options.getBackends(service);
    const backends = known.filter((backend) => backend.isUsable());
    const names = new Set([...zonePrices.keys(), ...backends.map((backend) => backend.record.zone)]);
    return [...names].map((zone) => {
      this.noteLeaving(zone, known);
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
