/**
 * A versioned document stored under one key. It is followed by a watch and by messages from peers, and changed by
 * compare-and-swap.
 *
 * A follower never reverts to a lower version: the document with the highest version is active, whatever its
 * source and the order of arrival. A service that holds an older document than the active one was restored from
 * a backup. Its response does not confirm what is current, and the follower writes the active document to it
 * again.
 * @module
 */
import { type Clock, Failure, FailureCode, type Logger, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import type { KeyValueService, StoredValue } from "./types.js";

/** Encodes and decodes a document. */
export interface DocumentCodec<Document> {
  encode(document: Document): Uint8Array;
  decode(bytes: Uint8Array): Result<Document, Failure>;
  /** Returns the version of a document, which grows by one with each change. */
  getVersion(document: Document): number;
}

/** Options of a document follower. */
export interface DocumentFollowerOptions<Document> {
  readonly service: KeyValueService;
  /** Key of the document in the key-value service. */
  readonly key: string;
  readonly codec: DocumentCodec<Document>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Maximum wait of one watch, in milliseconds. */
  readonly watchWaitMs: number;
  /** Milliseconds without a confirmation from the service or a peer after which the document may be out of date. */
  readonly maxAgeMs: number;
  /** Returns a number from 0 to 1, for jitter. */
  readonly getRandom: () => number;
}

/** The active document of a follower, with its encoded form. */
export interface ActiveDocument<Document> {
  readonly document: Document;
  readonly version: number;
  readonly bytes: Uint8Array;
}

const minBackoffMs = 100;
const maxBackoffMs = 2_000;

/** Follows one document and keeps the latest version of it active. */
export class DocumentFollower<Document> {
  private active: ActiveDocument<Document> | undefined;
  private revision = 0;
  private confirmedAt: number | undefined;
  private readonly stop = new AbortController();
  private readonly listeners = new Set<(active: ActiveDocument<Document>) => void>();
  private firstDocumentWaiters: (() => void)[] = [];
  private task: Promise<void> = Promise.resolve();

  private constructor(private readonly options: DocumentFollowerOptions<Document>) {}

  static create<Document>(options: DocumentFollowerOptions<Document>): DocumentFollower<Document> {
    return new DocumentFollower(options);
  }

  /** Starts following the document. */
  start(): void {
    this.task = this.follow();
  }

  /** Returns the active document; undefined before the first one. */
  get(): ActiveDocument<Document> | undefined {
    return this.active;
  }

  /** Version of the active document; 0 before the first one. */
  get version(): number {
    return this.active?.version ?? 0;
  }

  /** Registers a listener that is called with each new active document. */
  onChange(listener: (active: ActiveDocument<Document>) => void): void {
    this.listeners.add(listener);
  }

  /** Resolves when a document is active, or when the follower is closed. */
  async waitForFirst(): Promise<void> {
    while (!this.active && !this.stop.signal.aborted) {
      await new Promise<void>((resolve) => this.firstDocumentWaiters.push(resolve));
    }
  }

  /** Returns whether the document was confirmed recently by a source that would know of a newer one. */
  isCurrent(): boolean {
    if (!this.active || this.confirmedAt === undefined) return false;
    return this.options.clock.getTime() - this.confirmedAt < this.options.maxAgeMs;
  }

  /** Returns the milliseconds since the last confirmation by the service or a peer; undefined before the first one. */
  getAgeMs(): number | undefined {
    return this.confirmedAt === undefined ? undefined : this.options.clock.getTime() - this.confirmedAt;
  }

  /**
   * Applies a peer's message that `version` was current `age` milliseconds ago. This confirms the own document if
   * its version is not lower. The age is the time since the peer's own last confirmation, so that two entries
   * that are partitioned together cannot keep each other current.
   */
  confirmVersion(version: number, age: number): void {
    if (version <= this.version) this.confirm(age);
  }

  /** Applies a document from a peer that was current `age` milliseconds ago; returns whether it became active. */
  offer(bytes: Uint8Array, age: number): boolean {
    const decoded = this.options.codec.decode(bytes);
    if (decoded.isErr()) {
      this.options.logger.error("document.unreadable", { key: this.options.key, text: decoded.error.text });
      return false;
    }
    const isNew = this.activate(decoded.value, bytes);
    this.confirmVersion(this.options.codec.getVersion(decoded.value), age);
    return isNew;
  }

  /** Stops following the document. */
  async close(): Promise<void> {
    this.stop.abort();
    this.resolveWaiters();
    await this.task;
  }

  private async follow(): Promise<void> {
    const { clock, getRandom, logger, key } = this.options;
    let backoff = minBackoffMs;
    while (!this.stop.signal.aborted) {
      const sentAt = clock.getTime();
      const read = await this.readNext();
      if (this.stop.signal.aborted) return;
      if (read.isOk()) {
        backoff = minBackoffMs;
        this.handleRead(read.value, sentAt);
        continue;
      }
      logger.debug("document.silent", { key, failure: read.error.name });
      // Jitter, because entries that lost the service at the same time must not return to it at the same time.
      await waitFor(clock, backoff * (0.5 + getRandom() / 2), this.stop.signal);
      backoff = Math.min(maxBackoffMs, backoff * 2);
    }
  }

  private readNext(): Promise<Result<StoredValue | undefined, Failure>> {
    const { service, key, watchWaitMs } = this.options;
    if (this.confirmedAt === undefined) return service.read(key);
    return service.watch(key, this.revision, watchWaitMs, this.stop.signal);
  }

  private handleRead(value: StoredValue | undefined, sentAt: number): void {
    const { clock, watchWaitMs } = this.options;
    const elapsed = clock.getTime() - sentAt;
    const isUnchanged = (value?.revision ?? 0) === this.revision;
    // A response reflects the state at some time after the call was sent. A watch without a change confirms the
    // state at the end of its wait.
    const age = isUnchanged && elapsed >= watchWaitMs ? elapsed - watchWaitMs : elapsed;
    const isConfirmation = value
      ? value.revision === this.revision || this.handleStored(value)
      : this.handleAbsent();
    if (isConfirmation) this.confirm(age);
  }

  /** Handles that the service has no document; returns false if one is active, because the service then lost it. */
  private handleAbsent(): boolean {
    this.revision = 0;
    if (!this.active) return true;
    void this.rewrite(this.revision);
    return false;
  }

  /** Handles the document of the service; returns false if it does not confirm what is current. */
  private handleStored({ value, revision }: StoredValue): boolean {
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
      void this.rewrite(revision);
      return false;
    }
    this.activate(decoded.value, value);
    return true;
  }

  /** Writes the active document over an older one, unless another entry has done so. */
  private async rewrite(revision: number): Promise<void> {
    const { service, key, logger } = this.options;
    if (!this.active) return;
    const { bytes, version } = this.active;
    const written = await service.compareAndSwap(key, bytes, revision);
    logger.info("document.written-again", {
      key,
      version,
      outcome: written.isOk() ? "written" : written.error.name,
    });
  }

  private activate(document: Document, bytes: Uint8Array): boolean {
    const version = this.options.codec.getVersion(document);
    if (this.active && version <= this.active.version) return false;
    this.active = { document, version, bytes };
    this.options.logger.info("document.in-force", { key: this.options.key, version });
    for (const listener of this.listeners) listener(this.active);
    this.resolveWaiters();
    return true;
  }

  private confirm(age: number): void {
    const at = this.options.clock.getTime() - age;
    if (this.confirmedAt === undefined || at > this.confirmedAt) this.confirmedAt = at;
  }

  private resolveWaiters(): void {
    const waiters = this.firstDocumentWaiters;
    this.firstDocumentWaiters = [];
    waiters.forEach((resolve) => resolve());
  }
}

