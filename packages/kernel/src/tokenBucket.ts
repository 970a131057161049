/**
 * Token bucket: a rate that lets a second's worth through at once.
 * @module
 */
import type { Clock } from "./clock.js";

const millisecondsPerSecond = 1000;

/** A rate with a burst of one second's worth, at least one unit. */
export class TokenBucket {
  private level: number;
  private filledAt: number;

  private constructor(
    private readonly clock: Clock,
    private rate: number,
  ) {
    this.level = this.burst;
    this.filledAt = clock.getTime();
  }

  /** Creates a full bucket; `rate` in units a second. */
  static create(clock: Clock, rate: number): TokenBucket {
    return new TokenBucket(clock, rate);
  }

  /** Changes the rate; what is already in the bucket stays, up to the new burst. */
  setRate(rate: number): void {
    this.fill();
    this.rate = rate;
    this.level = Math.min(this.level, this.burst);
  }

  /** Takes units if they are there; an amount above the burst waits for a full bucket and leaves a debt. */
  tryTake(amount: number): boolean {
    if (this.rate <= 0) return false;
    this.fill();
    if (this.level < Math.min(amount, this.burst)) return false;
    this.level -= amount;
    return true;
  }

  /** Gives back units that were taken but not used. */
  refund(amount: number): void {
    this.level = Math.min(this.burst, this.level + amount);
  }

  /** Milliseconds until `amount` can be taken; undefined where it never can. */
  getWaitMs(amount: number): number | undefined {
    if (this.rate <= 0) return undefined;
    this.fill();
    const missing = Math.min(amount, this.burst) - this.level;
    return Math.max(0, (missing / this.rate) * millisecondsPerSecond);
  }

  private get burst(): number {
    return Math.max(1, this.rate);
  }

  private fill(): void {
    const now = this.clock.getTime();
    this.level = Math.min(
      this.burst,
      this.level + ((now - this.filledAt) * this.rate) / millisecondsPerSecond,
    );
    this.filledAt = now;
  }
}
