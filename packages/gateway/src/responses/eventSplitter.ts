/**
 * Splits a stream of server-sent events into complete events without changing a byte, and finds the id of the last one. Lines end
 * with LF, CR or both, as the HTML standard has it (section 9.2.6, "Interpreting an event stream").
 * @module
 */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;
const space = 0x20;
const byteOrderMark = Buffer.from([0xef, 0xbb, 0xbf]);
const idField = "id";
/** A number that JavaScript holds exactly. */
const numberPattern = /^\d{1,15}$/;
/** Bytes of an event that are held back while it is incomplete; the rest of a longer one is returned as it comes. */
const maxHeldBytes = 262_144;

/** Buffers the bytes of an event until it is complete, or too long to be held back. */
export class EventSplitter {
  /** Id of the last complete event that has one, a character for each of its bytes; undefined before it. */
  lastEventId: string | undefined;
  /** Whether the last complete event has no id, so that the stream can't be continued exactly after it. */
  endsWithoutId = false;
  /** Whether an event has come that is not after the one at which the stream was to continue. Neither it nor a later one is returned. */
  hasGoneBack = false;
  private hasCompleted = false;
  private rest: Buffer = Buffer.alloc(0);
  /** Buffer that begins with `rest` and has room after it; undefined while `rest` is a part of received bytes. */
  private store: Buffer | undefined;
  /** Index in `rest` at which the current line begins. */
  private lineStart = 0;
  private lastByte: number | undefined;
  private isFirstLine = true;
  /** Whether the last line that ended is blank. */
  private isBlankLine = false;
  /** Whether the last line before the current one ended with CR and LF. */
  private usesBoth = false;
  /** Whether the current event has a line other than a comment. */
  private hasField = false;
  /** Id of the current event; undefined if it has none so far. */
  private id: string | undefined;
  /** Whether the begin of the current line has been returned and evaluated already. */
  private isLineBegun = false;
  /** Bytes of the current event that have been returned. */
  private returnedBytes = 0;
  /** Index in `rest` after a blank line that ended with CR, while it isn't known whether LF follows; undefined otherwise. */
  private openEnd: number | undefined;

  private constructor(
    private readonly readsIds: boolean,
    private readonly after: string | undefined,
  ) {}

  /**
   * Creates a splitter; `readsIds` states whether ids are needed, otherwise they are not parsed. `after` is the id after which the stream
   * is to continue; undefined for one that begins.
   */
  static create(readsIds: boolean, after?: string): EventSplitter {
    return new EventSplitter(readsIds, after);
  }

  /** Adds bytes; returns the complete events, which may be empty, and what is too long to be held back. */
  add(bytes: Buffer): Buffer {
    const whole = this.split(bytes);
    // While it isn't known whether the last event has ended, the next byte tells.
    const isTooLong = this.rest.length > maxHeldBytes && this.openEnd === undefined;
    if (isTooLong) this.hasGoneBack ||= this.goesBack();
    return isTooLong && !this.hasGoneBack ? Buffer.concat([whole, this.releaseRest()]) : whole;
  }

  private split(bytes: Buffer): Buffer {
    const from = this.rest.length;
    const all = from === 0 ? bytes : this.append(bytes);
    let end = 0;
    for (let index = from; index < all.length; index++) {
      const byte = all[index]!;
      const isLine = byte === lineFeed || byte === carriageReturn;
      if (isLine || this.lastByte === carriageReturn) end = this.handleByte(all, index, end);
      this.lastByte = byte;
    }
    if (this.openEnd !== undefined && !this.usesBoth) end = this.completeEvent(this.openEnd, end);
    this.rest = all.subarray(end);
    if (end > 0) this.store = undefined;
    this.lineStart -= end;
    if (this.openEnd !== undefined) this.openEnd -= end;
    return all.subarray(0, end);
  }

  /** Whether an event has come, or a part of one; comments are none, nor is one that goes back. */
  get hasBegunEvent(): boolean {
    return this.hasCompleted || (this.unfinishedBytes > 0 && !this.hasGoneBack && !this.goesBack());
  }

  /** Bytes of an event that has begun and is not complete; 0 between two events. */
  get unfinishedBytes(): number {
    const isInside = this.hasField || this.isLineBegun || this.rest.length > this.lineStart;
    return isInside ? this.returnedBytes + this.rest.length : 0;
  }

  /** Whether the current event is not after the one to continue after, as far as its id is known. */
  private goesBack(): boolean {
    const { id, after } = this;
    return id !== undefined && after !== undefined && after !== "" && !isAfter(id, after);
  }

