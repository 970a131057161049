/**
 * A virtual clock and random numbers for simulations of large fleets.
 * @module
 */
import type { Clock, Timer } from "@gladewall/kernel";
import { createRandom } from "@gladewall/standins";

/** Returns a random generator whose first numbers differ too between seeds that are close to each other. */
export function createSpreadRandom(seed: number): () => number {
  return createRandom((seed * 2_654_435_761) >>> 0);
}

/**
 * A clock that advances by milliseconds and lets promises settle once in each; cheap enough for hundreds of
 * instances.
 */
export class StepClock implements Clock {
  private time = 0;
  private readonly timers = new Map<number, Set<() => void>>();

  getTime(): number {
    return this.time;
  }

  getBootTime(): number {
    return this.time;
  }

  getWallTime(): number {
    return this.time;
  }

  startTimer(delay: number, callback: () => void): Timer {
    const due = Math.max(this.time + 1, Math.round(this.time + delay));
    const callbacks = this.timers.get(due) ?? new Set();
    this.timers.set(due, callbacks);
    callbacks.add(callback);
    return { cancel: () => void callbacks.delete(callback) };
  }

  async advance(duration: number): Promise<void> {
    for (const end = this.time + duration; this.time < end;) {
      this.time += 1;
      const callbacks = this.timers.get(this.time);
      if (!callbacks) continue;
      for (const callback of callbacks) callback();
      this.timers.delete(this.time);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}
