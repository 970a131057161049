/**
 * Notices that this process did not run for a while, as it or its machine was suspended: what it reads next may be long past, and what it
 * finds now need not have been so then.
 * @module
 */
import type { Clock, Timer } from "@gladewall/kernel";

const tickMs = 100;
/** Time between two ticks from which the process has stood still; a busy one is late too. */
const minStandstillMs = 250;
/** Time after a standstill within which what arrived in it is read. */
const readAgainMs = 500;

/** Watches whether the process runs. */
export class StandstillWatch {
  private ranAt: number;
  private stoodStillUntil = -Infinity;
  private timer: Timer | undefined;

  private constructor(private readonly clock: Clock) {
    this.ranAt = clock.getBootTime();
  }

  static create(clock: Clock): StandstillWatch {
    return new StandstillWatch(clock);
  }

  start(): void {
    this.ranAt = this.clock.getBootTime();
    this.scheduleTick();
  }

  close(): void {
    this.timer?.cancel();
  }

  /** Whether what is read now may have arrived in a standstill. */
  hasStoodStill(): boolean {
    this.noteRunning();
    return this.ranAt - this.stoodStillUntil < readAgainMs;
  }

  private scheduleTick(): void {
    this.timer = this.clock.startTimer(tickMs, () => {
      this.noteRunning();
      this.scheduleTick();
    });
  }

  private noteRunning(): void {
    const time = this.clock.getBootTime();
    if (time - this.ranAt >= minStandstillMs) this.stoodStillUntil = time;
    this.ranAt = time;
  }
}
