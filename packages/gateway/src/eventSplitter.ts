/**
 * Cuts a stream of events into whole events, byte for byte, and finds the id of the last one.
 * @module
 */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idPattern = /(?:^|\n)id:[ ]?([^\r\n]*)/g;

/** Holds back the part of an event that has not all come. */
export class EventSplitter {
  /** Id of the last whole event; undefined before the first that has one. */
  lastEventId: string | undefined;
  private rest: Buffer = Buffer.alloc(0);

  private constructor(private readonly readsIds: boolean) {}

  /** Creates a splitter; ids are only looked for where they are needed. */
  static create(readsIds: boolean): EventSplitter {
    return new EventSplitter(readsIds);
  }

  /** Takes bytes; returns the whole events they complete. */
  add(bytes: Buffer): Buffer {
    const all = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const end = findLastEventEnd(all);
    this.rest = all.subarray(end);
    const whole = all.subarray(0, end);
    if (this.readsIds && end > 0) this.readLastId(whole);
    return whole;
  }

  /** Returns what is left after the stream's end; it holds no whole event. */
  takeRest(): Buffer {
    const { rest } = this;
    this.rest = Buffer.alloc(0);
    return rest;
  }

  private readLastId(whole: Buffer): void {
    for (const found of whole.toString("utf8").matchAll(idPattern)) this.lastEventId = found[1];
  }
}

/** Returns the index behind the last blank line. */
function findLastEventEnd(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== lineFeed) continue;
    const before = bytes[index - 1];
    if (before === lineFeed) return index + 1;
    if (before === carriageReturn && bytes[index - 2] === lineFeed) return index + 1;
  }
  return 0;
}
