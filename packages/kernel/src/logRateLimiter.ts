/**
 * Limits the log lines per second of each event, so that a flood of one event does not hide the others. Dropped
 * lines are counted and can be reported.
 * @module
 */
import type { Clock } from "./clock.js";
import { TokenBucket } from "./tokenBucket.js";

/** Allowance and count of dropped lines of one event. */
interface EventLines {
  readonly allowance: TokenBucket;
  dropped: number;
}

/** Rate limiter for log lines, per event. */
export class LogRateLimiter {
  private readonly events = new Map<string, EventLines>();

  private constructor(
    private readonly clock: Clock | undefined,
    private readonly linesPerSecond: number,
  ) {}

  /** Creates a limiter that admits `linesPerSecond` lines of each event per second. */
  static create(clock: Clock, linesPerSecond: number): LogRateLimiter {
    return new LogRateLimiter(clock, linesPerSecond);
  }

  /** Creates a limiter that admits every line. */
  static createUnlimited(): LogRateLimiter {
    return new LogRateLimiter(undefined, 0);
  }

  /** Returns whether one more line of an event may be written; counts it as dropped otherwise. */
  tryAcquire(event: string): boolean {
    if (!this.clock) return true;
    let lines = this.events.get(event);
    if (!lines) {
      lines = { allowance: TokenBucket.create(this.clock, this.linesPerSecond), dropped: 0 };
      this.events.set(event, lines);
    }
    const isAdmitted = lines.allowance.tryTake(1);
    if (!isAdmitted) lines.dropped += 1;
    return isAdmitted;
  }

  /** Returns the number of lines dropped since the last call for each event that had any. */
  takeDroppedCounts(): readonly (readonly [event: string, count: number])[] {
    const dropped: [string, number][] = [];
    for (const [event, lines] of this.events) {
      if (lines.dropped > 0) dropped.push([event, lines.dropped]);
      lines.dropped = 0;
    }
    return dropped;
  }
}