  /** Returns the begin of an event that is too long to be held back. A line that has begun counts as a whole one. */
  private releaseRest(): Buffer {
    const { rest } = this;
    if (rest.length > this.lineStart) this.beginLine(rest.subarray(this.lineStart));
    this.returnedBytes += rest.length;
    this.rest = Buffer.alloc(0);
    this.store = undefined;
    this.lineStart = 0;
    return rest;
  }

  /** Evaluates a line of which only the begin is known; an id of such a length is none. */
  private beginLine(bytes: Buffer): void {
    if (this.isLineBegun) return;
    const { id } = this;
    this.handleLine(bytes);
    this.isLineBegun = true;
    this.id = readId(bytes) === undefined ? id : undefined;
  }

  /** Returns the buffered rest with more bytes. They are copied to a store that grows, as they may come in many small parts. */
  private append(bytes: Buffer): Buffer {
    const { length } = this.rest;
    const size = length + bytes.length;
    if (!this.store || size > this.store.length) {
      this.store = Buffer.allocUnsafeSlow(2 * size);
      this.rest.copy(this.store);
    }
    bytes.copy(this.store, length);
    return this.store.subarray(0, size);
  }

  /** Whether a part of the current event has been returned, so that the stream can't be continued at its begin. */
  get hasReturnedPart(): boolean {
    return this.returnedBytes > 0;
  }

  /** Returns the buffered rest after the stream's end; it contains no complete event. */
  takeRest(): Buffer {
    const { rest } = this;
    this.rest = Buffer.alloc(0);
    return rest;
  }

  /** Handles the end of a line, and the byte after a CR. Returns the index after the last complete event. */
  private handleByte(all: Buffer, index: number, end: number): number {
    const byte = all[index];
    if (this.lastByte === carriageReturn && byte === lineFeed) {
      this.usesBoth = true;
      this.lineStart = index + 1;
      return this.isBlankLine ? this.completeEvent(index + 1, end) : end;
    }
    if (this.lastByte === carriageReturn) this.usesBoth = false;
    let newEnd = this.openEnd === undefined ? end : this.completeEvent(this.openEnd, end);
    if (byte !== lineFeed && byte !== carriageReturn) return newEnd;
    if (this.isLineBegun) this.isBlankLine = false;
    else this.handleLine(all.subarray(this.lineStart, index));
    this.isLineBegun = false;
    this.lineStart = index + 1;
    if (byte === lineFeed) this.usesBoth = false;
    if (this.isBlankLine && byte === lineFeed) newEnd = this.completeEvent(index + 1, newEnd);
    if (this.isBlankLine && byte === carriageReturn) this.openEnd = index + 1;
    return newEnd;
  }

  private handleLine(bytes: Buffer): void {
    const line = this.isFirstLine ? removeByteOrderMark(bytes) : bytes;
    this.isFirstLine = false;
    this.isBlankLine = line.length === 0;
    if (this.isBlankLine || line[0] === colon) return;
    this.hasField = true;
    if (this.readsIds) this.id = readId(line) ?? this.id;
  }

  /** Completes the event that ends at `end`; returns up to where events may be returned, `before` being that of the earlier ones. */
  private completeEvent(end: number, before: number): number {
    this.openEnd = undefined;
    this.hasGoneBack ||= this.goesBack();
    if (this.hasGoneBack) return before;
    if (!this.hasField) return end;
    this.lastEventId = this.id ?? this.lastEventId;
    this.endsWithoutId = this.id === undefined;
    this.hasCompleted = true;
    this.hasField = false;
    this.id = undefined;
    this.returnedBytes = 0;
    return end;
  }
}

/** Whether one id comes after another; of ids that are no numbers only the same one is known not to. */
function isAfter(id: string, other: string): boolean {
  const areNumbers = numberPattern.test(id) && numberPattern.test(other);
  return areNumbers ? Number(id) > Number(other) : id !== other;
}

/** Returns the bytes without a byte order mark at their start, which is allowed at the start of a stream only. */
export function removeByteOrderMark(bytes: Buffer): Buffer {
  const begin = bytes.subarray(0, byteOrderMark.length);
  return begin.equals(byteOrderMark) ? bytes.subarray(byteOrderMark.length) : bytes;
}

/** Returns the id that a line states; undefined if it is of another field, or if the id contains NUL, which makes it void. */
function readId(line: Buffer): string | undefined {
  if (line.toString("latin1", 0, idField.length) !== idField) return undefined;
  if (line.length === idField.length) return "";
  if (line[idField.length] !== colon) return undefined;
  const start = line[idField.length + 1] === space ? idField.length + 2 : idField.length + 1;
  const id = line.toString("latin1", start);
  return id.includes("\0") ? undefined : id;
}
