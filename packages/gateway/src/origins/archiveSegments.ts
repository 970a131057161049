/**
 * Segments of the archive: items of the store that hold where the streams of a short time began. A segment is named after the process that
 * writes it, so that no writer overwrites what another one kept, whatever their clocks say.
 * @module
 */
import { randomUUID } from "node:crypto";
import type { OriginEntry } from "./originMessages.js";

/** Prefix of the keys. It is outside the prefix that all instances watch, because each change there costs a call of every instance. */
export const archivePrefix = "gladewall-streams/";
/** Time for which streams are added to one segment, and their largest number in it; 10 bytes each. */
const segmentMs = 500;
const maxEntries = 50_000;
/** Segments that are removed in one transaction. */
const maxRemovals = 24;
/** Earlier builds write a ring of numbered items and reuse their keys. */
const ringKeyPattern = /\/\d+$/;

/** A segment that is written again with each stream that is added. */
interface Segment {
  readonly key: string;
  readonly startedAt: number;
  readonly entries: OriginEntry[];
}

/** The segments that this instance writes, and those in the store that are to be removed once no stream of theirs may be taken up. */
export class ArchiveSegments {
  private readonly name = randomUUID().slice(0, 13);
  private count = 0;
  private current: Segment | undefined;
  /** Monotonic time since which nothing is added to a segment, as far as this instance knows, by key. */
  private readonly closed = new Map<string, number>();

  private constructor() {}

  static create(): ArchiveSegments {
    return new ArchiveSegments();
  }

  /** Adds streams to the current segment, and returns the segment. */
  add(entries: readonly OriginEntry[], time: number): Segment {
    const current = this.current ?? this.start(time);
    current.entries.push(...entries);
    if (current.entries.length > maxEntries) current.entries.splice(0, current.entries.length - maxEntries);
    return current;
  }

  /** Notes that the current segment has been written. What was not written stays in it for the next write. */
  noteWritten(time: number): void {
    const { current } = this;
    if (current && time - current.startedAt >= segmentMs) this.close(current, time);
  }

  /** Notes the keys of segments in the store; other instances may have written them. */
  noteStored(keys: readonly string[], time: number): void {
    for (const key of keys) {
      const isRing = ringKeyPattern.test(key);
      if (!isRing && key !== this.current?.key && !this.closed.has(key))
        this.closed.set(key, time + segmentMs);
    }
  }

  /** Returns the keys of segments that are older than a time; not all of them if they are many. */
  listOlder(time: number): readonly string[] {
    const { current } = this;
    // Nothing has been added to it for long.
    if (current && current.startedAt + segmentMs < time) this.close(current, current.startedAt + segmentMs);
    const keys: string[] = [];
    for (const [key, closedAt] of this.closed)
      if (closedAt < time && keys.length < maxRemovals) keys.push(key);
    return keys;
  }

  /** Forgets segments that have been removed. */
  forget(keys: readonly string[]): void {
    for (const key of keys) this.closed.delete(key);
  }

  private close({ key }: Segment, time: number): void {
    this.closed.set(key, time);
    this.current = undefined;
  }

  private start(time: number): Segment {
    this.count += 1;
    this.current = { key: `${archivePrefix}${this.name}.${this.count}`, startedAt: time, entries: [] };
    return this.current;
  }
}
