/**
 * How an instance that begins to hear the whole fleet comes by what was counted before: it asks one that hears it already
 * for its sums and for what they include of each peer, and goes on from there.
 * @module
 */

/** Time for which the counts are asked for: four reports of a large fleet; where all begin together, nobody has them. */
const requestPeriodMs = 1_000;

/** Whether this instance still needs another one's counts. */
export class CountHandover {
  private isCollector = false;
  private askingSince: number | undefined;

  private constructor() {}

  static create(): CountHandover {
    return new CountHandover();
  }

  /** Takes up whether this instance hears the whole fleet now; asks from the moment on at which it begins to. */
  setRole(hearsAll: boolean, time: number): void {
    if (hearsAll && !this.isCollector) this.askingSince = time;
    if (!hearsAll) this.askingSince = undefined;
    this.isCollector = hearsAll;
  }

  /** Whether another instance's counts are still needed. */
  isAsking(time: number): boolean {
    return this.askingSince !== undefined && time - this.askingSince <= requestPeriodMs;
  }

  /** Takes note that they have come. */
  complete(): void {
    this.askingSince = undefined;
  }
}
