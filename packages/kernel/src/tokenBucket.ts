/**
 * Token bucket rate limiter whose burst is the amount of one second.
 * @module
 */
import type { Clock } from "./clock.js";

const millisecondsPerSecond = 1000;

/** Token bucket with a burst of one second at its rate, at least one unit. */
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

  /** Creates a full bucket; `rate` is in units per second. */
  static create(clock: Clock, rate: number): TokenBucket {
    return new TokenBucket(clock, rate);
  }

  /** Changes the rate. The units in the bucket are kept, up to the new burst. */
  setRate(rate: number): void {
    this.fill();
    this.rate = rate;
    this.level = Math.min(this.level, this.burst);
  }

  /**
   * Takes units if enough are available, and returns whether it did. An amount above the burst is taken from a
   * full bucket and leaves the level negative, so that later calls wait for the rest.
   */
  tryTake(amount: number): boolean {
    if (this.rate <= 0) return false;
    this.fill();
    if (this.level < Math.min(amount, this.burst)) return false;
    this.level -= amount;
    return true;
  }

  /** Returns units to the bucket that were taken and not used. */
  refund(amount: number): void {
    this.level = Math.min(this.burst, this.level + amount);
  }

  /** Returns the milliseconds until `amount` can be taken; undefined if it never can. */
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
