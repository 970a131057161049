/**
 * Decides when the callers of refused requests should return. It handles the load where refused callers return
 * together and overload the service again: returns are booked, spread over time, and count as load when they are due.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { BookingCounts } from "./bookingCounts.js";
import type { SlotRequest } from "./capacityTypes.js";
import { IndexedHeap } from "./indexedHeap.js";

/** A shorter pause would let a caller return before anything has changed. */
const minRetryAfterMs = 50;
/** Callers honour a time to return up to this part of their remaining time. */
const maxPartOfRemaining = 1 / 3;
/** A return may be this early, since clocks and timers differ. */
const earlyToleranceMs = 5;
/** A return may be this late: the refusal and the new attempt each cross the network and an instance. */
const lateToleranceMs = 100;
/** Bounds the memory; further refused callers get a time that is not booked. */
const maxBookings = 10_000;
/** Least growth of the drain time in a step of its search; the result exceeds the exact one by at most this factor. */
const minGrowth = 1.25;

/** Time at which a caller was told to return. */
interface Booking {
  readonly key: string;
  readonly rank: number;
  readonly at: number;
}

/** Advice to the refused callers of one service. Times are milliseconds of the clock. */
export class RetryAdvice {
  private readonly byTime = IndexedHeap.create<Booking>(isEarlier);
  private readonly byKey = new Map<string, IndexedHeap<Booking>>();
  private readonly counts = BookingCounts.create();

  private constructor(
    private readonly clock: Clock,
    private readonly getRandom: () => number,
  ) {}

  static create(clock: Clock, getRandom: () => number): RetryAdvice {
    return new RetryAdvice(clock, getRandom);
  }

  /** Number of booked returns that are not overdue. */
  get size(): number {
    this.removeOverdue();
    return this.byTime.size;
  }

  /**
   * Decides after how many milliseconds the caller of a refused request should return, and books the return. `ahead`
   * is the number of requests that are served before a request of its rank, `ratePerMs` the completions per ms.
   */
  decideRetryAfterMs(request: SlotRequest, ahead: number, ratePerMs: number): number {
    this.removeOverdue();
    const time = this.clock.getTime();
    const remainingMs = Math.max(0, request.deadlineAt - time);
    const limitMs = Math.max(minRetryAfterMs, remainingMs * maxPartOfRemaining);
    const drainMs = Math.max(minRetryAfterMs, this.estimateDrainMs(request.rank, ahead, ratePerMs, limitMs));
    // If the drain time exceeds the limit, the returns are spread over the half before the limit, not all at it.
    const startMs = drainMs < limitMs ? drainMs : Math.max(minRetryAfterMs, limitMs / 2);
    const spreadMs = Math.min(startMs, limitMs - startMs);
    const retryAfterMs = startMs + this.getRandom() * spreadMs;
    this.book({ key: getKey(request), rank: request.rank, at: time + retryAfterMs });
    return retryAfterMs;
  }

  /** Returns whether a request is the booked return of a refused caller, and removes the booking. */
  tryTakeReturn(request: SlotRequest): boolean {
    this.removeOverdue();
    const booking = this.byKey.get(getKey(request))?.getFirst();
    if (!booking || booking.at > this.clock.getTime() + earlyToleranceMs) return false;
    this.remove(booking);
    return true;
  }

  /** Returns the number of returns of this rank or more urgent ones that are booked until a time. */
  countReturns(rank: number, until: number): number {
    this.removeOverdue();
    const first = this.byTime.getFirst();
    if (!first) return 0;
    return this.counts.count(rank, first.at, until);
  }

  /** Estimates when the requests ahead and the returns booked before that time are served. */
  private estimateDrainMs(rank: number, ahead: number, ratePerMs: number, limitMs: number): number {
    if (ratePerMs <= 0) return limitMs;
    const time = this.clock.getTime();
    let drainMs = Math.min(limitMs, ahead / ratePerMs);
    while (drainMs < limitMs) {
      const load = ahead + this.countReturns(rank, time + drainMs);
      const nextMs = load / ratePerMs;
      if (nextMs <= drainMs) break;
      drainMs = Math.min(limitMs, Math.max(nextMs, drainMs * minGrowth));
    }
    return drainMs;
  }

  private book(booking: Booking): void {
    if (this.byTime.size >= maxBookings) return;
    this.byTime.add(booking);
    let ofKey = this.byKey.get(booking.key);
    if (!ofKey) this.byKey.set(booking.key, (ofKey = IndexedHeap.create(isEarlier)));
    ofKey.add(booking);
    this.counts.add(booking.rank, booking.at, 1);
  }

  private remove(booking: Booking): void {
    this.byTime.remove(booking);
    const ofKey = this.byKey.get(booking.key);
    ofKey?.remove(booking);
    if (ofKey?.size === 0) this.byKey.delete(booking.key);
    this.counts.add(booking.rank, booking.at, -1);
  }

  /** Callers that are overdue have given up or have become part of the new requests. */
  private removeOverdue(): void {
    const oldest = this.clock.getTime() - lateToleranceMs;
    for (;;) {
      const first = this.byTime.getFirst();
      if (!first || first.at >= oldest) return;
      this.remove(first);
    }
  }
}

function isEarlier(left: Booking, right: Booking): boolean {
  return left.at < right.at;
}

/** A new attempt has a new request id, so a return is recognized by its route and workspace. */
function getKey({ route, workspace }: SlotRequest): string {
  return `${route}\n${workspace}`;
}
