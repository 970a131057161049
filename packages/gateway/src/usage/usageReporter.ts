/**
 * Reports usage to the platform, window by window. A window's counts are committed to the store by a conditional write
 * before they are reported, so that any instance that reports the window later sends the same counts.
 * @module
 */
import { type Clock, FailureCode, type Logger } from "@gladewall/kernel";
import * as v from "valibot";
import type { CommittedWindows } from "../store/committedWindows.js";
import { decodeItem } from "../store/itemCodec.js";
import type { MetadataStore, OrderSender, OrderService, StoreItem } from "../types.js";
import type { WorkspaceCounts, UsageCounts } from "./usageCounts.js";

/** Number of runs by workspace. */
const countsSchema = v.record(v.string(), v.number());
/** Number of runs by incarnation of an instance, window and workspace. */
const checkpointSchema = v.record(v.string(), v.record(v.string(), countsSchema));

/** Options of usage reporting. */
export interface UsageReporterOptions {
  readonly store: MetadataStore;
  readonly orders: OrderService;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Prefix of the store keys of committed windows. */
  readonly prefix: string;
  /** Store key of the checkpoint: counts that are not committed yet, saved in case all instances are killed. */
  readonly checkpointKey: string;
  /** Counts of all incarnations; checkpoints are written from them and restored into them. */
  readonly usage: UsageCounts;
  /** Key of this incarnation of the instance. */
  readonly life: string;
  readonly windowMs: number;
  /** Returns the time of day. */
  readonly getTimeOfDay: () => number;
  /** Returns the last known item of a store key. */
  readonly getItem: (key: string) => StoreItem | undefined;
  /** Committed windows, including those that the store has lost. */
  readonly committed: CommittedWindows;
  /** Returns the time of day since which the store can't have lost anything. */
  readonly getDurableSince: () => number;
}

/** Time after a window's end by which the last counts of other instances have been received. */
const settleDelayMs = 1_200;
/** Number of past windows that are considered for reporting. */
const lookbackWindows = 6;
const checkpointIntervalMs = 600;
/** Number of windows in a checkpoint: the open one and those that may not be committed yet. */
const checkpointWindows = 3;
/** Number of windows after which a committed one is removed from the store. */
const retainedWindows = 12;

/** Reports windows that have ended; used by the leader. */
export class UsageReporter {
  private readonly reportedWindows = new Set<number>();
  /** First window of the restored checkpoint. */
  private firstRestored = Infinity;
  /** Monotonic time at which this process started. */
  private readonly startedAt: number;
  private checkpointAt = -Infinity;

  private constructor(private readonly options: UsageReporterOptions) {
    this.startedAt = options.clock.getTime();
  }

  static create(options: UsageReporterOptions): UsageReporter {
    return new UsageReporter(options);
  }

  /** Returns the number of the window that contains a time of day. */
  getWindow(timeOfDay: number): number {
    return Math.floor(timeOfDay / this.options.windowMs);
  }

  /**
   * Restores the checkpoint of the previous leader; a new leader reports nothing before this has returned true. Returns false if the
   * store did not answer: there may be a checkpoint then, and windows that were reported without its counts would be wrong for good.
   */
  async tryRestoreCheckpoint(): Promise<boolean> {
    const { store, checkpointKey, logger } = this.options;
    const reading = await store.read(checkpointKey);
    if (reading.isErr()) {
      logger.warn("usage.draft-unread", { failure: reading.error.name });
      return false;
    }
    if (reading.value.item) this.applyCheckpoint(reading.value.item);
    return true;
  }

  private applyCheckpoint(item: StoreItem): void {
    const { usage, life: ownIncarnation, logger } = this.options;
    const incarnations = decodeItem(checkpointSchema, item.value);
    if (!incarnations) {
      logger.warn("usage.draft-refused", { revision: item.revision });
      return;
    }
    for (const [incarnation, windows] of Object.entries(incarnations)) {
      if (incarnation !== ownIncarnation) usage.mergePeerCounts(incarnation, windows);
      for (const window of Object.keys(windows)) {
        this.firstRestored = Math.min(this.firstRestored, Number(window));
      }
    }
    logger.info("usage.draft-taken", { lives: Object.keys(incarnations).length, revision: item.revision });
  }

