/**
 * What endpoints have said of themselves, by their lives: kept beyond their records, as an endpoint serves on for seconds after
 * its word, and may be listed again meanwhile.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { type ResponseTimes, EndpointLimit, leastUrgentRank, LimitChange } from "./endpointLimit.js";

/** From whom it is known that an endpoint leaves. */
export enum LeavingSource {
  /** Its record. */
  Record = 1,
  /** An answer that it gave this instance. */
  Answer = 2,
  /** A peer that had such an answer. */
  Peer = 3,
  /** Whoever has its address now: it has ended. */
  Successor = 4,
}

/** Lives of which words are kept, some 200 bytes each: all endpoints of a fleet replaced within a few minutes. */
const maxIncarnations = 2_048;
/** Time that a word is kept for; an endpoint that leaves ends within a minute. */
const maxAgeMs = 600_000;

/** Requests that may wait for an answer right after a hold-off. */
const firstConcurrency = 1;
/** Room at which it is given up: the rounds before, of one, two and four requests, were all taken. */
const fullConcurrency = 8;

/** Words of one life. */
export class EndpointAvailability {
  private firstSource: LeavingSource | undefined;
  /** Monotonic time until which it wants no request of this instance. */
  private heldOffUntil = -Infinity;
  /** Requests that may wait for an answer there; bounded from a hold-off on, until it takes what is sent. */
  private concurrency = Infinity;
  private pending = 0;
  /** Grows with each hold-off: what was sent before one neither counts after it nor shows that it is over. */
  private round = 0;
  /** Monotonic time of the last word. */
  updatedAt = -Infinity;
  /** How many requests it takes of all instances together. */
  readonly limit = EndpointLimit.create();

  private constructor() {}

  static create(): EndpointAvailability {
    return new EndpointAvailability();
  }

  /** From whom it was first known that it leaves; undefined where it does not. Nothing takes it back within a life. */
  get leavingSource(): LeavingSource | undefined {
    return this.firstSource;
  }

  /** Takes note that it leaves; returns whether that is new. */
  noteLeaving(source: LeavingSource, time: number): boolean {
    this.updatedAt = time;
    if (this.firstSource !== undefined) return false;
    this.firstSource = source;
    return true;
  }

  /** Takes note that it wants no request of this instance for a time; the later end holds. */
  noteHoldOff(milliseconds: number, time: number): void {
    this.updatedAt = time;
    this.heldOffUntil = Math.max(this.heldOffUntil, time + milliseconds);
    this.beginSlowStart();
  }

  /** Takes note of an answer that names a limit. */
  noteLimit(perSecond: number, times: ResponseTimes, time: number): LimitChange {
    this.updatedAt = time;
    return this.limit.noteAdvertised(perSecond, times);
  }

  /** Takes note of an answer that names no limit; what waited for the end comes back as after a hold-off. */
  clearLimit(sentAt: number): LimitChange {
    const change = this.limit.noteOmitted(sentAt);
    if (change === LimitChange.Ended) this.beginSlowStart();
    return change;
  }

  private beginSlowStart(): void {
    this.concurrency = firstConcurrency;
    this.pending = 0;
    this.round += 1;
  }

  /** Milliseconds until it may be sent a request of this instance. */
  getWaitMs(time: number): number {
    return Math.max(this.getHoldOffMs(time), this.limit.getWaitMs(time));
  }

  /** Milliseconds for which it wants no request of this instance; 0 where it names no time. */
  getHoldOffMs(time: number): number {
    return Math.max(0, this.heldOffUntil - time);
  }

  /**
   * Whether it may be sent a request of a rank, with a permit where it has named a limit. After a hold-off one goes first, then
   * twice as many each time that all were taken, so that the crowd does not meet an endpoint that has taken none yet.
   */
  acceptsRequest(time: number, rank = leastUrgentRank): boolean {
    return this.acceptsPermitted(time) && this.limit.mayRequestPermits(time, rank);
  }

  /** The same where a permit is at hand. */
  acceptsPermitted(time: number): boolean {
    return time >= this.heldOffUntil && this.pending < this.concurrency;
  }

  /** Takes note that a request is sent there; returns what its end is told with. */
  beginAttempt(): number {
    this.pending += 1;
    return this.round;
  }

  /** Takes note of what came of a request that was sent there. */
  endAttempt(round: number, isAccepted: boolean): void {
    if (round !== this.round) return;
    this.pending -= 1;
    if (isAccepted) this.concurrency += 1;
    if (this.concurrency >= fullConcurrency) this.concurrency = Infinity;
  }
}

/** Words of all lives, also of those whose records are gone or not there yet. */
export class AvailabilityCache {
  /** Words by life, the latest at the end. */
  private readonly entries = new Map<string, EndpointAvailability>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): AvailabilityCache {
    return new AvailabilityCache(clock);
  }

  find(incarnation: string): EndpointAvailability | undefined {
    return this.entries.get(incarnation);
  }

  /** Keeps the words of a life, to which one was just added. */
  touch(incarnation: string, availability: EndpointAvailability): void {
    this.entries.delete(incarnation);
    this.entries.set(incarnation, availability);
    const limit = this.clock.getTime() - maxAgeMs;
    for (const [oldest, { updatedAt }] of this.entries) {
      if (this.entries.size <= maxIncarnations && updatedAt >= limit) return;
      this.entries.delete(oldest);
    }
  }

  /** Lives that are known to leave by an answer, the latest first, so many at most. */
  getLeaving(maxCount: number): readonly string[] {
    return this.select(
      maxCount,
      ({ leavingSource: leaving }) => leaving === LeavingSource.Answer || leaving === LeavingSource.Peer,
    );
  }

  /** Lives that name a limit, the latest first, so many at most. */
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
