/**
 * Keeps the times of day that peers reported, advanced by the monotonic clock.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** Reported times older than this are ignored. */
const maxAgeMs = 2_000;

interface PeerTime {
  readonly time: number;
  /** Monotonic time at which it was received. */
  readonly at: number;
}

/** The peers' times of day. */
export class PeerClocks {
  private readonly times = new Map<string, PeerTime>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): PeerClocks {
    return new PeerClocks(clock);
  }

  /** Records a peer's current time of day. */
  record(peer: string, time: number): void {
    this.times.set(peer, { time, at: this.clock.getTime() });
  }

  /**
   * Returns how far the peers are ahead of a time of day, in milliseconds. The offsets are computed from the
   * given time, so that an offset which was corrected is gone even if no new report has arrived since.
   */
  getOffsets(timeOfDay: number): readonly number[] {
    const now = this.clock.getTime();
    const recent = [...this.times.values()].filter(({ at }) => now - at <= maxAgeMs);
    return recent.map(({ time, at }) => time + (now - at) - timeOfDay);
  }
}
