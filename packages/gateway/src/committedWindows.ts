/**
 * Usage windows whose counts are fixed in the store, remembered beyond the store: one that comes back from a copy may lack a
 * window that was reported already, and other figures must not follow.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import * as v from "valibot";
import { decodeItem } from "./itemCodec.js";
import { type Removal, RemovalCause } from "./prefixFollower.js";
import type { MetadataStore, StoreItem } from "./types.js";
import type { WorkspaceCounts } from "./usageCounts.js";

/** Options of the windows. */
export interface CommittedWindowsOptions {
  readonly store: Pick<MetadataStore, "transact">;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Prefix of the keys that hold fixed windows. */
  readonly prefix: string;
  /** Whether this instance writes lost windows again for all. */
  readonly isWriter: () => boolean;
}

/** Runs by workspace. */
const countsSchema = v.record(v.string(), v.number());
/** Windows that are remembered: more than a new holder of the duties looks back to. */
const keptWindows = 12;
/** Time between two attempts to write windows again. */
const retryMs = 1_000;

/** Remembers fixed windows. */
export class CommittedWindows {
  private readonly counts = new Map<number, WorkspaceCounts>();
  /** Windows that the store had and lost. */
  private readonly lost = new Set<number>();
  private triedAt = -Infinity;

  private constructor(private readonly options: CommittedWindowsOptions) {}

  static create(options: CommittedWindowsOptions): CommittedWindows {
    return new CommittedWindows(options);
  }

  /** Returns the counts that a window was first fixed with; undefined where none are known. */
  find(window: number): WorkspaceCounts | undefined {
    return this.counts.get(window);
  }

  /** Takes note of the counts that a window is fixed with in the store. */
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

  /** Takes an item of the store, or that it is gone and how; passes over those of others. */
  takeItem(key: string, item: StoreItem | undefined, removal?: Removal): void {
    const { prefix } = this.options;
    if (!key.startsWith(prefix)) return;
    const window = Number(key.slice(prefix.length));
    const counts = item && decodeItem(countsSchema, item.value);
    if (counts) this.note(window, counts);
    else if (removal?.cause === RemovalCause.Lost && this.counts.has(window)) this.lost.add(window);
  }

  /** Writes lost windows again; called several times a second. */
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
