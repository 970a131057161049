/**
 * Bounds how many lines of one event are written in a second: a flood of one kind never hides the others, and what was
 * left out is counted and said.
 * @module
 */
import type { Clock } from "./clock.js";
import { TokenBucket } from "./tokenBucket.js";

/** Lines of one event. */
interface EventLines {
  readonly allowance: TokenBucket;
  dropped: number;
}

/** Admits lines. */
export class LogRateLimiter {
  private readonly events = new Map<string, EventLines>();

  private constructor(
    private readonly clock: Clock | undefined,
    private readonly linesPerSecond: number,
  ) {}

  /** A gate that lets so many lines of each event through in a second. */
  static create(clock: Clock, linesPerSecond: number): LogRateLimiter {
    return new LogRateLimiter(clock, linesPerSecond);
  }

  /** A gate that lets everything through. */
  static createUnlimited(): LogRateLimiter {
    return new LogRateLimiter(undefined, 0);
  }

  /** Whether one more line of an event is written; counts it where it is not. */
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

  /** Returns the lines left out since the last call, by event. */
  takeDroppedCounts(): readonly (readonly [event: string, count: number])[] {
    const dropped: [string, number][] = [];
    for (const [event, lines] of this.events) {
      if (lines.dropped > 0) dropped.push([event, lines.dropped]);
      lines.dropped = 0;
    }
    return dropped;
  }
}
