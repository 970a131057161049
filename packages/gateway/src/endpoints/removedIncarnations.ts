/**
 * Remembers incarnations of endpoints whose records were removed, for as long as a store restored from a snapshot may bring such
 * a record back.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** Snapshots of the store are some seconds old. */
const retentionMs = 60_000;
/** Incarnations kept, some 100 bytes each. */
const maxIncarnations = 2_048;

/** Incarnations whose records were removed, bounded by number and age. */
export class RemovedIncarnations {
  /** When a record was removed, by incarnation; the latest last. */
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
    const oldestAt = this.clock.getTime() - retentionMs;
    for (const [oldest, at] of this.removedAt) {
      if (this.removedAt.size <= maxIncarnations && at >= oldestAt) return;
      this.removedAt.delete(oldest);
    }
  }
}
