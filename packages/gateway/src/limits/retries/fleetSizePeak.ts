/**
 * The largest size of the fleet within a time. An instance's part of what the fleet shares must not grow the moment that others end,
 * because what these have taken still counts.
 * @module
 */

/** Keeps the largest size; after a fall, the former size counts for at least one window more. */
export class FleetSizePeak {
  private peak = 0;
  private peakAt = -Infinity;

  private constructor(private readonly windowMs: number) {}

  static create(windowMs: number): FleetSizePeak {
    return new FleetSizePeak(windowMs);
  }

  /** Records the present size; returns the largest one within the window. */
  record(size: number, time: number): number {
    if (size >= this.peak || time - this.peakAt > this.windowMs) {
      this.peak = size;
      this.peakAt = time;
    }
    return this.peak;
  }
}
