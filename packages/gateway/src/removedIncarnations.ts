/**
 * Lives of endpoints whose records went, kept for as long as a copy of the store may bring such a record back.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** Copies are some seconds old. */
const keptMs = 60_000;
/** Lives that are kept, some 100 bytes each. */
const keptLives = 2_048;

/** Lives that have ended. */
export class RemovedIncarnations {
  /** When a record went, by life; the latest at the end. */
  private readonly endedAt = new Map<string, number>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): RemovedIncarnations {
    return new RemovedIncarnations(clock);
  }

  has(life: string): boolean {
    const at = this.endedAt.get(life);
    return at !== undefined && this.clock.getTime() - at < keptMs;
  }

  add(life: string): void {
    this.endedAt.delete(life);
    this.endedAt.set(life, this.clock.getTime());
    const limit = this.clock.getTime() - keptMs;
    for (const [oldest, at] of this.endedAt) {
      if (this.endedAt.size <= keptLives && at >= limit) return;
      this.endedAt.delete(oldest);
    }
  }
}
