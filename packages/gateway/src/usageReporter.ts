/**
 * Reports usage, window by window. A window's counts are fixed in the store by a conditional write before they are
 * reported, so whoever reports it later repeats the same figures.
 * @module
 */
import { type Clock, FailureCode, type Logger } from "@gladewall/kernel";
import type { MetadataStore, OrderSender, OrderService, StoreItem } from "./types.js";
import type { TenantCounts } from "./usageCounts.js";

/** Options of the reporter. */
export interface UsageReporterOptions {
  readonly store: MetadataStore;
  readonly orders: OrderService;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Prefix of the keys that hold fixed windows. */
  readonly prefix: string;
  readonly windowMs: number;
  /** Returns the time of day. */
  readonly getTimeOfDay: () => number;
  /** Returns a window's counts over all nodes. */
  readonly getCounts: (window: number) => TenantCounts;
  /** Returns what the store holds of a key, as last heard. */
  readonly getItem: (key: string) => StoreItem | undefined;
}

/** Time after a window's end at which the last counts of other nodes have come. */
const settleMs = 1_200;
/** Windows that are looked back to. */
const keptWindows = 6;
/** Windows after which a fixed one is removed from the store. */
const removedAfter = 12;

/** Reports windows that have ended. */
export class UsageReporter {
  private readonly done = new Set<number>();
  private readonly firstWindow: number;

  private constructor(private readonly options: UsageReporterOptions) {
    this.firstWindow = this.getWindow(options.getTimeOfDay());
  }

  static create(options: UsageReporterOptions): UsageReporter {
    return new UsageReporter(options);
  }

  /** Returns the number of the window that a time of day lies in. */
  getWindow(timeOfDay: number): number {
    return Math.floor(timeOfDay / this.options.windowMs);
  }

  /** Reports what is due; `getSender` is asked right before each call and ends the step where it has no right. */
  async step(getSender: () => OrderSender | undefined): Promise<void> {
    const newest = this.getWindow(this.options.getTimeOfDay() - settleMs) - 1;
    for (const window of this.done) if (window < newest - removedAfter) this.done.delete(window);
    for (let window = newest - keptWindows; window <= newest; window++) {
      if (this.done.has(window) || !this.isKnown(window)) continue;
      const isReported = await this.report(window, getSender);
      if (!isReported) return;
      this.done.add(window);
    }
  }

  /** Windows from before this life are only repeated where they were fixed; their counts here may lack some. */
  private isKnown(window: number): boolean {
    return window >= this.firstWindow - 1 || this.options.getItem(this.getKey(window)) !== undefined;
  }

  private getKey(window: number): string {
    return `${this.options.prefix}${window}`;
  }

  private async report(window: number, getSender: () => OrderSender | undefined): Promise<boolean> {
    const counts = await this.fix(window, getSender);
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
  private async fix(
    window: number,
    getSender: () => OrderSender | undefined,
  ): Promise<TenantCounts | undefined> {
    const { store, getItem, getCounts } = this.options;
    const key = this.getKey(window);
    const known = getItem(key);
    if (known) return decodeCounts(known.value);
    if (!getSender()) return undefined;
    const counts = getCounts(window);
    const put = [{ key, value: Buffer.from(JSON.stringify(counts)) }];
    const outdated = this.getKey(window - removedAfter);
    const remove = getItem(outdated) ? [outdated] : [];
    const written = await store.transact({ expected: [{ key, revision: 0 }], put, remove });
    if (written.isOk()) return counts;
    // A lost answer is settled by reading; where the store does not answer, the next step tries again.
    if (written.error.code === FailureCode.ServiceUnavailable) return undefined;
    const read = await store.read(key);
    return read.isOk() && read.value ? decodeCounts(read.value.value) : undefined;
  }
}

function decodeCounts(value: Uint8Array): TenantCounts {
  return JSON.parse(Buffer.from(value).toString("utf8")) as TenantCounts;
}
