/**
 * Whether and how each incarnation of an endpoint accepts requests, from its own notices: leaving, hold-off, rate limit, and a
 * slow start after either. It is kept beyond the endpoint's record, because an endpoint serves on for seconds after a notice and
 * may be listed again meanwhile.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { type ResponseTimes, EndpointLimit, leastUrgentRank, LimitChange } from "../limits/endpointLimit.js";

/** Source from which it is known that an endpoint is leaving. */
export enum LeavingSource {
  /** Its record. */
  Record = 1,
  /** A response that this instance received. */
  Answer = 2,
  /** A peer that received such a response. */
  Peer = 3,
  /** The endpoint that now has its address, which shows that it has stopped. */
  Successor = 4,
}

/** Incarnations kept, some 200 bytes each: enough when all endpoints of a fleet are replaced within a few minutes. */
const maxIncarnations = 2_048;
/** Time for which an entry is kept; a leaving endpoint stops within a minute. */
const maxAgeMs = 600_000;

/** Requests that may wait for a response right after a hold-off. */
const firstConcurrency = 1;
/** Concurrency at which the slow start ends: the rounds before, of one, two and four requests, were all accepted. */
const fullConcurrency = 8;

/** Availability of one incarnation. */
export class EndpointAvailability {
  private firstSource: LeavingSource | undefined;
  /** Monotonic time until which it accepts no request of this instance. */
  private heldOffUntil = -Infinity;
  /**
   * Requests that may wait for a response at once; bounded from a hold-off or the end of a limit on, until enough were accepted.
   */
  private concurrency = Infinity;
  private pending = 0;
  /** Grows with each slow start: a request sent before one neither counts in it nor shows that the endpoint accepts again. */
  private round = 0;
  /** Monotonic time of the last notice. */
  updatedAt = -Infinity;
  /** Rate limit over all instances together. */
  readonly limit = EndpointLimit.create();

  private constructor() {}

  static create(): EndpointAvailability {
    return new EndpointAvailability();
  }

  /** The first source that reported it as leaving; undefined if it is not. An incarnation never reverts from leaving. */
  get leavingSource(): LeavingSource | undefined {
    return this.firstSource;
  }

  /** Marks it as leaving; returns whether that is new. */
  recordLeaving(source: LeavingSource, time: number): boolean {
    this.updatedAt = time;
    if (this.firstSource !== undefined) return false;
    this.firstSource = source;
    return true;
  }

  /** Starts a hold-off: the endpoint accepts no request of this instance for some time. If two overlap, the later end applies. */
  recordHoldOff(milliseconds: number, time: number): void {
    this.updatedAt = time;
    this.heldOffUntil = Math.max(this.heldOffUntil, time + milliseconds);
    this.beginSlowStart();
  }

  /** Applies a response that advertises a limit. */
  recordLimit(perSecond: number, times: ResponseTimes, time: number): LimitChange {
    this.updatedAt = time;
    return this.limit.recordAdvertised(perSecond, times);
  }

  /**
   * Applies a response that advertises no limit. The requests that waited for its end return by a slow start, as after a
   * hold-off.
   */
  clearLimit(sentAt: number): LimitChange {
    const change = this.limit.recordOmitted(sentAt);
    if (change === LimitChange.Ended) this.beginSlowStart();
    return change;
  }

  private beginSlowStart(): void {
    this.concurrency = firstConcurrency;
    this.pending = 0;
    this.round += 1;
  }

  /** Milliseconds until this instance may send it a request. */
  getWaitMs(time: number): number {
    return Math.max(this.getHoldOffMs(time), this.limit.getWaitMs(time));
  }

  /** Milliseconds left of the hold-off; 0 if there is none. */
  getHoldOffMs(time: number): number {
    return Math.max(0, this.heldOffUntil - time);
  }

  /**
   * Whether it may be sent a request of a rank, with a permit if it has advertised a limit. After a hold-off one request goes
   * first, then twice as many each time that all were accepted, so that the requests that waited do not all arrive at an endpoint
   * that has not accepted any yet.
   */
  acceptsRequest(time: number, rank = leastUrgentRank): boolean {
    return this.acceptsPermitted(time) && this.limit.mayRequestPermits(time, rank);
  }

  /** The same for a request that holds a permit. */
  acceptsPermitted(time: number): boolean {
    return time >= this.heldOffUntil && this.pending < this.concurrency;
  }

  /** Counts a request that is sent; returns the round to pass to `endAttempt`. */
  beginAttempt(): number {
    this.pending += 1;
    return this.round;
  }

  /** Records whether the endpoint accepted a request of a round. */
  endAttempt(round: number, isAccepted: boolean): void {
    if (round !== this.round) return;
    this.pending -= 1;
    if (isAccepted) this.concurrency += 1;
    if (this.concurrency >= fullConcurrency) this.concurrency = Infinity;
  }
}

/** Availability of all incarnations, including those whose records are gone or not yet read. */
export class AvailabilityCache {
  /** Availability by incarnation, the most recently updated last. */
  private readonly entries = new Map<string, EndpointAvailability>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): AvailabilityCache {
    return new AvailabilityCache(clock);
  }

  find(incarnation: string): EndpointAvailability | undefined {
    return this.entries.get(incarnation);
  }

  /** Keeps the availability of an incarnation that was just updated, and drops entries beyond the bounds of number and age. */
  touch(incarnation: string, availability: EndpointAvailability): void {
    this.entries.delete(incarnation);
    this.entries.set(incarnation, availability);
    const limit = this.clock.getTime() - maxAgeMs;
    for (const [oldest, { updatedAt }] of this.entries) {
      if (this.entries.size <= maxIncarnations && updatedAt >= limit) return;
      this.entries.delete(oldest);
    }
  }

  /** Incarnations known from a response, here or at a peer, to be leaving; the latest first, at most the given number. */
  getLeaving(maxCount: number): readonly string[] {
    return this.select(
      maxCount,
      ({ leavingSource: leaving }) => leaving === LeavingSource.Answer || leaving === LeavingSource.Peer,
    );
  }

  /** Incarnations that advertise a limit; the latest first, at most the given number. */
  getLimited(maxCount: number): readonly string[] {
    return this.select(maxCount, ({ limit }) => limit.perSecond !== undefined);
  }

  private select(
    maxCount: number,
    isSelected: (availability: EndpointAvailability) => boolean,
  ): readonly string[] {
    const selected = [...this.entries].filter(([, availability]) => isSelected(availability));
    return selected
      .reverse()
      .slice(0, maxCount)
      .map(([incarnation]) => incarnation);
  }
}
