/**
 * Runs the tasks that one elected instance, the leader, does for the whole fleet: reporting usage and ordering endpoints.
 *
 * The leader only acts while its lease, counted from when the renewal was sent, has a safety margin left. A new leader waits
 * until its predecessor can no longer regard its own lease as valid, even if the store let that lease expire early.
 * Leadership therefore can't pass from one instance to another and back within the alternation window.
 * @module
 */
import { LeaseHolder, type LeaseService } from "@gladewall/coordination";
import { type Clock, type Closeable, type Logger, waitFor } from "@gladewall/kernel";
import type { CapacityOrders } from "../capacity/capacityOrders.js";
import { isRestore } from "../store/storeEras.js";
import type { MetadataStore, OrderSender, Service } from "../types.js";
import type { UsageReporter } from "../usage/usageReporter.js";

/** Options of the leader tasks. */
export interface LeaderTasksOptions {
  readonly store: MetadataStore;
  readonly leases: LeaseService;
  /** Whether the system starts for the first time; otherwise there may have been a leader even if the marker is missing. */
  readonly isFirstStart: boolean;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly name: string;
  /** Store key of the lease. */
  readonly leaseKey: string;
  /** Store key of the marker that some leader has acted before. */
  readonly markerKey: string;
  /** Alternation window: time in which leadership must not pass from one instance to another and back. */
  readonly alternationWindowMs: number;
  readonly usage: UsageReporter;
  readonly capacity: CapacityOrders;
  /** Whether the lease is free, as far as this instance knows. */
  readonly isLeaseFree: () => boolean;
  /** Whether the platform has refused a fencing token because a higher one has been used. */
  readonly isFenceRefused: (fence: number) => boolean;
  /** Whether this instance receives the reports of the whole fleet; no other instance knows its usage and load. */
  readonly isEligible: () => boolean;
  readonly getServices: () => Iterable<Service>;
}

/** Interval of the tasks. */
const stepMs = 250;
/** Duration of the lease, as a share of the alternation window. */
const leaseShare = 0.5;
/** Time that a new leader waits, as a share of the alternation window; two such waits are longer than the window. */
const takeoverDelayShare = 0.57;
/** Share of the lease in which the leader no longer acts; covers clock drift and the transmission time of a call. */
const safetyMarginShare = 0.25;

/** Competes for the lease and runs the tasks while holding it. */
export class LeaderTasks implements Closeable {
  private readonly holder: LeaseHolder;
  private readonly stop = new AbortController();
  private task: Promise<void> = Promise.resolve();
  private actingFence = 0;
  /** Whether no leader has acted before, so that there is no predecessor to wait for. */
  private isFirstLeaderEver = false;
  /** Whether a missing marker proves that no leader has acted; a restored store may have lost the marker. */
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

  /** Stops the tasks. The lease expires by itself; if released early, it could return to this instance too soon. */
  async close(): Promise<void> {
    this.stop.abort();
    await this.task;
    this.holder.stopWithoutRelease();
  }

  /** Whether this instance is the leader and may act now. */
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

  /** Whether the platform refused the token of the lease; such a lease is not kept, as the next one has a higher token. */
  private isFenceRefused(): boolean {
    const fence = this.holder.getFencingToken();
    return fence.isOk() && this.options.isFenceRefused(fence.value);
  }

  /** Writes the marker that some leader has acted to the store; the instance that creates it is the first leader ever. */
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
        if (!(await usage.tryRestoreCheckpoint())) continue;
        this.actingFence = sender.fence;
        capacity.reset();
        logger.info("duties.begun", { fence: sender.fence });
      }
      for (const service of getServices()) await capacity.step(service, getSender);
      await usage.step(getSender);
      if (this.getSender()) await usage.saveCheckpoint();
    }
  }
}
