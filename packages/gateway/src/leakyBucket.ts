/**
 * A level that falls steadily: what was added over any time t is at most the level allowed plus the rate times t.
 * @module
 */

const millisecondsPerSecond = 1_000;
/** Longest time told until room is there; where the rate is zero, there never is. */
const maxWaitMs = 60_000;

/** A low of the level: it was no lower later, up to the next one. */
interface LevelMinimum {
  readonly at: number;
  readonly level: number;
}

/** Lows that are kept; with more, the oldest are told as one, which only makes what is given back less. */
const maxMinima = 64;

/** A level that falls at a rate. */
export class LeakyBucket {
  private level = 0;
  private at = 0;
  private ratePerMs = 0;
  /** Lows before each rise, each higher than the one before it. */
  private readonly minima: LevelMinimum[] = [];

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
    this.recordMinimum(this.level);
    this.level = Math.max(0, this.level + amount);
  }

  /** Sets the level to one that another instance knows. */
  set(time: number, level: number): void {
    this.advance(time);
    this.recordMinimum(Math.min(this.level, level));
    this.level = level;
  }

  /** Returns the lowest that the level has been after a time. */
  getLowestSince(time: number, since: number): number {
    this.advance(time);
    const minimum = this.minima.find(({ at }) => at > since);
    return Math.min(this.level, minimum?.level ?? Infinity);
  }

  /** Returns the level at a time. */
  getSum(time: number): number {
    this.advance(time);
    return this.level;
  }

  /** Milliseconds until the level will have fallen by an amount. */
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
