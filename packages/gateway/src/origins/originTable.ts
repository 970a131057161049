/**
 * Remembers where streams began for as long as their callers may take them up: streams of this instance, and those that peers have
 * told of.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** How this instance knows where a stream began. Members are written to logs and metrics. */
export enum OriginSource {
  /** It forwarded events of the stream itself. */
  Own = 1,
  /** The instance that did told it. */
  Told = 2,
  /** A peer replied to its call. */
  Asked = 3,
  /** It was kept in the store. */
  Stored = 4,
}

/** What is known of a stream. */
export interface KnownOrigin {
  /** Code of the origin, see `encodeOrigin`. */
  readonly code: number;
  /** Monotonic time at which it was learned. */
  readonly at: number;
  readonly source: OriginSource;
}

/** Options of the table. */
export interface OriginTableOptions {
  readonly clock: Clock;
  /** Returns the milliseconds for which a stream may be taken up after it began; 0 if none may. */
  readonly getRetentionMs: () => number;
}

/** Streams in each half of the table, some 130 bytes each. */
const maxEntries = 50_000;

/** Origins by the key of the stream. Entries are dropped between one and two retention times after they were recorded. */
export class OriginTable {
  private recent = new Map<number, KnownOrigin>();
  private older = new Map<number, KnownOrigin>();
  private turnedAt: number;
  private readonly listeners: ((key: number, known: KnownOrigin) => void)[] = [];

  private constructor(private readonly options: OriginTableOptions) {
    this.turnedAt = options.clock.getTime();
  }

  static create(options: OriginTableOptions): OriginTable {
    return new OriginTable(options);
  }

  /** Number of streams. */
  get size(): number {
    return this.recent.size + this.older.size;
  }

  /** Calls back with everything that is recorded. */
  onRecorded(listener: (key: number, known: KnownOrigin) => void): void {
    this.listeners.push(listener);
  }

  /** Records where a stream began, in place of what was known of it. */
  record(key: number, code: number, source: OriginSource): void {
    this.dropOld();
    if (this.recent.size >= maxEntries) this.turn();
    const known = { code, at: this.options.clock.getTime(), source };
    this.recent.set(key, known);
    for (const listener of this.listeners) listener(key, known);
  }

  find(key: number): KnownOrigin | undefined {
    this.dropOld();
    return this.recent.get(key) ?? this.older.get(key);
  }

  /** Returns the streams of this instance: key and code of the origin. */
  *getOwn(): Iterable<readonly [key: number, code: number]> {
    for (const [key, { code, source }] of this.getAll()) if (source === OriginSource.Own) yield [key, code];
  }

  /** Returns all streams: key and code of the origin. */
  *list(): Iterable<readonly [key: number, code: number]> {
    for (const [key, { code }] of this.getAll()) yield [key, code];
  }

  private getAll(): Iterable<readonly [key: number, known: KnownOrigin]> {
    this.dropOld();
    return [...this.older, ...this.recent];
  }

  private dropOld(): void {
    const elapsedMs = this.options.clock.getTime() - this.turnedAt;
    const retentionMs = this.options.getRetentionMs();
    if (elapsedMs <= retentionMs) return;
    this.turn();
    if (elapsedMs > 2 * retentionMs) this.turn();
  }

  private turn(): void {
    this.older = this.recent;
    this.recent = new Map();
    this.turnedAt = this.options.clock.getTime();
  }
}
