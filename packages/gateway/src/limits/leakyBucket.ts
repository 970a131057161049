/**
 * Leaky bucket: a level that falls at a constant rate. If additions keep it within a depth, at most the depth plus the rate times
 * t is added over any time t.
 * @module
 */

const millisecondsPerSecond = 1_000;
/** Longest wait that is returned; also returned for a rate of zero, with which the level never falls. */
const maxWaitMs = 60_000;

/** A minimum of the level: from then until the next minimum the level was not lower. */
interface LevelMinimum {
  readonly at: number;
  readonly level: number;
}

/**
 * Minima kept; of more, the two oldest are merged, which can only lower the result of `getMinLevelSince`, so that less is refunded.
 */
const maxMinima = 64;

/** A level that falls at a constant rate. */
export class LeakyBucket {
  private level = 0;
  private at = 0;
  private ratePerMs = 0;
  /** Minima before each rise, in ascending order. */
  private readonly minima: LevelMinimum[] = [];

  private constructor() {}

  static create(): LeakyBucket {
    return new LeakyBucket();
  }

  /** Sets by how much the level falls in a second, from the given time on. */
  setRate(time: number, perSecond: number): void {
    this.advance(time);
    this.ratePerMs = perSecond / millisecondsPerSecond;
  }

  add(time: number, amount: number): void {
    this.advance(time);
    this.recordMinimum(this.level);
    this.level = Math.max(0, this.level + amount);
  }

  /** Sets the level, such as to one that another instance reports. */
  set(time: number, level: number): void {
    this.advance(time);
    this.recordMinimum(Math.min(this.level, level));
    this.level = level;
  }

  /** Returns the lowest level after a time. */
  getMinLevelSince(time: number, since: number): number {
    this.advance(time);
    const minimum = this.minima.find(({ at }) => at > since);
    return Math.min(this.level, minimum?.level ?? Infinity);
  }

  /** Returns the level at a time. */
  getSum(time: number): number {
    this.advance(time);
    return this.level;
  }

  /** Returns the milliseconds until the level will have fallen by an amount. */
  getTimeUntilFreed(_time: number, amount: number): number {
    return this.ratePerMs > 0 ? Math.min(maxWaitMs, amount / this.ratePerMs) : maxWaitMs;
  }

  private recordMinimum(level: number): void {
    while ((this.minima.at(-1)?.level ?? -Infinity) >= level) this.minima.pop();
    this.minima.push({ at: this.at, level });
    if (this.minima.length <= maxMinima) return;
    const [oldest, next] = this.minima;
    this.minima.splice(0, 2, { at: next!.at, level: oldest!.level });
  }

  private advance(time: number): void {
    const elapsed = Math.max(0, time - this.at);
    this.at = Math.max(this.at, time);
    this.level = Math.max(0, this.level - elapsed * this.ratePerMs);
  }
}
