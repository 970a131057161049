/**
 * What time of day the peers said it was, carried on by the monotonic clock.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** Words older than this are not looked at. */
const maxAgeMs = 2_000;

interface PeerTime {
  readonly time: number;
  /** Monotonic time at which it was heard. */
  readonly at: number;
}

/** Peers' times of day. */
export class PeerClocks {
  private readonly times = new Map<string, PeerTime>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): PeerClocks {
    return new PeerClocks(clock);
  }

  /** Takes what a peer says that its time of day is now. */
  record(peer: string, time: number): void {
    this.times.set(peer, { time, at: this.clock.getTime() });
  }

  /**
   * Returns how far the peers are ahead of a time of day. Reckoned from what is given, so a difference that was
   * corrected is gone, also where no new word has come since.
   */
  getOffsets(timeOfDay: number): readonly number[] {
    const now = this.clock.getTime();
    const fresh = [...this.times.values()].filter(({ at }) => now - at <= maxAgeMs);
    return fresh.map(({ time, at }) => time + (now - at) - timeOfDay);
  }
}
