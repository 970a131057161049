/**
 * What an instance does when in its planned stop: all of it follows from the grace period, at whose end the process is killed with
 * whatever it has open.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { type Route, RouteKind } from "../types.js";

/** Options of the schedule. */
export interface LeavingScheduleOptions {
  readonly clock: Clock;
  /** Time between the request to stop and the kill, in milliseconds. */
  readonly graceMs: number;
  /** Time after the request to stop in which new callers may still be sent here, in milliseconds. */
  readonly unnoticedMs: number;
}

/** Part of the grace period that is reserved for the end of the process. */
const exitMarginMs = 800;
/** Part of the grace period in which slow callers of responses that are complete are no longer waited for. */
const slowCallerMarginMs = 300;
/** Time after the request to stop in which all requests are taken, and the largest part of the grace period that it has. */
const unrestrictedMs = 2_500;
const unrestrictedShare = 1 / 3;

/** The planned stop of one instance. */
export class LeavingSchedule {
  private since: number | undefined;

  private constructor(private readonly options: LeavingScheduleOptions) {}

  static create(options: LeavingScheduleOptions): LeavingSchedule {
    return new LeavingSchedule(options);
  }

  /** Notes that the instance leaves from now on. */
  begin(): void {
    this.since ??= this.options.clock.getTime();
  }

  get hasBegun(): boolean {
    return this.since !== undefined;
  }

  /** Monotonic time up to which new callers are taken: shorter than the settings say if the grace period would end before. */
  get acceptsUntil(): number {
    return Math.min(this.getStart() + this.options.unnoticedMs, this.endsAt);
  }

  /** Monotonic time from which on requests are refused that could outlast the instance. */
  get restrictsFrom(): number {
    return this.getStart() + Math.min(unrestrictedMs, this.options.graceMs * unrestrictedShare);
  }

  /** Monotonic time at which requests that are still open are ended. */
  get endsAt(): number {
    return this.getKilledAt() - exitMarginMs;
  }

  /** Monotonic time up to which the callers of complete responses are waited for. */
  get sendsUntil(): number {
    return this.getKilledAt() - slowCallerMarginMs;
  }

  /** Whether a request that has not run could outlast the instance; `leftMs` is the time until its own limit. */
  mayBeOutlastedBy({ kind }: Pick<Route, "kind">, leftMs: number): boolean {
    if (this.since === undefined) return false;
    const time = this.options.clock.getTime();
    if (time < this.restrictsFrom) return false;
    return kind === RouteKind.Stream || time + leftMs > this.endsAt;
  }

  private getStart(): number {
    return this.since ?? this.options.clock.getTime();
  }

  private getKilledAt(): number {
    return this.getStart() + this.options.graceMs;
  }
}
