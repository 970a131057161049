/**
 * Clocks and timers behind an interface, so that tests can run on a virtual clock.
 * @module
 */

/** A timer that can be cancelled. */
export interface Timer {
  cancel(): void;
}

/** Source of time. All durations are milliseconds. */
export interface Clock {
  /**
   * Wall-clock time in milliseconds since 1970. Use it only for display and for timestamps that other machines
   * read.
   */
  getWallTime(): number;
  /**
   * Monotonic time in milliseconds from an arbitrary start; use it for durations. It does not advance while the
   * machine is suspended.
   */
  getTime(): number;
  /**
   * Monotonic time that includes suspensions of the machine, in milliseconds from an arbitrary start. Use it
   * for the validity of leases and similar proofs, which must not be trusted for too long. It runs ahead if the
   * time of day is set forward, and never falls behind `getTime`.
   */
  getBootTime(): number;
  /** Calls `callback` once after `delay` milliseconds. */
  startTimer(delay: number, callback: () => void): Timer;
}

/** Resolves after `delay` milliseconds, or as soon as the signal is aborted. */
export function waitFor(clock: Clock, delay: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const timer = clock.startTimer(delay, finish);
    function finish(): void {
      timer.cancel();
      signal?.removeEventListener("abort", finish);
      resolve();
    }
    signal?.addEventListener("abort", finish);
  });
}

/** Waits while something is pending, until a monotonic time at most; looks again every `pollMs` milliseconds. */
export async function waitWhile(
  clock: Clock,
  isPending: () => boolean,
  { endsAt, pollMs }: { readonly endsAt: number; readonly pollMs: number },
): Promise<void> {
  while (isPending() && clock.getTime() < endsAt) await waitFor(clock, pollMs);
}

/** A smaller gain may be rounding, or the time of day being slewed, which adds at most 0.5 ms per second. */
const minGainMs = 50;

/**
 * Monotonic clock that includes suspensions: adds to a monotonic clock what the time of day gains on it.
 * Node.js has no clock that counts suspensions, but the time of day does. If the time of day was set forward
 * instead, leases and proofs only expire too early. Without this clock, a proof valid for 4.6 s was still
 * accepted after a suspension of any length.
 */
export class BootClock {
  private gainedMs = 0;
  private offset: number;

  private constructor(
    private readonly getTime: () => number,
    private readonly getWallTime: () => number,
  ) {
    this.offset = getWallTime() - getTime();
  }

  static create(getTime: () => number, getWallTime: () => number): BootClock {
    return new BootClock(getTime, getWallTime);
  }

  /** Returns the time in milliseconds from an arbitrary start. */
  get(): number {
    const time = this.getTime();
    const offset = this.getWallTime() - time;
    const gain = offset - this.offset;
    if (gain > minGainMs) this.gainedMs += gain;
    this.offset = offset;
    return time + this.gainedMs;
  }
}

/** Clock of the machine. */
export class SystemClock implements Clock {
  private readonly bootTime = BootClock.create(
    () => this.getTime(),
    () => this.getWallTime(),
  );

  private constructor() {}

  static create(): SystemClock {
    return new SystemClock();
  }

  getWallTime(): number {
    return Date.now();
  }

  getTime(): number {
    return performance.now();
  }

  getBootTime(): number {
    return this.bootTime.get();
  }

  startTimer(delay: number, callback: () => void): Timer {
    const handle = setTimeout(callback, delay);
    return { cancel: () => clearTimeout(handle) };
  }
}

interface VirtualTimer {
  readonly due: number;
  readonly order: number;
  readonly callback: () => void;
}

/** Clock for tests that advances only on request. Timers fire in order of due time, then of creation. */
export class VirtualClock implements Clock {
  private time = 0;
  private order = 0;
  private timers: VirtualTimer[] = [];
  private readonly bootTime = BootClock.create(
    () => this.getTime(),
    () => this.getWallTime(),
  );

  private constructor(private wallStart: number) {}

  static create(wallStart = 1_700_000_000_000): VirtualClock {
    return new VirtualClock(wallStart);
  }

  getWallTime(): number {
    return this.wallStart + this.time;
  }

  getTime(): number {
    return this.time;
  }

  getBootTime(): number {
    return this.bootTime.get();
  }

  /** Shifts only the time of day, as if the machine had been suspended for `duration` or its time had been set. */
  shiftWallTime(duration: number): void {
    this.wallStart += duration;
  }

  startTimer(delay: number, callback: () => void): Timer {
    const timer = { due: this.time + Math.max(0, delay), order: this.order++, callback };
    this.timers.push(timer);
    return { cancel: () => (this.timers = this.timers.filter((other) => other !== timer)) };
  }

  /** Advances the time by `duration` and runs the timers that become due. Lets promises settle between timers. */
  async advance(duration: number): Promise<void> {
    const endTime = this.time + duration;
    await flushPromises();
    for (let next = this.getNextTimer(endTime); next; next = this.getNextTimer(endTime)) {
      this.time = next.due;
      this.timers = this.timers.filter((timer) => timer !== next);
      next.callback();
      await flushPromises();
    }
    this.time = endTime;
    await flushPromises();
  }

  private getNextTimer(end: number): VirtualTimer | undefined {
    let first: VirtualTimer | undefined;
    for (const timer of this.timers) {
      if (timer.due > end) continue;
      if (!first || timer.due < first.due || (timer.due === first.due && timer.order < first.order))
        first = timer;
    }
    return first;
  }
}

const settleRounds = 4;

/** Waits until the promises that can settle without the clock advancing have settled. */
export async function flushPromises(): Promise<void> {
  for (let round = 0; round < settleRounds; round++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