  /** Saves a checkpoint if the interval has passed. */
  async saveCheckpoint(): Promise<void> {
    const { store, checkpointKey, usage, life, clock, getTimeOfDay } = this.options;
    if (clock.getTime() - this.checkpointAt < checkpointIntervalMs) return;
    this.checkpointAt = clock.getTime();
    const incarnations = usage.getIncarnations(life, this.getWindow(getTimeOfDay()), checkpointWindows);
    const value = Buffer.from(JSON.stringify(incarnations));
    await store.transact({ expected: [], put: [{ key: checkpointKey, value }], remove: [] });
  }

  /** Reports the windows that are due. `getSender` is called right before each call; the step ends if it returns nothing. */
  async step(getSender: () => OrderSender | undefined): Promise<void> {
    const newest = this.getWindow(this.options.getTimeOfDay() - settleDelayMs) - 1;
    for (const window of this.reportedWindows)
      if (window < newest - retainedWindows) this.reportedWindows.delete(window);
    for (let window = newest - lookbackWindows; window <= newest; window++) {
      if (this.reportedWindows.has(window) || !this.isReportable(window)) continue;
      const isReported = await this.report(window, getSender);
      if (!isReported) return;
      this.reportedWindows.add(window);
    }
  }

  /**
   * Whether a window may be reported: if it is committed, or if its counts are complete here and can't have been
   * reported and lost before. Counts may be incomplete for windows more than one before the first that this process
   * counted or restored.
   */
  private isReportable(window: number): boolean {
    const { getItem, committed } = this.options;
    const isCommitted =
      committed.find(window) !== undefined || getItem(this.getWindowKey(window)) !== undefined;
    const firstKnown = Math.min(this.firstRestored, this.getWindow(this.getStartTimeOfDay()));
    return isCommitted || (window >= firstKnown - 1 && !this.mayBeLost(window));
  }

  /** Returns the time of day of the start by what it is now known to be: at the start no peer has corrected it yet. */
  private getStartTimeOfDay(): number {
    const { clock, getTimeOfDay } = this.options;
    return getTimeOfDay() - (clock.getTime() - this.startedAt);
  }

  /** Whether a window may have been committed, reported and lost before this process could learn of it. */
  private mayBeLost(window: number): boolean {
    const endsAt = (window + 1) * this.options.windowMs;
    return endsAt <= this.getStartTimeOfDay() && endsAt <= this.options.getDurableSince();
  }

  private getWindowKey(window: number): string {
    return `${this.options.prefix}${window}`;
  }

  private async report(window: number, getSender: () => OrderSender | undefined): Promise<boolean> {
    const counts = await this.commit(window, getSender);
    const sender = getSender();
    if (!counts || !sender) return false;
    const sent = await this.options.orders.reportUsage({ window, counts }, sender);
    this.options.logger.info("usage.reported", {
      window,
      counts: JSON.stringify(counts),
      fence: sender.fence,
      outcome: sent.isOk() ? "taken" : sent.error.name,
    });
    return sent.isOk();
  }

  /** Returns the window's committed counts; commits them first if no instance has. */
  private async commit(
    window: number,
    getSender: () => OrderSender | undefined,
  ): Promise<WorkspaceCounts | undefined> {
    const { store, getItem, usage, committed } = this.options;
    const key = this.getWindowKey(window);
    const remembered = committed.find(window);
    const known = getItem(key);
    // The store may have lost the counts that were committed and reported first, and hold later ones.
    if (known) return remembered ?? decodeItem(countsSchema, known.value);
    if (!getSender()) return undefined;
    const counts = remembered ?? usage.getTotal(window);
    const put = [{ key, value: Buffer.from(JSON.stringify(counts)) }];
    const outdated = this.getWindowKey(window - retainedWindows);
    const remove = getItem(outdated) ? [outdated] : [];
    const written = await store.transact({ expected: [{ key, revision: 0 }], put, remove });
    if (written.isOk()) {
      committed.note(window, counts);
      return counts;
    }
    // After a lost response, a read shows what was written; if the store is unavailable, the next step retries.
    if (written.error.code === FailureCode.ServiceUnavailable) return undefined;
    const reading = await store.read(key);
    const item = reading.isOk() ? reading.value.item : undefined;
    const read = item && decodeItem(countsSchema, item.value);
    if (read) committed.note(window, read);
    return remembered ?? read;
  }
}
