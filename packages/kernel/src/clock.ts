/**
 * Time behind an interface, so that tests run on a virtual clock.
 * @module
 */

/** A timer that can be cancelled. */
export interface Timer {
  cancel(): void;
}

/** Source of time. All durations are milliseconds. */
export interface Clock {
  /** Wall clock, milliseconds since 1970; only for people and for stamps between machines. */
  getWallTime(): number;
  /**
   * Monotonic clock, milliseconds from an arbitrary start; for every duration. It stands still while a machine is
   * suspended.
   */
  getTime(): number;
  /**
   * Time that a suspension is not missing from, milliseconds from an arbitrary start; for what must not be believed too
   * long, such as a proof or a lease. It runs ahead where the time of day was set forward, and never falls behind
   * `getTime`.
   */
  getBootTime(): number;
  /** Calls back once after `delay` milliseconds. */
  startTimer(delay: number, callback: () => void): Timer;
}

/** Resolves after `delay` milliseconds, or at once when the signal is aborted. */
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

/** Less than this may be rounding, or the time of day being drawn slowly: 0.5 ms a second at the most. */
const leastGainMs = 50;

/**
 * Adds to a monotonic clock what the time of day gains on it. Node reads no clock that counts suspensions; the time of day
 * does, and where it was set forward instead, what is believed ends early. Without it a proof of 4.6 s still held after a
 * suspension of any length.
 */
export class BootClock {
  private gained = 0;
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

  get(): number {
    const time = this.getTime();
    const offset = this.getWallTime() - time;
    const gain = offset - this.offset;
    if (gain > leastGainMs) this.gained += gain;
    this.offset = offset;
    return time + this.gained;
  }
}

/** The machine's clock. */
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

/** A clock that moves only when told to. Timers fire in order of due time, then of creation. */
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

  /** Moves the time of day alone: a machine that was suspended for so long, or whose time was set. */
  shiftWallTime(duration: number): void {
    this.wallStart += duration;
  }

  startTimer(delay: number, callback: () => void): Timer {
    const timer = { due: this.time + Math.max(0, delay), order: this.order++, callback };
    this.timers.push(timer);
    return { cancel: () => (this.timers = this.timers.filter((other) => other !== timer)) };
  }

  /** Moves time forward, letting promises settle between timers. */
  async advance(duration: number): Promise<void> {
    const end = this.time + duration;
    await flushPromises();
    for (let next = this.getNext(end); next; next = this.getNext(end)) {
      this.time = next.due;
      this.timers = this.timers.filter((timer) => timer !== next);
      next.callback();
      await flushPromises();
    }
    this.time = end;
    await flushPromises();
  }

  private getNext(end: number): VirtualTimer | undefined {
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

/** Lets every promise that can settle without time passing settle. */
export async function flushPromises(): Promise<void> {
  for (let round = 0; round < settleRounds; round++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
