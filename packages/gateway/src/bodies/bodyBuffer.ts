/**
 * Collects the bytes of a body. They are copied, because a part that comes alone in a chunk would otherwise take a hundred times its size.
 * @module
 */

const minCapacityBytes = 4_096;

/** A buffer that grows. */
export class BodyBuffer {
  private buffer: Buffer = Buffer.alloc(0);
  private size = 0;

  private constructor(private readonly expectedBytes: number) {}

  /** `expectedBytes`: the size that is known before, or 0. */
  static create(expectedBytes = 0): BodyBuffer {
    return new BodyBuffer(expectedBytes);
  }

  get length(): number {
    return this.size;
  }

  /** Bytes that are taken in memory. */
  get capacity(): number {
    return this.buffer.length;
  }

  add(part: Buffer): void {
    // Most bodies come in one part, which needs no copy.
    if (this.size === 0) this.buffer = part;
    else {
      const size = this.size + part.length;
      if (size > this.buffer.length) this.grow(size);
      part.copy(this.buffer, this.size);
    }
    this.size += part.length;
  }

  /** Returns the bytes and forgets them. */
  take(): Buffer {
    const bytes = this.buffer.subarray(0, this.size);
    this.buffer = Buffer.alloc(0);
    this.size = 0;
    return bytes;
  }

  private grow(size: number): void {
    const capacity = Math.max(minCapacityBytes, this.expectedBytes, 2 * size);
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.buffer.copy(grown, 0, 0, this.size);
    this.buffer = grown;
  }
}
