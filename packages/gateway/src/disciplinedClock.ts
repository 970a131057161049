/**
 * Time of day that bears jumps: counted on the monotonic clock from the first reading of the wall clock, drawn slowly
 * after small differences, and corrected where most peers agree on another time.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** Differences below this are drift and followed; above, a jump. */
const jumpMs = 100;
/**
 * Difference from most peers that is a jump of the own clock. What peers say is as old as the message was under way and
 * waiting; were that taken for a difference, a fleet of busy instances would drive each other's time back without end.
 */
const peerJumpMs = 400;
const driftShare = 0.1;
/** How long a jump must last until it is believed without peers. */
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

  /** Compares with the wall clock and with peers' times, given as their difference from `get`. Call it often. */
  adjust(peerDifferences: readonly number[]): void {
    const median = getMedian(peerDifferences);
    if (median !== undefined && peerDifferences.length > 1 && Math.abs(median) > peerJumpMs) {
      this.offset += median;
      this.jumpSince = undefined;
      return;
    }
    this.adjustToWall(peerDifferences.length > 1);
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
