/**
 * The answer of one request as it comes in: any number of readers follow it from any position, and a reader that
 * comes later gets what is still held. A bounded window keeps a fast endpoint from filling memory.
 * @module
 */
import type { Failure } from "@gladewall/kernel";
import type { ResponseChunk, ResponseHead } from "./types.js";

/** State of an answer. */
export enum ResponseState {
  Open = 1,
  Complete = 2,
  Failed = 3,
  /** Goes on at another entry. */
  Moved = 4,
}

/** Bytes that a writer may be ahead of the slowest reader. */
const maxReaderLagBytes = 1_048_576;

interface Reader {
  /** Bytes of the answer this reader has taken. */
  takenBytes: number;
}

/** An answer that grows. */
export class ResponseLog {
  head: ResponseHead | undefined;
  state = ResponseState.Open;
  failure: Failure | undefined;
  /** Chunks held; the first has index `dropped`. */
  private chunks: ResponseChunk[] = [];
  private dropped = 0;
  private bytes = 0;
  private heldBytes = 0;
  /** Chunks up to this index may be given to callers: a backup holds them. */
  private released = Infinity;
  private readonly readers = new Set<Reader>();
  private waiters: (() => void)[] = [];

  private constructor(private readonly holdBytes: number) {}

  /** `holdBytes`: largest answer that is held whole. */
  static create(holdBytes: number): ResponseLog {
    return new ResponseLog(holdBytes);
  }

  /** Position after the last chunk: tokens or bytes. */
  get end(): number {
    const last = this.chunks[this.chunks.length - 1];
    return last ? last.position + getChunkLength(last) : 0;
  }

  /** Whether everything from the beginning is still held. */
  get isWhole(): boolean {
    return this.dropped === 0;
  }

  /** Bytes held. */
  get size(): number {
    return this.heldBytes;
  }

  /** Number of callers reading. */
  get readerCount(): number {
    return this.readers.size;
  }

  /** Text so far; for answers of models. */
  getText(): string {
    return this.chunks.map((chunk) => (typeof chunk.data === "string" ? chunk.data : "")).join("");
  }

  /** Chunks held. */
  getChunks(): readonly ResponseChunk[] {
    return this.chunks;
  }

  setHead(head: ResponseHead): void {
    this.head ??= head;
    this.notifyWaiters();
  }

  /** Adds a chunk; resolves when there is room for the next. */
  async add(chunk: ResponseChunk): Promise<void> {
    const size = getChunkBytes(chunk);
    this.chunks.push(chunk);
    this.bytes += size;
    this.heldBytes += size;
    this.notifyWaiters();
    this.dropOldest();
    while (this.state === ResponseState.Open && this.readers.size > 0 && this.getLag() > maxReaderLagBytes) {
      await this.waitForChange();
    }
  }

  /** Fills a new log with what another entry had of the answer. */
  restore(head: ResponseHead | undefined, chunks: readonly ResponseChunk[]): void {
    this.head = head;
    this.chunks = [...chunks];
    this.heldBytes = chunks.reduce((sum, chunk) => sum + getChunkBytes(chunk), 0);
    this.bytes = this.heldBytes;
  }

  /** Ends the answer with its end mark seen. */
  complete(): void {
    if (this.state !== ResponseState.Open) return;
    this.state = ResponseState.Complete;
    this.notifyWaiters();
  }

  /** Ends the answer without one. */
  fail(failure: Failure): void {
    if (this.state !== ResponseState.Open) return;
    this.state = ResponseState.Failed;
    this.failure = failure;
    this.notifyWaiters();
  }

  /** Ends the answer here because it goes on at another entry. */
  markMoved(): void {
    if (this.state !== ResponseState.Open) return;
    this.state = ResponseState.Moved;
    this.notifyWaiters();
  }

  /** Index after the last chunk. */
  get count(): number {
    return this.dropped + this.chunks.length;
  }

  /** Returns the held chunks from an index on. */
  getChunksFrom(index: number): readonly ResponseChunk[] {
    return this.chunks.slice(Math.max(0, index - this.dropped));
  }

  /** Lets callers have chunks up to an index; `Infinity` lets them have whatever comes. */
  release(index: number): void {
    this.released = index;
    this.notifyWaiters();
  }

  /** Whether chunks wait for a backup before callers may have them. */
  get hasUnreleased(): boolean {
    return this.released < this.count;
  }

  /** Resolves when the answer is no longer open. */
  async waitForEnd(): Promise<void> {
    while (this.state === ResponseState.Open) await this.waitForChange();
  }

  /** Resolves when the head is known, or the answer has ended. */
  async waitForHead(): Promise<void> {
    while (!this.head && this.state === ResponseState.Open) await this.waitForChange();
  }

  /** Tells whether a reader can start at a position. */
  canFollow(position: number): boolean {
    const first = this.chunks[0];
    return this.isWhole || (first !== undefined && position >= first.position);
  }

  /** Yields chunks from a position on until the answer ends or the signal is aborted. */
  async *follow(position: number, signal: AbortSignal): AsyncGenerator<ResponseChunk> {
    const reader: Reader = { takenBytes: this.bytes - this.heldBytes };
    this.readers.add(reader);
    const handleAbort = (): void => this.notifyWaiters();
    signal.addEventListener("abort", handleAbort);
    let index = this.dropped;
    try {
      while (!signal.aborted) {
        const chunk = index < this.released ? this.chunks[index - this.dropped] : undefined;
        if (chunk) {
          index += 1;
          // An end mark without data stands at the position where a reader may already be.
          if (chunk.position >= position || chunk.finish !== undefined) yield chunk;
          reader.takenBytes += getChunkBytes(chunk);
          this.dropOldest();
          if (this.readers.size > 0) this.notifyWaiters();
        } else if (this.state !== ResponseState.Open && index >= Math.min(this.released, this.count)) {
          // A moved answer is taken up at the other entry from what was released here.
          if (this.state === ResponseState.Moved || index >= this.count) return;
          await this.waitForChange();
        } else {
          await this.waitForChange();
        }
      }
    } finally {
      signal.removeEventListener("abort", handleAbort);
      this.readers.delete(reader);
      this.notifyWaiters();
    }
  }

  private getLag(): number {
    let lag = 0;
    for (const reader of this.readers) lag = Math.max(lag, this.bytes - reader.takenBytes);
    return lag;
  }

  private dropOldest(): void {
    const lag = this.getLag();
    while (this.heldBytes > this.holdBytes && this.chunks.length > 1) {
      const first = this.chunks[0];
      if (!first) return;
      const size = getChunkBytes(first);
      // What a reader has not taken yet is kept, whatever its size: the window bounds it.
      if (this.heldBytes - size < lag) return;
      this.chunks.shift();
      this.dropped += 1;
      this.heldBytes -= size;
    }
  }

  private waitForChange(): Promise<void> {
    return new Promise((resolve) => this.waiters.push(resolve));
  }

  private notifyWaiters(): void {
    const waiters = this.waiters;
    if (waiters.length === 0) return;
    this.waiters = [];
    for (const resolve of waiters) resolve();
  }
}

/** Length of a chunk in its answer's positions: a token counts one, bytes count themselves. */
export function getChunkLength(chunk: ResponseChunk): number {
  if (typeof chunk.data !== "string") return chunk.data.length;
  return chunk.finish === undefined ? 1 : 0;
}

function getChunkBytes(chunk: ResponseChunk): number {
  return chunk.data.length + (chunk.choices?.length ?? 0);
}
