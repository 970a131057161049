/**
 * Splits a stream of server-sent events into complete events without changing a byte, and finds the id of the last one.
 * @module
 */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idPattern = /(?:^|\n)id:[ ]?([^\r\n]*)/g;

/** Buffers the bytes of an event until it is complete. */
export class EventSplitter {
  /** Id of the last complete event; undefined before the first event with an id. */
  lastEventId: string | undefined;
  private rest: Buffer = Buffer.alloc(0);

  private constructor(private readonly readsIds: boolean) {}

  /** Creates a splitter; `readsIds` states whether ids are needed, otherwise they are not parsed. */
  static create(readsIds: boolean): EventSplitter {
    return new EventSplitter(readsIds);
  }

  /** Adds bytes; returns the complete events, which may be empty. */
  add(bytes: Buffer): Buffer {
    const all = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const end = findLastEventEnd(all);
    this.rest = all.subarray(end);
    const whole = all.subarray(0, end);
    if (this.readsIds && end > 0) this.readLastId(whole);
    return whole;
  }

  /** Returns the buffered rest after the stream's end; it contains no complete event. */
  takeRest(): Buffer {
    const { rest } = this;
    this.rest = Buffer.alloc(0);
    return rest;
  }

  private readLastId(whole: Buffer): void {
    for (const found of whole.toString("utf8").matchAll(idPattern)) this.lastEventId = found[1];
  }
}

/** Returns the index after the last blank line, which ends an event; 0 if there is none. */
function findLastEventEnd(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== lineFeed) continue;
    const before = bytes[index - 1];
    if (before === lineFeed) return index + 1;
    if (before === carriageReturn && bytes[index - 2] === lineFeed) return index + 1;
  }
  return 0;
}
