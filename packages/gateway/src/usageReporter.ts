/**
 * Reports usage, window by window. A window's counts are fixed in the store by a conditional write before they are
 * reported, so whoever reports it later repeats the same figures.
 * @module
 */
import { type Clock, FailureCode, type Logger } from "@gladewall/kernel";
import * as v from "valibot";
import type { CommittedWindows } from "./committedWindows.js";
import { decodeItem } from "./itemCodec.js";
import type { MetadataStore, OrderSender, OrderService, StoreItem } from "./types.js";
import type { WorkspaceCounts, UsageCounts } from "./usageCounts.js";

/** Runs by workspace. */
const countsSchema = v.record(v.string(), v.number());
/** Runs by life of an instance, window and workspace. */
const checkpointSchema = v.record(v.string(), v.record(v.string(), countsSchema));

/** Options of the reporter. */
export interface UsageReporterOptions {
  readonly store: MetadataStore;
  readonly orders: OrderService;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Prefix of the keys that hold fixed windows. */
  readonly prefix: string;
  /** Key of the draft: what is counted but not fixed, for when all instances are killed. */
  readonly checkpointKey: string;
  /** Counts of all lives; a draft is written from them and taken into them. */
  readonly usage: UsageCounts;
  /** Names this life of this instance. */
  readonly life: string;
  readonly windowMs: number;
  /** Returns the time of day. */
  readonly getTimeOfDay: () => number;
  /** Returns what the store holds of a key, as last heard. */
  readonly getItem: (key: string) => StoreItem | undefined;
  /** Windows that were fixed, also those that the store has lost. */
  readonly committed: CommittedWindows;
  /** Returns the time of day after which nothing that the store held can have been lost. */
  readonly getDurableSince: () => number;
}

/** Time after a window's end at which the last counts of other instances have come. */
const settleDelayMs = 1_200;
/** Windows that are looked back to. */
const lookbackWindows = 6;
const checkpointIntervalMs = 600;
/** Windows that a draft holds: the open one and those that may not be fixed yet. */
const checkpointWindows = 3;
/** Windows after which a fixed one is removed from the store. */
const retainedWindows = 12;

/** Reports windows that have ended. */
export class UsageReporter {
  private readonly reportedWindows = new Set<number>();
  private firstWindow: number;
  /** Time of day at which this life began. */
  private readonly startedAt: number;
  private checkpointAt = -Infinity;

  private constructor(private readonly options: UsageReporterOptions) {
    this.startedAt = options.getTimeOfDay();
    this.firstWindow = this.getWindow(this.startedAt);
  }

  static create(options: UsageReporterOptions): UsageReporter {
    return new UsageReporter(options);
  }

  /** Returns the number of the window that a time of day lies in. */
  getWindow(timeOfDay: number): number {
    return Math.floor(timeOfDay / this.options.windowMs);
  }

  /** Takes the draft of whoever held the duties before; called once by a new holder, before it reports. */
  async restoreCheckpoint(): Promise<void> {
    const { store, checkpointKey, usage, life: ownLife, logger } = this.options;
    const reading = await store.read(checkpointKey);
    const item = reading.isOk() ? reading.value.item : undefined;
    if (!item) return;
    const incarnations = decodeItem(checkpointSchema, item.value);
    if (!incarnations) {
      logger.warn("usage.draft-refused", { revision: item.revision });
      return;
    }
    for (const [life, windows] of Object.entries(incarnations)) {
      if (life !== ownLife) usage.mergePeerCounts(life, windows);
      for (const window of Object.keys(windows)) {
        this.firstWindow = Math.min(this.firstWindow, Number(window));
      }
    }
    logger.info("usage.draft-taken", { lives: Object.keys(incarnations).length, revision: item.revision });
  }

  /** Writes the draft from time to time. */
  async saveCheckpoint(): Promise<void> {
    const { store, checkpointKey, usage, life, clock, getTimeOfDay } = this.options;
    if (clock.getTime() - this.checkpointAt < checkpointIntervalMs) return;
    this.checkpointAt = clock.getTime();
    const incarnations = usage.getIncarnations(life, this.getWindow(getTimeOfDay()), checkpointWindows);
    const value = Buffer.from(JSON.stringify(incarnations));
    await store.transact({ expected: [], put: [{ key: checkpointKey, value }], remove: [] });
  }

  /** Reports what is due; `getSender` is asked right before each call and ends the step where it has no right. */
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

  /** Windows from before this life are only repeated where they were fixed; their counts here may lack some. */
  private isReportable(window: number): boolean {
    const { getItem, committed } = this.options;
    const isCommitted = committed.find(window) !== undefined || getItem(this.getKey(window)) !== undefined;
    return isCommitted || (window >= this.firstWindow - 1 && !this.mayBeLost(window));
  }

  /** Whether a window may have been fixed, reported and lost before this life could hear of it. */
  private mayBeLost(window: number): boolean {
    const endsAt = (window + 1) * this.options.windowMs;
    return endsAt <= this.startedAt && endsAt <= this.options.getDurableSince();
  }

  private getKey(window: number): string {
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

  /** Returns the window's fixed counts, fixing them where nobody has. */
  private async commit(
    window: number,
    getSender: () => OrderSender | undefined,
  ): Promise<WorkspaceCounts | undefined> {
    const { store, getItem, usage, committed } = this.options;
    const key = this.getKey(window);
    const remembered = committed.find(window);
    const known = getItem(key);
    // The store may have lost what was fixed first, and reported, and hold what was fixed after it.
    if (known) return remembered ?? decodeItem(countsSchema, known.value);
    if (!getSender()) return undefined;
    const counts = remembered ?? usage.getTotal(window);
    const put = [{ key, value: Buffer.from(JSON.stringify(counts)) }];
    const outdated = this.getKey(window - retainedWindows);
    const remove = getItem(outdated) ? [outdated] : [];
    const written = await store.transact({ expected: [{ key, revision: 0 }], put, remove });
    if (written.isOk()) {
      committed.note(window, counts);
      return counts;
    }
    // A lost answer is settled by reading; where the store does not answer, the next step tries again.
    if (written.error.code === FailureCode.ServiceUnavailable) return undefined;
    const reading = await store.read(key);
    const item = reading.isOk() ? reading.value.item : undefined;
    const read = item && decodeItem(countsSchema, item.value);
    if (read) committed.note(window, read);
    return remembered ?? read;
  }
}
