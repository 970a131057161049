/**
 * Decides when a new collector requests another collector's counts. An instance that becomes a collector has
 * not received the earlier reports, so it requests from an existing collector its sums and the totals of each
 * peer that they include, and continues counting from there.
 * @module
 */

/**
 * Time for which the counts are requested: four reports of a large fleet. The time is limited because no
 * instance has the counts if all instances become collectors together.
 */
const requestPeriodMs = 1_000;

/** Whether this instance still needs the counts of another collector. */
export class CountHandover {
  private isCollector = false;
  private requestingSince: number | undefined;

  private constructor() {}

  static create(): CountHandover {
    return new CountHandover();
  }

  /**
   * Sets whether this instance is a collector now; the counts are requested from the time at which it becomes
   * one.
   */
  setRole(isCollector: boolean, time: number): void {
    if (isCollector && !this.isCollector) this.requestingSince = time;
    if (!isCollector) this.requestingSince = undefined;
    this.isCollector = isCollector;
  }

  /** Whether another collector's counts are still needed. */
  isRequesting(time: number): boolean {
    return this.requestingSince !== undefined && time - this.requestingSince <= requestPeriodMs;
  }

  /** Records that the counts have arrived. */
  complete(): void {
    this.requestingSince = undefined;
  }
}
