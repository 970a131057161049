/**
 * A time of day that ignores jumps of the wall clock. It is counted on the monotonic clock from the first
 * reading of the wall clock, follows small differences slowly, and is corrected if most peers agree on another
 * time.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** Differences up to this are drift and are followed; greater ones are jumps. */
const jumpMs = 100;
/**
 * Difference from most peers above which this instance's own clock has jumped. A peer's time is as old as the
 * message that carried it was in transit and in queues. If that delay were taken for a difference, the
 * instances of a busy fleet would set each other's time back without end.
 */
const peerJumpMs = 400;
const driftShare = 0.1;
/** Time for which a jump must last until it is accepted without peers. */
const jumpAcceptanceMs = 30_000;

/** Time of day of this instance. */
export class DisciplinedClock {
  private offset: number;
  private jumpSince: number | undefined;

  private constructor(private readonly clock: Clock) {
    this.offset = clock.getWallTime() - clock.getTime();
  }

  static create(clock: Clock): DisciplinedClock {
    return new DisciplinedClock(clock);
  }

  /** Milliseconds since 1970. */
  get(): number {
    return this.clock.getTime() + this.offset;
  }

  /**
   * Compares the time with the wall clock and with peers' times, given as their offsets from `get`, and
   * corrects it. To be called several times a second.
   */
  adjust(peerOffsets: readonly number[]): void {
    const median = getMedian(peerOffsets);
    if (median !== undefined && peerOffsets.length > 1 && Math.abs(median) > peerJumpMs) {
      this.offset += median;
      this.jumpSince = undefined;
      return;
    }
    this.adjustToWall(peerOffsets.length > 1);
  }

  private adjustToWall(hasPeers: boolean): void {
    const time = this.clock.getTime();
    const difference = this.clock.getWallTime() - time - this.offset;
    if (Math.abs(difference) <= jumpMs) {
      this.offset += difference * driftShare;
      this.jumpSince = undefined;
      return;
    }
    this.jumpSince ??= time;
    if (hasPeers || time - this.jumpSince < jumpAcceptanceMs) return;
    this.offset += difference;
    this.jumpSince = undefined;
  }
}

function getMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)];
}
