/**
 * Writes lines to a stream without ever waiting for its reader. Lines are dropped and counted while more than a fixed
 * number of bytes is waiting to be written.
 * @module
 */
import { createWriteStream, fstatSync } from "node:fs";
import { Socket } from "node:net";
import type { Writable } from "node:stream";

const defaultMaxWaitingBytes = 262_144;

/** Line writer with a bounded buffer. */
export class LineWriter {
  private dropped = 0;

  private constructor(
    private readonly stream: Writable,
    private readonly maxWaitingBytes: number,
  ) {
    // The process must not end because its reader closed the stream; the lines are lost instead.
    stream.on("error", () => undefined);
  }

  static create(stream: Writable, maxWaitingBytes: number = defaultMaxWaitingBytes): LineWriter {
    return new LineWriter(stream, maxWaitingBytes);
  }

  /** Creates a writer to standard output that does not block. Node.js itself writes to pipes synchronously. */
  static createStandardOutput(): LineWriter {
    return new LineWriter(openStandardOutput(), defaultMaxWaitingBytes);
  }

  /** Writes a line, or drops and counts it if too many bytes are waiting. */
  write(line: string): void {
    if (this.stream.writableLength > this.maxWaitingBytes || this.stream.destroyed) this.dropped += 1;
    else this.stream.write(`${line}\n`);
  }

  /** Returns the number of lines dropped since the last call. */
  takeDroppedCount(): number {
    const { dropped } = this;
    this.dropped = 0;
    return dropped;
  }

  /** Resolves when all lines written so far are flushed, or after `timeoutMs` milliseconds. */
  flush(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      this.stream.write("", () => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}

const standardOutput = 1;

function openStandardOutput(): Writable {
  const stat = fstatSync(standardOutput);
  if (stat.isFIFO() || stat.isSocket()) return new Socket({ fd: standardOutput, readable: false });
  if (stat.isFile()) return createWriteStream("", { fd: standardOutput, autoClose: false });
  return process.stdout;
}
