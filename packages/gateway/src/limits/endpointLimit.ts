/**
 * The rate limit that one incarnation of an endpoint has advertised, as this instance knows it, and the permits that this
 * instance holds for it. A permit allows one request.
 * @module
 */

/** What a response or a report changed about a limit. */
export enum LimitChange {
  None = 1,
  Begun = 2,
  /** The endpoint accepts more or fewer requests a second than before. */
  Changed = 3,
  Ended = 4,
}

/**
 * Interval in which the content of a response was true: after its request was sent and before it was received. Monotonic times.
 */
export interface ResponseTimes {
  readonly sentAt: number;
  readonly receivedAt: number;
}

/** An issuer's grant: permits, or the time until the next one. */
export interface PermitGrant {
  readonly permits: number;
  /** Time after which another permit is likely to be available; milliseconds. */
  readonly waitMs: number;
}

/** Rank that gives way to all others; lower ranks are more urgent. */
export const leastUrgentRank = Infinity;

/** Time for which a permit is valid: the issuer does not account for requests that are sent later. */
const permitValidMs = 250;
/** For a high limit, as many permits may be requested ahead as become available in this time. */
const aheadMs = 50;
const millisecondsPerSecond = 1_000;

/** Rate limit of one incarnation. */
export class EndpointLimit {
  private advertised: number | undefined;
  /** Monotonic time of the last response, to any instance, that advertised the limit. */
  private receivedAt = -Infinity;
  /** When the request was sent whose response advertised no limit; responses received before that are outdated. */
  private endedAt = -Infinity;
  private heldPermits = 0;
  private permitsValidUntil = -Infinity;
  /** Permits to request at once. */
  private batch = 1;
  private openCalls = 0;
  /** Until when only requests more urgent than `refusedRank` may request a permit. */
  private refusedUntil = -Infinity;
  private refusedRank = -Infinity;

  private constructor() {}

  static create(): EndpointLimit {
    return new EndpointLimit();
  }

  /** Requests a second that the endpoint accepts of all instances together; undefined if it advertises no limit. */
  get perSecond(): number | undefined {
    return this.advertised;
  }

  /**
   * Milliseconds since the present value was last confirmed: advertised by a response, or left out of the response to a request
   * sent then.
   */
  getAge(time: number): number {
    return time - (this.advertised === undefined ? this.endedAt : this.receivedAt);
  }

  /**
   * Applies a response that advertises the limit. Responses on different connections overtake each other, so a response whose
   * request was sent before the last response came does not raise the limit, and one that came before the limit's end does not
   * restore it.
   */
  recordAdvertised(perSecond: number, { sentAt, receivedAt }: ResponseTimes): LimitChange {
    if (receivedAt <= this.endedAt) return LimitChange.None;
    const previous = this.advertised;
    if (previous === undefined || sentAt >= this.receivedAt || perSecond < previous)
      this.advertised = perSecond;
    this.receivedAt = Math.max(this.receivedAt, receivedAt);
    if (previous === undefined) return LimitChange.Begun;
    return this.advertised === previous ? LimitChange.None : LimitChange.Changed;
  }

  /**
   * Applies a response without a limit; it ends the limit if its request was sent after the last response that advertised one.
   */
  recordOmitted(sentAt: number): LimitChange {
    if (this.advertised === undefined || sentAt <= this.receivedAt) return LimitChange.None;
    this.advertised = undefined;
    this.endedAt = sentAt;
    this.heldPermits = 0;
    this.refusedUntil = -Infinity;
    return LimitChange.Ended;
  }

  /** Whether a request of a rank may be sent, or a permit may be requested for it. */
  mayRequestPermits(time: number, rank: number): boolean {
    if (this.advertised === undefined || this.holdsPermit(time)) return true;
    if (this.openCalls >= this.maxAhead) return false;
    return time >= this.refusedUntil || rank < this.refusedRank;
  }

  /** Milliseconds until a permit is likely to be available; 0 if one is held or none is needed. */
  getWaitMs(time: number): number {
    if (this.advertised === undefined || this.holdsPermit(time)) return 0;
    return Math.max(0, this.refusedUntil - time);
  }

  /** Uses a held permit; returns false if there is none. */
  tryUsePermit(time: number): boolean {
    if (!this.holdsPermit(time)) return false;
    this.heldPermits -= 1;
    return true;
  }

  /**
   * Starts a call to the issuer; returns the number of permits to request: twice as many as last time while all are used, half as
   * many once some have expired.
   */
  beginPermitCall(): number {
    this.openCalls += 1;
    this.batch = this.heldPermits > 0 ? this.batch / 2 : this.batch * 2;
    this.batch = Math.min(this.maxAhead, Math.max(1, Math.floor(this.batch)));
    this.heldPermits = 0;
    return this.batch;
  }

  /** Applies the issuer's reply to a call for a request of a rank. */
  endPermitCall({ permits, waitMs }: PermitGrant, rank: number, time: number): void {
    this.openCalls -= 1;
    if (permits > 0) {
      this.heldPermits += permits;
      this.permitsValidUntil = time + permitValidMs;
      return;
    }
    const isStillRefused = time < this.refusedUntil;
    this.refusedRank = isStillRefused ? Math.min(this.refusedRank, rank) : rank;
    this.refusedUntil = Math.max(this.refusedUntil, time + waitMs);
  }

  private get maxAhead(): number {
    return Math.max(1, Math.floor(((this.advertised ?? 0) * aheadMs) / millisecondsPerSecond));
  }

  private holdsPermit(time: number): boolean {
    return this.heldPermits > 0 && time < this.permitsValidUntil;
  }
}
