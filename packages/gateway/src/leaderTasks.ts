/**
 * What one instance at a time does for all: reports usage and orders endpoints.
 *
 * The holder acts only while its lease, counted from the send of the renewal, has a margin left. A new holder waits
 * until whatever its predecessor could still have believed has run out, even where the store let the lease lapse
 * early; so two holders never act by turns within the time of one lease.
 * @module
 */
import { LeaseHolder, type LeaseService } from "@gladewall/coordination";
import { type Clock, type Closeable, type Logger, waitFor } from "@gladewall/kernel";
import type { CapacityOrders } from "./capacityOrders.js";
import { isRestore } from "./storeEras.js";
import type { MetadataStore, OrderSender, Service } from "./types.js";
import type { UsageReporter } from "./usageReporter.js";

/** Options of the duties. */
export interface LeaderTasksOptions {
  readonly store: MetadataStore;
  readonly leases: LeaseService;
  /** Whether the system starts for the first time; in a later life there may have been a holder, mark or no mark. */
  readonly isFirstStart: boolean;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly name: string;
  /** Key of the lease. */
  readonly leaseKey: string;
  /** Key of the mark that duties have begun. */
  readonly markerKey: string;
  /** Time in which no two instances may act by turns. */
  readonly alternationWindowMs: number;
  readonly usage: UsageReporter;
  readonly capacity: CapacityOrders;
  /** Whether the lease is free, as far as is known. */
  readonly isLeaseFree: () => boolean;
  /** Whether the platform has refused a fence, as a higher one has been used. */
  readonly isFenceRefused: (fence: number) => boolean;
  /** Whether this instance hears the whole fleet: nobody else knows its usage and its load. */
  readonly isEligible: () => boolean;
  readonly getServices: () => Iterable<Service>;
}

const stepMs = 250;
/** Length of the lease, as a share of the time in which no two instances may act by turns. */
const leaseShare = 0.5;
/** Time that a new holder waits, as a share of it: twice this wait is longer than that time. */
const takeoverDelayShare = 0.57;
/** Part of the lease that is not acted in: covers clocks and the way of a call. */
const safetyMarginShare = 0.25;

/** Holds the lease and acts on it. */
export class LeaderTasks implements Closeable {
  private readonly holder: LeaseHolder;
  private readonly stop = new AbortController();
  private task: Promise<void> = Promise.resolve();
  private actingFence = 0;
  /** Whether nobody ever acted before: then there is nobody to wait for. */
  private isFirstLeaderEver = false;
  /** Whether nobody can have acted unless the mark says so: a store that came back from a copy may have lost it. */
  private isMarkerReliable: boolean;
  private checkedFence = 0;

  private constructor(private readonly options: LeaderTasksOptions) {
    const { store, leases, clock, logger, name, leaseKey, alternationWindowMs, isLeaseFree, isEligible } =
      options;
    this.isMarkerReliable = options.isFirstStart;
    store.eras.onEraChange((change) => {
      if (!isRestore(change)) return;
      this.isMarkerReliable = false;
      this.isFirstLeaderEver = false;
    });
    this.holder = LeaseHolder.create({
      service: leases,
      clock,
      logger,
      name: leaseKey,
      holder: name,
      ttlMs: alternationWindowMs * leaseShare,
      safetyMarginMs: alternationWindowMs * leaseShare * safetyMarginShare,
      getRandom: Math.random,
      shouldAcquire: () => isEligible() && isLeaseFree(),
      shouldKeep: () => isEligible() && !this.isFenceRefused(),
    });
  }

  static create(options: LeaderTasksOptions): LeaderTasks {
    return new LeaderTasks(options);
  }

  start(): void {
    this.holder.start();
    this.task = this.run();
  }

  /** Stops acting. The lease runs out by itself: given back early, it could come round to this instance too soon. */
  async close(): Promise<void> {
    this.stop.abort();
    await this.task;
    this.holder.stopWithoutRelease();
  }

  /** Whether this instance may act now. */
  isActing(): boolean {
    return this.getSender() !== undefined;
  }

  private getSender(): OrderSender | undefined {
    const { name, alternationWindowMs } = this.options;
    const fence = this.holder.getFencingToken();
    if (this.stop.signal.aborted || fence.isErr() || !this.options.isEligible()) return undefined;
    if (this.options.isFenceRefused(fence.value)) return undefined;
    if (!this.isFirstLeaderEver && this.holder.getHeldMs() < alternationWindowMs * takeoverDelayShare)
      return undefined;
    return { holder: name, fence: fence.value };
  }

  /** A lease whose fence was refused is left: the next one comes with a higher fence. */
  private isFenceRefused(): boolean {
    const fence = this.holder.getFencingToken();
    return fence.isOk() && this.options.isFenceRefused(fence.value);
  }

  /** Leaves a mark in the store that duties have begun; whoever makes it is the first. */
  private async writeMarker(): Promise<void> {
    const { store, markerKey } = this.options;
    const fence = this.holder.getFencingToken();
    if (fence.isErr() || fence.value === this.checkedFence) return;
    this.checkedFence = fence.value;
    this.isFirstLeaderEver = false;
    const put = [{ key: markerKey, value: Buffer.from(String(fence.value)) }];
    const marked = await store.transact({ expected: [{ key: markerKey, revision: 0 }], put, remove: [] });
    this.isFirstLeaderEver = marked.isOk() && this.isMarkerReliable;
  }

  private async run(): Promise<void> {
    const { clock, usage, capacity, getServices, logger } = this.options;
    const { signal } = this.stop;
    const getSender = (): OrderSender | undefined => this.getSender();
    while (!signal.aborted) {
      await waitFor(clock, stepMs, signal);
      await this.writeMarker();
      const sender = this.getSender();
      if (!sender) continue;
      if (sender.fence !== this.actingFence) {
        this.actingFence = sender.fence;
        capacity.reset();
        await usage.restoreCheckpoint();
        logger.info("duties.begun", { fence: sender.fence });
      }
      for (const service of getServices()) await capacity.step(service, getSender);
      await usage.step(getSender);
      if (this.getSender()) await usage.saveCheckpoint();
    }
  }
}
