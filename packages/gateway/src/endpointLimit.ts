/**
 * The limit that one endpoint's life has named, as this instance knows it, and the permits that this instance has for it.
 * @module
 */

/** What a word on a limit changed. */
export enum LimitChange {
  None = 1,
  Begun = 2,
  /** It takes more or fewer requests a second than before. */
  Changed = 3,
  Ended = 4,
}

/** When what an answer says was true: after its request was sent, and before the answer came. Monotonic times. */
export interface ResponseTimes {
  readonly sentAt: number;
  readonly receivedAt: number;
}

/** What an issuer says to this instance. */
export interface PermitGrant {
  readonly permits: number;
  /** Time after which another is likely to be there; milliseconds. */
  readonly waitMs: number;
}

/** Rank of whoever gives way to all others; lower ranks are more urgent. */
export const leastUrgentRank = Infinity;

/** Time for which a permit may be used: what is sent later than that is not what the issuer counts with. */
const permitValidMs = 250;
/** Of a high limit, questions under way and permits at hand are as many as come in this time. */
const aheadMs = 50;
const millisecondsPerSecond = 1_000;

/** A limit of one life. */
export class EndpointLimit {
  private advertised: number | undefined;
  /** Monotonic time of the last answer that named it, to whomever. */
  private receivedAt = -Infinity;
  /** When the request was sent whose answer named none: an answer that came before says nothing any more. */
  private endedAt = -Infinity;
  private heldPermits = 0;
  private permitsValidUntil = -Infinity;
  /** Permits to be asked for at once. */
  private batch = 1;
  private openCalls = 0;
  /** Until when only requests more urgent than `refusedRank` ask for a permit. */
  private refusedUntil = -Infinity;
  private refusedRank = -Infinity;

  private constructor() {}

  static create(): EndpointLimit {
    return new EndpointLimit();
  }

  /** Requests a second that it takes of all instances together; undefined where it names none. */
  get perSecond(): number | undefined {
    return this.advertised;
  }

  /** Milliseconds since it was last known to be as it is: named by an answer, or not named by one to a request sent then. */
  getAge(time: number): number {
    return time - (this.advertised === undefined ? this.endedAt : this.receivedAt);
  }

  /**
   * Takes an answer that names it. Answers on different connections pass each other: one whose request was sent before the last
   * answer came does not raise it, and one that came before the end does not bring it back.
   */
  noteAdvertised(perSecond: number, { sentAt, receivedAt }: ResponseTimes): LimitChange {
    if (receivedAt <= this.endedAt) return LimitChange.None;
    const previous = this.advertised;
    if (previous === undefined || sentAt >= this.receivedAt || perSecond < previous)
      this.advertised = perSecond;
    this.receivedAt = Math.max(this.receivedAt, receivedAt);
    if (previous === undefined) return LimitChange.Begun;
    return this.advertised === previous ? LimitChange.None : LimitChange.Changed;
  }

  /** Takes an answer that does not name it; it ends it where its request was sent after the last answer that did. */
  noteOmitted(sentAt: number): LimitChange {
    if (this.advertised === undefined || sentAt <= this.receivedAt) return LimitChange.None;
    this.advertised = undefined;
    this.endedAt = sentAt;
    this.heldPermits = 0;
    this.refusedUntil = -Infinity;
    return LimitChange.Ended;
  }

  /** Whether a request of a rank may be sent, or a permit be asked for it. */
  mayRequestPermits(time: number, rank: number): boolean {
    if (this.advertised === undefined || this.holdsPermit(time)) return true;
    if (this.openCalls >= this.maxAhead) return false;
    return time >= this.refusedUntil || rank < this.refusedRank;
  }

  /** Milliseconds until a permit is likely to be had; 0 where there is one, or none is needed. */
  getWaitMs(time: number): number {
    if (this.advertised === undefined || this.holdsPermit(time)) return 0;
    return Math.max(0, this.refusedUntil - time);
  }

  /** Uses a permit that is held; false where there is none. */
  tryUsePermit(time: number): boolean {
    if (!this.holdsPermit(time)) return false;
    this.heldPermits -= 1;
    return true;
  }

  /** Takes note that an issuer is asked; returns for how many permits: twice as many while all are used, half once some lapse. */
  beginPermitCall(): number {
    this.openCalls += 1;
    this.batch = this.heldPermits > 0 ? this.batch / 2 : this.batch * 2;
    this.batch = Math.min(this.maxAhead, Math.max(1, Math.floor(this.batch)));
    this.heldPermits = 0;
    return this.batch;
  }

  /** Takes the answer to a question for a request of a rank. */
  endPermitCall({ permits, waitMs }: PermitGrant, rank: number, time: number): void {
    this.openCalls -= 1;
    if (permits > 0) {
      this.heldPermits += permits;
      this.permitsValidUntil = time + permitValidMs;
      return;
    }
    const isRefused = time < this.refusedUntil;
    this.refusedRank = isRefused ? Math.min(this.refusedRank, rank) : rank;
    this.refusedUntil = Math.max(this.refusedUntil, time + waitMs);
  }

  private get maxAhead(): number {
    return Math.max(1, Math.floor(((this.advertised ?? 0) * aheadMs) / millisecondsPerSecond));
  }

  private holdsPermit(time: number): boolean {
    return this.heldPermits > 0 && time < this.permitsValidUntil;
  }
}
