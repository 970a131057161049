/**
 * Keeps where streams of services with several versions began in the platform's store, so that it outlasts all instances. One instance
 * writes on behalf of the fleet; streams that begin while a write is on its way share the next one. Nobody watches the items, and they are
 * read only when no peer knows a stream that is taken up.
 * @module
 */
import { type Clock, type Logger, waitFor } from "@gladewall/kernel";
import * as v from "valibot";
import { decodeItem } from "../store/itemCodec.js";
import type { MetadataStore, StoreItem } from "../types.js";
import { archivePrefix, ArchiveSegments } from "./archiveSegments.js";
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
}

/** Shortest time between two writes: new streams wait for half of it in the mean while their service has several versions. */
const minIntervalMs = 40;
/** Time for which an instance that does not write keeps what it would write if the writer ended. */
const handoverMs = 3_000;
/** Time between two removals of old segments while nothing is written. */
const removalIntervalMs = 5_000;
/** Time for which what was read counts as current. */
const freshMs = 100;
/** Longest wait for a read: a store under load replies after several hundred milliseconds, and without it the stream is refused. */
const maxReadMs = 1_000;

const archiveSchema = v.object({
  /** Entries as in messages between instances, in base64. */
  entries: v.string(),
});

type ArchiveItem = v.InferOutput<typeof archiveSchema>;

interface PendingStream {
  readonly code: number;
  readonly at: number;
}

/** Writes and reads the items. */
export class OriginArchive {
  private readonly segments = ArchiveSegments.create();
  /** Streams that are not in a segment yet, by key, oldest first. */
  private readonly pending = new Map<number, PendingStream>();
  private writing: Promise<boolean> = Promise.resolve(true);
  /** The write after the current one; undefined while nobody waits for one. */
  private queued: Promise<boolean> | undefined;
  private hasFailed = false;
  private hasListed = false;
  /** Whether all that this instance knows has been written, or is pending. */
  private hasAll = false;
  private writtenAt = -Infinity;
  private readAt = -Infinity;
  private reading: Promise<boolean> = Promise.resolve(false);

  private constructor(private readonly options: OriginArchiveOptions) {
    options.table.onRecorded((key, { code, source, at }) => {
      const isKnownToStore = source === OriginSource.Stored;
      if (!isKnownToStore && options.isNeeded()) this.pending.set(key, { code, at });
    });
  }

  static create(options: OriginArchiveOptions): OriginArchive {
    return new OriginArchive(options);
  }

  /** Notes that the store was restored from a copy, and may have lost what it kept. */
  noteRestored(): void {
    this.hasAll = false;
  }

  /** Writes what became known since the last write, and removes old segments; called several times a second. */
  reconcile(): void {
    const { isNeeded, isWriter } = this.options;
    if (!isWriter()) return this.reconcileOthers();
    if (isNeeded() && !this.hasListed) void this.readAll();
    this.addUnwritten();
    if (this.pending.size > 0 || this.hasFailed || this.isRemovalDue()) void this.flush();
  }

  /** Writes entries, and all else that is known now; resolves with whether they are in the store. */
  keep(entries: readonly OriginEntry[]): Promise<boolean> {
    const at = this.options.clock.getTime();
    for (const [key, code] of entries) this.pending.set(key, { code, at });
    return this.flush();
  }

  /**
   * Writes all that is known now; resolves with whether it is in the store. Calls that come while a write is on its way share the next one.
   */
  flush(): Promise<boolean> {
    this.queued ??= this.writeNext();
    return this.queued;
  }

  /** Reads all items into the table; resolves with whether they could be read, after a while even if the store doesn't reply. */
  async readAll(): Promise<boolean> {
    const { clock } = this.options;
    if (clock.getTime() - this.readAt >= freshMs) {
      this.readAt = clock.getTime();
      this.reading = this.readItems();
    }
    return Promise.race([this.reading, waitFor(clock, maxReadMs).then(() => false)]);
  }

