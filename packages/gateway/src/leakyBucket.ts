/**
 * A level that falls steadily: what was added over any time t is at most the level allowed plus the rate times t.
 * @module
 */

const millisecondsPerSecond = 1_000;
/** Longest time told until room is there; where the rate is zero, there never is. */
const longestWaitMs = 60_000;

/** A level that falls at a rate. */
export class LeakyBucket {
  private level = 0;
  private at = 0;
  private ratePerMs = 0;

  private constructor() {}

  static create(): LeakyBucket {
    return new LeakyBucket();
  }

  /** Sets how much the level falls in a second, from a time on. */
  setRate(time: number, perSecond: number): void {
    this.advance(time);
    this.ratePerMs = perSecond / millisecondsPerSecond;
  }

  add(time: number, amount: number): void {
    this.advance(time);
    this.level = Math.max(0, this.level + amount);
  }

  /** Sets the level to one that another instance knows. */
  set(time: number, level: number): void {
    this.advance(time);
    this.level = level;
  }

  /** Returns the level at a time. */
  getSum(time: number): number {
    this.advance(time);
    return this.level;
  }

  /** Milliseconds until the level will have fallen by an amount. */
  getTimeUntilFreed(_time: number, amount: number): number {
    return this.ratePerMs > 0 ? Math.min(longestWaitMs, amount / this.ratePerMs) : longestWaitMs;
  }

  private advance(time: number): void {
    const elapsed = Math.max(0, time - this.at);
    this.at = Math.max(this.at, time);
    this.level = Math.max(0, this.level - elapsed * this.ratePerMs);
  }
}
