/**
 * Lives of endpoints whose records went, kept for as long as a copy of the store may bring such a record back.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** Copies are some seconds old. */
const retentionMs = 60_000;
/** Lives that are kept, some 100 bytes each. */
const maxIncarnations = 2_048;

/** Lives that have ended. */
export class RemovedIncarnations {
  /** When a record went, by life; the latest at the end. */
  private readonly removedAt = new Map<string, number>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): RemovedIncarnations {
    return new RemovedIncarnations(clock);
  }

  has(incarnation: string): boolean {
    const at = this.removedAt.get(incarnation);
    return at !== undefined && this.clock.getTime() - at < retentionMs;
  }

  add(incarnation: string): void {
    this.removedAt.delete(incarnation);
    this.removedAt.set(incarnation, this.clock.getTime());
    const limit = this.clock.getTime() - retentionMs;
    for (const [oldest, at] of this.removedAt) {
      if (this.removedAt.size <= maxIncarnations && at >= limit) return;
      this.removedAt.delete(oldest);
    }
  }
}