  /** Adds all that is known if the store may lack it: peers may have told of streams before this instance knew that they are to be kept. */
  private addUnwritten(): void {
    const { clock, isNeeded, table } = this.options;
    const hadAll = this.hasAll;
    this.hasAll = isNeeded();
    if (hadAll || !this.hasAll) return;
    const at = clock.getTime();
    for (const [key, code] of table.list()) this.pending.set(key, { code, at });
  }

  private async readItems(): Promise<boolean> {
    const { store, table, logger, clock } = this.options;
    const listed = await store.list(archivePrefix);
    if (listed.isErr()) return false;
    const { items } = listed.value;
    const streams = readStreams(items);
    for (const [key, code] of streams)
      if (code !== undefined && !table.find(key)) table.record(key, code, OriginSource.Stored);
    this.hasListed = true;
    this.segments.noteStored(
      items.map(({ key }) => key),
      clock.getTime(),
    );
    logger.info("streams.read", { items: items.length, streams: streams.size });
    return true;
  }

  private async writeNext(): Promise<boolean> {
    const { clock } = this.options;
    await this.writing;
    const waitMs = this.writtenAt + minIntervalMs - clock.getTime();
    if (waitMs > 0) await waitFor(clock, waitMs);
    this.queued = undefined;
    this.writing = this.write();
    return this.writing;
  }

  private async write(): Promise<boolean> {
    const { clock, store, logger } = this.options;
    const time = clock.getTime();
    this.writtenAt = time;
    this.addUnwritten();
    const added: OriginEntry[] = [...this.pending].map(([key, { code }]) => [key, code]);
    this.pending.clear();
    const removed = this.listRemovable();
    const isEmpty = added.length === 0 && !this.hasFailed;
    if (isEmpty && removed.length === 0) return true;
    const put = isEmpty ? [] : [this.createItem(added, time)];
    const written = await store.transact({ expected: [], put, remove: removed });
    this.hasFailed = written.isErr();
    if (written.isErr()) logger.info("streams.kept", { outcome: written.error.name });
    else this.segments.forget(removed);
    if (written.isOk() && !isEmpty) this.segments.noteWritten(clock.getTime());
    return written.isOk();
  }

  private createItem(
    added: readonly OriginEntry[],
    time: number,
  ): { readonly key: string; readonly value: Uint8Array } {
    const { key, entries } = this.segments.add(added, time);
    const item: ArchiveItem = { entries: encodeEntries(entries).toString("base64") };
    return { key, value: Buffer.from(JSON.stringify(item)) };
  }

  private listRemovable(): readonly string[] {
    const { clock, getRetentionMs } = this.options;
    return this.segments.listOlder(clock.getTime() - getRetentionMs());
  }

  private isRemovalDue(): boolean {
    const isPaused = this.options.clock.getTime() - this.writtenAt < removalIntervalMs;
    return !isPaused && this.listRemovable().length > 0;
  }

  /** Removes old segments that this instance wrote while it knew no writer, and drops what the writer has written. */
  private reconcileOthers(): void {
    this.hasListed = false;
    this.dropOldPending();
    if (this.isRemovalDue()) void this.flush();
  }

  private dropOldPending(): void {
    const time = this.options.clock.getTime();
    for (const [key, { at }] of this.pending) {
      if (time - at <= handoverMs) return;
      this.pending.delete(key);
    }
  }
}

/** Returns the origins by key; undefined for a stream of which the items say two, as where a caller has used one id twice. */
function readStreams(items: readonly StoreItem[]): ReadonlyMap<number, number | undefined> {
  const streams = new Map<number, number | undefined>();
  for (const { value } of items) {
    const item = decodeItem(archiveSchema, value);
    for (const [key, code] of decodeEntries(Buffer.from(item?.entries ?? "", "base64")))
      streams.set(key, streams.has(key) && streams.get(key) !== code ? undefined : code);
  }
  return streams;
}
