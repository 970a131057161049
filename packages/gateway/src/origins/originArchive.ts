/**
 * Keeps where streams of services with several versions began in the platform's store, so that it outlasts all instances. One instance
 * writes what became known since its last write as one item of a ring; nobody watches the items, and they are read only when no peer
 * knows a stream that is taken up. Streams that began within one interval before all instances end are lost.
 * @module
 */
import { type Clock, type Logger, waitFor } from "@gladewall/kernel";
import * as v from "valibot";
import { decodeItem } from "../store/itemCodec.js";
import type { MetadataStore } from "../types.js";
import { decodeEntries, encodeEntries, type OriginEntry } from "./originMessages.js";
import { OriginSource, type OriginTable } from "./originTable.js";

/** Options of the archive. */
export interface OriginArchiveOptions {
  readonly store: Pick<MetadataStore, "list" | "transact">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly table: OriginTable;
  /** Returns the milliseconds for which a stream may be taken up after it began; 0 if none may. */
  readonly getRetentionMs: () => number;
  /** Whether a service has several versions, so that there is something to keep. */
  readonly isNeeded: () => boolean;
  /** Whether this instance writes on behalf of the fleet. */
  readonly isWriter: () => boolean;
  /** Returns the time of day. */
  readonly getTimeOfDay: () => number;
}

// Outside the prefix that all instances watch, because each change under that prefix costs a call of every instance.
const archivePrefix = "gladewall-streams/";
/** Items of the ring; as many keys as one transaction may remove. */
const slotCount = 32;
/** Shortest time between two writes. */
const minIntervalMs = 500;
/** Time for which an instance that does not write keeps what it would write if the writer ended. */
const handoverMs = 3_000;
/** Streams of one item, 10 bytes each; of more, only the latest are written. */
const maxEntriesPerItem = 50_000;
/** Time for which what was read counts as current, and the longest wait for a read. */
const freshMs = 250;
const maxReadMs = 300;

const archiveSchema = v.object({
  /** Entries as in messages between instances, in base64. */
  entries: v.string(),
});

type ArchiveItem = v.InferOutput<typeof archiveSchema>;

interface PendingEntry {
  readonly entry: OriginEntry;
  readonly at: number;
}

/** Writes and reads the items. */
export class OriginArchive {
  private pending: PendingEntry[] = [];
  private isWriting = false;
  private writtenAt = -Infinity;
  /** Whether items of this instance may be left in the store. */
  private hasItems = false;
  private readAt = -Infinity;
  private reading: Promise<void> = Promise.resolve();

  private constructor(private readonly options: OriginArchiveOptions) {
    options.table.onRecorded((key, { code, source, at }) => {
      const isKnownToStore = source === OriginSource.Stored;
      if (!isKnownToStore && options.isNeeded()) this.pending.push({ entry: [key, code], at });
    });
  }

  static create(options: OriginArchiveOptions): OriginArchive {
    return new OriginArchive(options);
  }

  /** Writes what became known since the last write; called several times a second. */
  reconcile(): void {
    const { clock, isNeeded, isWriter, getRetentionMs } = this.options;
    const time = clock.getTime();
    if (!isWriter()) {
      const kept = this.pending.findIndex(({ at }) => time - at <= handoverMs);
      this.pending.splice(0, kept < 0 ? this.pending.length : kept);
      return;
    }
    const intervalMs = Math.max(minIntervalMs, getRetentionMs() / slotCount);
    if (this.isWriting || time - this.writtenAt < intervalMs) return;
    if (this.pending.length > 0) void this.write(intervalMs);
    else if (this.hasItems && !isNeeded()) void this.removeAll();
  }

  /** Reads all items into the table; resolves after a while even if the store doesn't reply. */
  async readAll(): Promise<void> {
    const { clock } = this.options;
    if (clock.getTime() - this.readAt >= freshMs) {
      this.readAt = clock.getTime();
      this.reading = this.readItems();
    }
    await Promise.race([this.reading, waitFor(clock, maxReadMs)]);
  }

  private async readItems(): Promise<void> {
    const { store, table, logger } = this.options;
    const listed = await store.list(archivePrefix);
    if (listed.isErr()) return;
    let streams = 0;
    for (const { value } of listed.value.items) {
      const item = decodeItem(archiveSchema, value);
      const entries = decodeEntries(Buffer.from(item?.entries ?? "", "base64"));
      streams += entries.length;
      for (const [key, code] of entries) if (!table.find(key)) table.record(key, code, OriginSource.Stored);
    }
    logger.info("streams.read", { items: listed.value.items.length, streams });
  }

  private async write(intervalMs: number): Promise<void> {
    const { clock, getTimeOfDay } = this.options;
    const written = this.pending.slice(-maxEntriesPerItem);
    this.pending = [];
    this.writtenAt = clock.getTime();
    const slot = Math.floor(getTimeOfDay() / intervalMs) % slotCount;
    const item: ArchiveItem = {
      entries: encodeEntries(written.map(({ entry }) => entry)).toString("base64"),
    };
    const value = Buffer.from(JSON.stringify(item));
    const isWritten = await this.transact([{ key: createKey(slot), value }], []);
    if (isWritten) this.hasItems = true;
    else this.pending = [...written, ...this.pending];
  }

  private async removeAll(): Promise<void> {
    this.writtenAt = this.options.clock.getTime();
    const keys = Array.from({ length: slotCount }, (_, slot) => createKey(slot));
    if (await this.transact([], keys)) this.hasItems = false;
  }

  private async transact(
    put: readonly { readonly key: string; readonly value: Uint8Array }[],
    remove: readonly string[],
  ): Promise<boolean> {
    const { store, logger } = this.options;
    this.isWriting = true;
    const written = await store.transact({ expected: [], put, remove });
    this.isWriting = false;
    if (written.isErr()) logger.info("streams.kept", { outcome: written.error.name });
    return written.isOk();
  }
}

function createKey(slot: number): string {
  return `${archivePrefix}${slot}`;
}
