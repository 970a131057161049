/**
 * Buffers the response of one request as it arrives. Any number of readers follow it from any position, and a later
 * reader receives what is still buffered. A bounded window prevents a fast endpoint from filling the memory.
 * @module
 */
import type { Failure } from "@gladewall/kernel";
import type { ResponseChunk, ResponseHead } from "./types.js";

/** State of a response. */
export enum ResponseState {
  Open = 1,
  Complete = 2,
  Failed = 3,
  /** Continues at another entry. */
  Moved = 4,
}

/** Number of bytes that the writer may be ahead of the slowest reader. */
const maxReaderLagBytes = 1_048_576;

/** Progress of one reader. */
interface Reader {
  /** Bytes of the response before this reader's position. */
  takenBytes: number;
}

/** The response of a request, which grows until it ends. */
export class ResponseLog {
  head: ResponseHead | undefined;
  state = ResponseState.Open;
  failure: Failure | undefined;
  /** Buffered chunks; the first has index `dropped`. */
  private chunks: ResponseChunk[] = [];
  private dropped = 0;
  private bytes = 0;
  private heldBytes = 0;
  /** Readers may receive chunks before this index, because the backups hold them. */
  private released = Infinity;
  private readonly readers = new Set<Reader>();
  private waiters: (() => void)[] = [];

  private constructor(private readonly holdBytes: number) {}

  /** `holdBytes`: size in bytes up to which a response is kept whole. */
  static create(holdBytes: number): ResponseLog {
    return new ResponseLog(holdBytes);
  }

  /** Position after the last chunk, in tokens for model responses and in bytes otherwise. */
  get end(): number {
    const last = this.chunks[this.chunks.length - 1];
    return last ? last.position + getChunkLength(last) : 0;
  }

  /** Whether everything from the beginning is still buffered. */
  get isWhole(): boolean {
    return this.dropped === 0;
  }

  /** Number of buffered bytes. */
  get size(): number {
    return this.heldBytes;
  }

  /** Number of readers. */
  get readerCount(): number {
    return this.readers.size;
  }

  /** Returns the buffered text of a model response. */
  getText(): string {
    return this.chunks.map((chunk) => (typeof chunk.data === "string" ? chunk.data : "")).join("");
  }

  /** Returns the buffered chunks. */
  getChunks(): readonly ResponseChunk[] {
    return this.chunks;
  }

  setHead(head: ResponseHead): void {
    this.head ??= head;
    this.notifyWaiters();
  }

  /** Adds a chunk. Resolves when the slowest reader is at most `maxReaderLagBytes` behind. */
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

  /** Fills a new log with what another entry had of the response. */
  restore(head: ResponseHead | undefined, chunks: readonly ResponseChunk[]): void {
    this.head = head;
    this.chunks = [...chunks];
    this.heldBytes = chunks.reduce((sum, chunk) => sum + getChunkBytes(chunk), 0);
    this.bytes = this.heldBytes;
  }

  /** Ends the response after its end marker was received. */
  complete(): void {
    if (this.state !== ResponseState.Open) return;
    this.state = ResponseState.Complete;
    this.notifyWaiters();
  }

  /** Ends the response with a failure. */
  fail(failure: Failure): void {
    if (this.state !== ResponseState.Open) return;
    this.state = ResponseState.Failed;
    this.failure = failure;
    this.notifyWaiters();
  }

  /** Ends the response at this entry because it continues at another one. */
  markMoved(): void {
    if (this.state !== ResponseState.Open) return;
    this.state = ResponseState.Moved;
    this.notifyWaiters();
  }

  /** Index after the last chunk. */
  get count(): number {
    return this.dropped + this.chunks.length;
  }

  /** Returns the buffered chunks from an index on. */
  getChunksFrom(index: number): readonly ResponseChunk[] {
    return this.chunks.slice(Math.max(0, index - this.dropped));
  }

  /** Releases the chunks before an index to readers; `Infinity` releases all present and future chunks. */
  release(index: number): void {
    this.released = index;
    this.notifyWaiters();
  }

  /** Whether chunks are withheld from readers until a backup has acknowledged them. */
  get hasUnreleased(): boolean {
    return this.released < this.count;
  }

  /** Resolves when the response is no longer open. */
  async waitForEnd(): Promise<void> {
    while (this.state === ResponseState.Open) await this.waitForChange();
  }

  /** Resolves when the head is known or the response has ended. */
  async waitForHead(): Promise<void> {
    while (!this.head && this.state === ResponseState.Open) await this.waitForChange();
  }

  /** Returns whether a reader can start at a position. */
  canFollow(position: number): boolean {
    const first = this.chunks[0];
    return this.isWhole || (first !== undefined && position >= first.position);
  }

  /** Yields chunks from a position on until the response ends or the signal is aborted. */
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
          // An end marker without data has the position after the last chunk, which a reader may have reached already.
          if (chunk.position >= position || chunk.finish !== undefined) yield chunk;
          reader.takenBytes += getChunkBytes(chunk);
          this.dropOldest();
          if (this.readers.size > 0) this.notifyWaiters();
        } else if (this.state !== ResponseState.Open && index >= Math.min(this.released, this.count)) {
          // The caller continues a moved response at the other entry from the end of what was released here.
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
      // Chunks after the position of a reader are kept; their size is bounded by `maxReaderLagBytes`.
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

/** Returns the length of a chunk in positions: 1 for a token, 0 for an end marker, otherwise the number of bytes. */
export function getChunkLength(chunk: ResponseChunk): number {
  if (typeof chunk.data !== "string") return chunk.data.length;
  return chunk.finish === undefined ? 1 : 0;
}

function getChunkBytes(chunk: ResponseChunk): number {
  return chunk.data.length + (chunk.choices?.length ?? 0);
}