/** A change to a document. */
export interface DocumentUpdate<Document> {
  /** Returns the changed document; fails if the change cannot be applied to this one. */
  apply(present: Document): Result<Document, Failure>;
  /** Returns whether a document already includes this change, which resolves the outcome after a lost response. */
  isApplied(document: Document): boolean;
}

/** Options for changing a document. */
export interface DocumentUpdateOptions<Document> {
  readonly service: KeyValueService;
  readonly key: string;
  readonly codec: DocumentCodec<Document>;
  /** Document to start from if none is stored. */
  readonly empty: Document;
  readonly clock: Clock;
  /** Milliseconds after which no further attempt is made. */
  readonly timeoutMs: number;
}

/**
 * Changes a document by compare-and-swap, and retries until it is known whether the change took effect.
 *
 * Fails with the failure of `apply` or of decoding, with `ValueTooLarge`, with `ServiceUnavailable` if the
 * change certainly did not take effect, or with `ServiceAnswerLost` if that remained unknown.
 */
export async function updateDocument<Document>(
  options: DocumentUpdateOptions<Document>,
  update: DocumentUpdate<Document>,
): Promise<Result<Document, Failure>> {
  const { service, key, codec, clock } = options;
  const deadline = clock.getTime() + options.timeoutMs;
  let mayHaveWritten = false;
  while (true) {
    const stored = await service.read(key);
    if (stored.isOk()) {
      const present = readDocument(stored.value, options);
      if (present.isErr()) return present;
      if (update.isApplied(present.value)) return Ok(present.value);
      // The document that was read does not include the change. An earlier swap of this call can only take
      // effect if its expected revision is still the current one, and then at most one of it and the swap below
      // takes effect.
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
    if (clock.getTime() >= deadline) {
      const code = mayHaveWritten ? FailureCode.ServiceAnswerLost : FailureCode.ServiceUnavailable;
      return Err(Failure.create(code, { detail: "no answer in time" }));
    }
    await waitFor(clock, minBackoffMs);
  }
}

function readDocument<Document>(
  stored: StoredValue | undefined,
  options: DocumentUpdateOptions<Document>,
): Result<Document, Failure> {
  return stored ? options.codec.decode(stored.value) : Ok(options.empty);
}
