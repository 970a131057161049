/**
 * Remembers the usage windows whose counts are committed to the store. A store that is restored from a snapshot may lack a
 * window that was already reported, and it must not be reported again with other counts.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import * as v from "valibot";
import { decodeItem } from "./itemCodec.js";
import { type Removal, RemovalCause } from "./prefixFollower.js";
import type { MetadataStore, StoreItem } from "../types.js";
import type { WorkspaceCounts } from "../usage/usageCounts.js";

/** Options of committed windows. */
export interface CommittedWindowsOptions {
  readonly store: Pick<MetadataStore, "transact">;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Prefix of the store keys of committed windows. */
  readonly prefix: string;
  /** Whether this instance restores lost windows on behalf of the fleet. */
  readonly isWriter: () => boolean;
}

/** Number of runs by workspace. */
const countsSchema = v.record(v.string(), v.number());
/** Number of windows that are remembered: more than a new leader considers for reporting. */
const keptWindows = 12;
/** Time between two attempts to restore windows. */
const retryMs = 1_000;

/** Remembers committed windows and restores those that the store has lost. */
export class CommittedWindows {
  private readonly counts = new Map<number, WorkspaceCounts>();
  /** Windows that the store held and has lost. */
  private readonly lost = new Set<number>();
  private triedAt = -Infinity;

  private constructor(private readonly options: CommittedWindowsOptions) {}

  static create(options: CommittedWindowsOptions): CommittedWindows {
    return new CommittedWindows(options);
  }

  /** Returns the counts with which a window was first committed; undefined if none are known. */
  find(window: number): WorkspaceCounts | undefined {
    return this.counts.get(window);
  }

  /** Records the counts with which a window is committed in the store. */
  note(window: number, counts: WorkspaceCounts): void {
    this.lost.delete(window);
    if (this.counts.has(window)) return;
    this.counts.set(window, counts);
    for (const known of this.counts.keys()) {
      if (known > window - keptWindows) continue;
      this.counts.delete(known);
      this.lost.delete(known);
    }
  }

  /** Applies an item of the store, or its removal with the cause; ignores other keys. */
  handleItem(key: string, item: StoreItem | undefined, removal?: Removal): void {
    const { prefix } = this.options;
    if (!key.startsWith(prefix)) return;
    const window = Number(key.slice(prefix.length));
    const counts = item && decodeItem(countsSchema, item.value);
    if (counts) this.note(window, counts);
    else if (removal?.cause === RemovalCause.Lost && this.counts.has(window)) this.lost.add(window);
  }

  /** Writes lost windows to the store again; called several times a second. */
  restoreLost(): void {
    const { clock, isWriter } = this.options;
    if (this.lost.size === 0 || !isWriter() || clock.getTime() - this.triedAt < retryMs) return;
    this.triedAt = clock.getTime();
    for (const window of this.lost) void this.writeAgain(window);
  }

  private async writeAgain(window: number): Promise<void> {
    const { store, prefix, logger } = this.options;
    const key = `${prefix}${window}`;
    const put = [{ key, value: Buffer.from(JSON.stringify(this.counts.get(window))) }];
    const written = await store.transact({ expected: [{ key, revision: 0 }], put, remove: [] });
    if (written.isOk()) this.lost.delete(window);
    logger.info("usage.written-again", { window, outcome: written.isOk() ? "written" : written.error.name });
  }
}
