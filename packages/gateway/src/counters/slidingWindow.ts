/**
 * Sum of amounts over a sliding window of time, kept in slices.
 * @module
 */

const sliceCount = 40;

/** Sum of the amounts added within the last `windowMs` milliseconds, to the precision of a slice. */
export class SlidingWindow {
  private readonly amounts = new Float64Array(sliceCount + 1);
  private readonly sliceMs: number;
  private current = 0;
  private total = 0;

  private constructor(readonly windowMs: number) {
    this.sliceMs = windowMs / sliceCount;
  }

  static create(windowMs: number): SlidingWindow {
    return new SlidingWindow(windowMs);
  }

  /** Adds an amount at a time; a time before the newest slice is counted in the newest slice. */
  add(time: number, amount: number): void {
    this.advance(time);
    this.amounts[this.current % this.amounts.length]! += amount;
    this.total += amount;
  }

  /** Replaces the sum by an amount that is spread evenly over the window, as if it had arrived at a constant rate. */
  set(time: number, amount: number): void {
    this.advance(time);
    this.amounts.fill(0);
    for (let index = 0; index < sliceCount; index++) {
      this.amounts[(this.current - index + this.amounts.length * 2) % this.amounts.length] =
        amount / sliceCount;
    }
    this.total = amount;
  }

  /** Returns the sum at a time. */
  getSum(time: number): number {
    this.advance(time);
    return this.total;
  }

  /** Returns the milliseconds until the sum will have fallen by an amount; at most the window's length. */
  getTimeUntilFreed(time: number, amount: number): number {
    this.advance(time);
    let freed = 0;
    for (let age = sliceCount; age >= 0; age--) {
      const slice = this.current - age;
      if (slice >= 0) freed += this.amounts[slice % this.amounts.length]!;
      if (freed >= amount) return Math.max(this.sliceMs, (slice + sliceCount + 1) * this.sliceMs - time);
    }
    return this.windowMs;
  }

  private advance(time: number): void {
    const slice = Math.floor(time / this.sliceMs);
    if (slice <= this.current) return;
    if (slice - this.current > sliceCount) {
      this.amounts.fill(0);
      this.total = 0;
      this.current = slice;
      return;
    }
    while (this.current < slice) {
      this.current += 1;
      const index = this.current % this.amounts.length;
      this.total -= this.amounts[index]!;
      this.amounts[index] = 0;
    }
  }
}
