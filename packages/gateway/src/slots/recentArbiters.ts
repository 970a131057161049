/**
 * Remembers for a moment which arbiter last decided on a request of this instance, by service: another one that begins to decide
 * asks whether the former still does.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** Time for which an arbiter that has decided counts as deciding; a caller that gets no reply turns to another one sooner. */
const recentMs = 500;

/** The last decisions by service. */
export class RecentArbiters {
  private readonly decisions = new Map<string, { readonly arbiter: string; readonly at: number }>();

  private constructor(
    private readonly clock: Clock,
    private readonly isReachable: (name: string) => boolean,
  ) {}

  /** `isReachable` tells whether an instance is this one or linked with it. */
  static create(clock: Clock, isReachable: (name: string) => boolean): RecentArbiters {
    return new RecentArbiters(clock, isReachable);
  }

  record(service: string, arbiter: string): void {
    this.decisions.set(service, { arbiter, at: this.clock.getTime() });
  }

  /** Records that an arbiter did not reply. */
  forget(service: string, arbiter: string): void {
    if (this.decisions.get(service)?.arbiter === arbiter) this.decisions.delete(service);
  }

  /** Returns the arbiter that decided on a request a moment ago and can still be reached; undefined if none did. */
  find(service: string): string | undefined {
    const last = this.decisions.get(service);
    if (!last || this.clock.getTime() - last.at > recentMs) return undefined;
    return this.isReachable(last.arbiter) ? last.arbiter : undefined;
  }
}
