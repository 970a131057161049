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
const permitMs = 250;
/** Of a high limit, questions under way and permits at hand are as many as come in this time. */
const aheadMs = 50;
const millisecondsPerSecond = 1_000;

/** A limit of one life. */
export class EndpointLimit {
  private named: number | undefined;
  /** Monotonic time of the last answer that named it, to whomever. */
  private heardAt = -Infinity;
  /** When the request was sent whose answer named none: an answer that came before says nothing any more. */
  private endedAt = -Infinity;
  private held = 0;
  private heldUntil = -Infinity;
  /** Permits to be asked for at once. */
  private batch = 1;
  private asking = 0;
  /** Until when only requests more urgent than `refusedRank` ask for a permit. */
  private refusedUntil = -Infinity;
  private refusedRank = -Infinity;

  private constructor() {}

  static create(): EndpointLimit {
    return new EndpointLimit();
  }

  /** Requests a second that it takes of all instances together; undefined where it names none. */
  get perSecond(): number | undefined {
    return this.named;
  }

  /** Milliseconds since it was last known to be as it is: named by an answer, or not named by one to a request sent then. */
  getAge(time: number): number {
    return time - (this.named === undefined ? this.endedAt : this.heardAt);
  }

  /**
   * Takes an answer that names it. Answers on different connections pass each other: one whose request was sent before the last
   * answer came does not raise it, and one that came before the end does not bring it back.
   */
  noteAdvertised(perSecond: number, { sentAt, receivedAt: heardAt }: ResponseTimes): LimitChange {
    if (heardAt <= this.endedAt) return LimitChange.None;
    const former = this.named;
    if (former === undefined || sentAt >= this.heardAt || perSecond < former) this.named = perSecond;
    this.heardAt = Math.max(this.heardAt, heardAt);
    if (former === undefined) return LimitChange.Begun;
    return this.named === former ? LimitChange.None : LimitChange.Changed;
  }

  /** Takes an answer that does not name it; it ends it where its request was sent after the last answer that did. */
  noteOmitted(sentAt: number): LimitChange {
    if (this.named === undefined || sentAt <= this.heardAt) return LimitChange.None;
    this.named = undefined;
    this.endedAt = sentAt;
    this.held = 0;
    this.refusedUntil = -Infinity;
    return LimitChange.Ended;
  }

  /** Whether a request of a rank may be sent, or a permit be asked for it. */
  mayRequestPermits(time: number, rank: number): boolean {
    if (this.named === undefined || this.hasHeld(time)) return true;
    if (this.asking >= this.mostAhead) return false;
    return time >= this.refusedUntil || rank < this.refusedRank;
  }

  /** Milliseconds until a permit is likely to be had; 0 where there is one, or none is needed. */
  getWaitMs(time: number): number {
    if (this.named === undefined || this.hasHeld(time)) return 0;
    return Math.max(0, this.refusedUntil - time);
  }

  /** Uses a permit that is held; false where there is none. */
  tryUsePermit(time: number): boolean {
    if (!this.hasHeld(time)) return false;
    this.held -= 1;
    return true;
  }

  /** Takes note that an issuer is asked; returns for how many permits: twice as many while all are used, half once some lapse. */
  beginPermitCall(): number {
    this.asking += 1;
    this.batch = this.held > 0 ? this.batch / 2 : this.batch * 2;
    this.batch = Math.min(this.mostAhead, Math.max(1, Math.floor(this.batch)));
    this.held = 0;
    return this.batch;
  }

  /** Takes the answer to a question for a request of a rank. */
  endPermitCall({ permits, waitMs }: PermitGrant, rank: number, time: number): void {
    this.asking -= 1;
    if (permits > 0) {
      this.held += permits;
      this.heldUntil = time + permitMs;
      return;
    }
    const isHeldUp = time < this.refusedUntil;
    this.refusedRank = isHeldUp ? Math.min(this.refusedRank, rank) : rank;
    this.refusedUntil = Math.max(this.refusedUntil, time + waitMs);
  }

  private get mostAhead(): number {
    return Math.max(1, Math.floor(((this.named ?? 0) * aheadMs) / millisecondsPerSecond));
  }

  private hasHeld(time: number): boolean {
    return this.held > 0 && time < this.heldUntil;
  }
}
