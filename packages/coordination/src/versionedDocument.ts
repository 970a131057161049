/**
 * A versioned document under one key: followed by a watch and by peers' word, changed by compare-and-swap.
 *
 * A follower never steps back: of two documents the one with the higher version is in force, whoever brought it and
 * in whatever order they came. A service that holds an older document than the one in force has come back from a copy: what
 * it says is no word on what is current, and the follower writes the document again.
 * @module
 */
import { type Clock, Failure, FailureCode, type Logger, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import type { KeyValueService, StoredValue } from "./types.js";

/** How a document is read from and written to bytes. */
export interface DocumentCodec<Document> {
  encode(document: Document): Uint8Array;
  decode(bytes: Uint8Array): Result<Document, Failure>;
  /** Version of a document; grows by one with each change. */
  getVersion(document: Document): number;
}

/** Where a document stands and how it is followed. */
export interface DocumentFollowerOptions<Document> {
  readonly service: KeyValueService;
  readonly key: string;
  readonly codec: DocumentCodec<Document>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Longest wait of one watch, milliseconds. */
  readonly watchWaitMs: number;
  /** Milliseconds without word from service or peers after which the document may be out of date. */
  readonly maxAgeMs: number;
  /** Returns a number from 0 to 1, for jitter. */
  readonly getRandom: () => number;
}

/** A document in force. */
export interface ActiveDocument<Document> {
  readonly document: Document;
  readonly version: number;
  readonly bytes: Uint8Array;
}

const firstBackoff = 100;
const highestBackoff = 2_000;

/** Follows one document. */
export class DocumentFollower<Document> {
  private inForce: ActiveDocument<Document> | undefined;
  private revision = 0;
  private heardAt: number | undefined;
  private readonly stop = new AbortController();
  private readonly listeners = new Set<(inForce: ActiveDocument<Document>) => void>();
  private firstWakers: (() => void)[] = [];
  private task: Promise<void> = Promise.resolve();

  private constructor(private readonly options: DocumentFollowerOptions<Document>) {}

  static create<Document>(options: DocumentFollowerOptions<Document>): DocumentFollower<Document> {
    return new DocumentFollower(options);
  }

  /** Starts the watch. */
  start(): void {
    this.task = this.follow();
  }

  /** Returns what is in force, undefined before the first document. */
  get(): ActiveDocument<Document> | undefined {
    return this.inForce;
  }

  /** Version in force; 0 before the first document. */
  get version(): number {
    return this.inForce?.version ?? 0;
  }

  /** Calls back on each new document. */
  onChange(listener: (inForce: ActiveDocument<Document>) => void): void {
    this.listeners.add(listener);
  }

  /** Resolves when a document is in force. */
  async waitForFirst(): Promise<void> {
    while (!this.inForce && !this.stop.signal.aborted) {
      await new Promise<void>((resolve) => this.firstWakers.push(resolve));
    }
  }

  /** Whether somebody who could know of a newer document was heard lately. */
  isCurrent(): boolean {
    if (!this.inForce || this.heardAt === undefined) return false;
    return this.options.clock.getTime() - this.heardAt < this.options.maxAgeMs;
  }

  /** Milliseconds since the service or a peer spoke; undefined before. */
  getAgeMs(): number | undefined {
    return this.heardAt === undefined ? undefined : this.options.clock.getTime() - this.heardAt;
  }

  /**
   * Takes a peer's word that its version was in force `age` milliseconds ago: our own is current if it is not lower.
   * The age is the peer's own silence, so that two entries cut off together cannot keep each other current.
   */
  confirmVersion(version: number, age: number): void {
    if (version <= this.version) this.hear(age);
  }

  /** Takes a document a peer has; true where it is now in force. */
  offer(bytes: Uint8Array, age: number): boolean {
    const decoded = this.options.codec.decode(bytes);
    if (decoded.isErr()) {
      this.options.logger.error("document.unreadable", { key: this.options.key, text: decoded.error.text });
      return false;
    }
    const isNew = this.put(decoded.value, bytes);
    this.confirmVersion(this.options.codec.getVersion(decoded.value), age);
    return isNew;
  }

  /** Ends the watch. */
  async close(): Promise<void> {
    this.stop.abort();
    this.wakeFirst();
    await this.task;
  }

  private async follow(): Promise<void> {
    const { clock, getRandom, logger, key } = this.options;
    let backoff = firstBackoff;
    while (!this.stop.signal.aborted) {
      const sentAt = clock.getTime();
      const read = await this.readNext();
      if (this.stop.signal.aborted) return;
      if (read.isOk()) {
        backoff = firstBackoff;
        this.take(read.value, sentAt);
        continue;
      }
      logger.debug("document.silent", { key, failure: read.error.name });
      // Full jitter: entries that lost the service together must not come back together.
      await waitFor(clock, backoff * (0.5 + getRandom() / 2), this.stop.signal);
      backoff = Math.min(highestBackoff, backoff * 2);
    }
  }

  private readNext(): Promise<Result<StoredValue | undefined, Failure>> {
    const { service, key, watchWaitMs: watchWait } = this.options;
    if (this.heardAt === undefined) return service.read(key);
    return service.watch(key, this.revision, watchWait, this.stop.signal);
  }

  private take(value: StoredValue | undefined, sentAt: number): void {
    const { clock, watchWaitMs: watchWait } = this.options;
    const elapsed = clock.getTime() - sentAt;
    const isUnchanged = (value?.revision ?? 0) === this.revision;
    // What the service says was true at some time after the call was sent; a watch that saw no change said so at the
    // end of its wait.
    const age = isUnchanged && elapsed >= watchWait ? elapsed - watchWait : elapsed;
    const isWord = value ? value.revision === this.revision || this.takeStored(value) : this.takeAbsent();
    if (isWord) this.hear(age);
  }

  /** Takes that the service holds no document; false where one was in force. */
  private takeAbsent(): boolean {
    this.revision = 0;
    if (!this.inForce) return true;
    void this.writeAgain(this.revision);
    return false;
  }

  /** Takes what the service holds; false where that says nothing of what is current. */
  private takeStored({ value, revision }: StoredValue): boolean {
    const { codec, logger, key } = this.options;
    this.revision = revision;
    const decoded = codec.decode(value);
    if (decoded.isErr()) {
      logger.error("document.unreadable", { key, text: decoded.error.text });
      return false;
    }
    const version = codec.getVersion(decoded.value);
    if (version < this.version) {
      logger.info("document.passed-over", { key, version, inForce: this.version, revision });
      void this.writeAgain(revision);
      return false;
    }
    this.put(decoded.value, value);
    return true;
  }

  /** Writes the document in force over an older one, unless another has done so. */
  private async writeAgain(revision: number): Promise<void> {
    const { service, key, logger } = this.options;
    if (!this.inForce) return;
    const { bytes, version } = this.inForce;
    const written = await service.compareAndSwap(key, bytes, revision);
    logger.info("document.written-again", {
      key,
      version,
      outcome: written.isOk() ? "written" : written.error.name,
    });
  }

  private put(document: Document, bytes: Uint8Array): boolean {
    const version = this.options.codec.getVersion(document);
    if (this.inForce && version <= this.inForce.version) return false;
    this.inForce = { document, version, bytes };
    this.options.logger.info("document.in-force", { key: this.options.key, version });
    for (const listener of this.listeners) listener(this.inForce);
    this.wakeFirst();
    return true;
  }

  private hear(age: number): void {
    const at = this.options.clock.getTime() - age;
    if (this.heardAt === undefined || at > this.heardAt) this.heardAt = at;
  }

  private wakeFirst(): void {
    const wakers = this.firstWakers;
    this.firstWakers = [];
    wakers.forEach((wake) => wake());
  }
}

/** One change of a document. */
export interface DocumentUpdate<Document> {
  /** Returns the changed document, or why the change cannot be made to this one. */
  apply(present: Document): Result<Document, Failure>;
  /** Whether a document already holds this change: settles a lost answer. */
  isApplied(document: Document): boolean;
}

/** Where and how to change a document. */
export interface DocumentUpdateOptions<Document> {
  readonly service: KeyValueService;
  readonly key: string;
  readonly codec: DocumentCodec<Document>;
  /** The document that stands for no document. */
  readonly empty: Document;
  readonly clock: Clock;
  /** Milliseconds after which the outcome is given up as unknown. */
  readonly patience: number;
}

/**
 * Changes a document by compare-and-swap until it is known whether the change took effect.
 *
 * Fails with what `apply` says, with `ServiceUnavailable` where the change surely did not take effect, or with
 * `ServiceAnswerLost` where that stayed unknown.
 */
export async function updateDocument<Document>(
  options: DocumentUpdateOptions<Document>,
  update: DocumentUpdate<Document>,
): Promise<Result<Document, Failure>> {
  const { service, key, codec, clock } = options;
  const end = clock.getTime() + options.patience;
  let mayHaveWritten = false;
  while (true) {
    const stored = await service.read(key);
    if (stored.isOk()) {
      const present = readDocument(stored.value, options);
      if (present.isErr()) return present;
      if (update.isApplied(present.value)) return Ok(present.value);
      // Read back without the change: no swap of ours can land any more, its expected revision is gone or present.
      const next = update.apply(present.value);
      if (next.isErr()) return next;
      const swapped = await service.compareAndSwap(
        key,
        codec.encode(next.value),
        stored.value?.revision ?? 0,
      );
      if (swapped.isOk()) return Ok(next.value);
      if (swapped.error.code === FailureCode.ValueTooLarge) return swapped;
      if (swapped.error.code === FailureCode.ServiceAnswerLost) mayHaveWritten = true;
    }
    if (clock.getTime() >= end) {
      const code = mayHaveWritten ? FailureCode.ServiceAnswerLost : FailureCode.ServiceUnavailable;
      return Err(Failure.create(code, { detail: "no answer in time" }));
    }
    await waitFor(clock, firstBackoff);
  }
}

function readDocument<Document>(
  stored: StoredValue | undefined,
  options: DocumentUpdateOptions<Document>,
): Result<Document, Failure> {
  return stored ? options.codec.decode(stored.value) : Ok(options.empty);
}
