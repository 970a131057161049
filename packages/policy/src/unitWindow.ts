/**
 * Sum of units over a sliding window of time, kept in slices.
 * @module
 */

/** Slices of a window. */
export const sliceCount = 20;

/** Units of the last `windowMs` milliseconds, to the precision of a slice. */
export class UnitWindow {
  private readonly slices = new Float64Array(sliceCount + 1);
  private readonly sliceMs: number;
  private current = 0;
  private total = 0;

  private constructor(windowMs: number) {
    this.sliceMs = windowMs / sliceCount;
  }

  static create(windowMs: number): UnitWindow {
    return new UnitWindow(windowMs);
  }

  add(time: number, units: number): void {
    this.advance(time);
    this.slices[this.current % this.slices.length]! += units;
    this.total += units;
  }

  getSum(time: number): number {
    this.advance(time);
    return Math.max(0, this.total);
  }

  /** Returns the sum of the newest slices; the newest one is not complete yet. */
  getRecentSum(time: number, count: number): number {
    this.advance(time);
    let sum = 0;
    for (let slice = this.current; slice > this.current - count && slice >= 0; slice--) {
      sum += this.slices[slice % this.slices.length]!;
    }
    return sum;
  }

  private advance(time: number): void {
    const slice = Math.floor(time / this.sliceMs);
    if (slice - this.current > sliceCount) {
      this.slices.fill(0);
      this.total = 0;
      this.current = slice;
    }
    while (this.current < slice) {
      this.current += 1;
      const index = this.current % this.slices.length;
      this.total -= this.slices[index]!;
      this.slices[index] = 0;
    }
  }
}
