/**
 * Keeps a stream that ends with its connection from resting between two events. When the process of an instance is killed, its kernel
 * closes the connections in order, and between two events that would look like the stream's end. So each event is followed by the begin of a
 * comment, which parsers ignore (HTML standard, section 9.2.6), and which is completed before the next event, or at the end of the stream: one
 * that ends inside the comment was broken off.
 * @module
 */

const begin = Buffer.from(":");
const lineEnd = Buffer.from("\n");
const blankLine = Buffer.from("\n\n");

/** The comment of one stream. */
export class OpenComment {
  private isOpen = false;

  private constructor() {}

  static create(): OpenComment {
    return new OpenComment();
  }

  /** Returns what to send for bytes of events; `endsInside` states whether they end inside an event, which shows by itself. */
  wrap(bytes: Buffer, endsInside: boolean): Buffer {
    const parts = [...(this.isOpen ? [lineEnd] : []), bytes, ...(endsInside ? [] : [begin])];
    this.isOpen = !endsInside;
    return parts.length === 1 ? bytes : Buffer.concat(parts);
  }

  /** Returns what to send at the end of the stream, of which `rest` are the last bytes. */
  finish(rest: Buffer): Buffer {
    const isOpen = this.isOpen;
    this.isOpen = false;
    return isOpen ? Buffer.concat([blankLine, rest]) : rest;
  }
}
