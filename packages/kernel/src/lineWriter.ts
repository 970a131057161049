/**
 * Writes lines to a stream without ever waiting for its reader: what would have to wait for longer than a bound of
 * bytes allows is left out and counted.
 * @module
 */
import { createWriteStream, fstatSync } from "node:fs";
import { Socket } from "node:net";
import type { Writable } from "node:stream";

const mostWaitingBytes = 262_144;

/** Writes lines. */
export class LineWriter {
  private dropped = 0;

  private constructor(
    private readonly stream: Writable,
    private readonly mostBytes: number,
  ) {
    // A reader that has gone must not end the process; its lines are lost.
    stream.on("error", () => undefined);
  }

  static create(stream: Writable, mostBytes: number = mostWaitingBytes): LineWriter {
    return new LineWriter(stream, mostBytes);
  }

  /** Creates a writer to standard output, which Node itself would write to synchronously where it is a pipe. */
  static createStandardOutput(): LineWriter {
    return new LineWriter(openStandardOutput(), mostWaitingBytes);
  }

  /** Writes a line, or counts it where too much waits. */
  write(line: string): void {
    if (this.stream.writableLength > this.mostBytes || this.stream.destroyed) this.dropped += 1;
    else this.stream.write(`${line}\n`);
  }

  /** Returns the lines left out since the last call. */
  takeDroppedCount(): number {
    const { dropped } = this;
    this.dropped = 0;
    return dropped;
  }

  /** Resolves when everything written so far has left, or after a time. */
  flush(mostMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, mostMs);
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
