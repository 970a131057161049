/**
 * Tracks eras of the store. An era is a period of the store's history in which revisions only grow. A store
 * that is restored from a snapshot issues the same revisions again, so that revisions are ordered within one era
 * only.
 *
 * The store reports its era in its responses. If it reports none, a revision below one that was known when the
 * call was sent shows that a new era has begun.
 * @module
 */

/** A revision and the era that it belongs to. */
export interface StorePosition {
  readonly era: number;
  /** Grows within the era. */
  readonly revision: number;
}

/** Whether two positions are the same. */
export function isSamePosition(one: StorePosition, other: StorePosition): boolean {
  return one.era === other.era && one.revision === other.revision;
}

/** Era of a store that has reported none and has not been restored, as far as is known. */
export const initialEra = 0;
/**
 * What each restore that only revisions show adds to the era. Reported eras are whole numbers, and greater than
 * all of these.
 */
const unreportedEraStep = 1 / 1_024;

const minReportedEra = 1;

/** Whether the store reported this era; other eras are counted from revisions that fell. */
export function isReportedEra(era: number): boolean {
  return era >= minReportedEra;
}

/** The era that a response reports. */
export interface ReportedEra {
  /** Undefined if the response reports none or one that cannot be parsed. */
  readonly era: number | undefined;
  /** The reported text if it could not be parsed. */
  readonly unreadable?: string | undefined;
}

/** What was known of the store when a call was sent. */
export interface CallStart {
  readonly era: number;
  readonly revision: number;
}

/** How a new era was detected. */
export enum EraSource {
  /** The store reported it in a response. */
  Answer = 1,
  /** A response had a revision below one that was known. */
  Revision = 2,
  /** Another instance reported it. */
  Peer = 3,
}

/** The beginning of an era, as this instance sees it. */
export interface EraChange {
  readonly from: number;
  readonly to: number;
  readonly source: EraSource;
  /** Highest revision that was known in the previous era; 0 if none was. */
  readonly revisionBefore: number;
}

/**
 * Whether the store was restored from a snapshot. Otherwise it has only reported its era to this instance for the
 * first time.
 */
export function isRestore({ from, revisionBefore }: Pick<EraChange, "from" | "revisionBefore">): boolean {
  return from !== initialEra || revisionBefore > 0;
}

/** Whether a call was sent in one era and its response belongs to another, because the store was restored in between. */
export function isAnsweredAfterRestore(start: CallStart, { era }: StorePosition): boolean {
  return start.era !== era && isRestore({ from: start.era, revisionBefore: start.revision });
}

/** Why a response is discarded. */
export enum DiscardCause {
  /** Its era had ended when it arrived. */
  Late = 1,
  /** The call was sent in a known era, and the response is of an earlier one. */
  Fallen = 2,
  /** It reports no era, although earlier responses did, or one that cannot be parsed. */
  Untold = 3,
}

/** A response that is discarded. */
export interface DiscardedResponse {
  readonly cause: DiscardCause;
  /** Era of the response, if it has one. */
  readonly era: number | undefined;
  readonly unreadable?: string | undefined;
}

/** The current era of the store, as far as this instance knows. */
export class StoreEras {
  private known = initialEra;
  private isReported = false;
  /** Highest revision in any response of this era. */
  private revision = 0;
  private readonly changeListeners: ((change: EraChange) => void)[] = [];
  private readonly discardListeners: ((response: DiscardedResponse) => void)[] = [];

  private constructor() {}

  static create(): StoreEras {
    return new StoreEras();
  }

  /** The newest era that is known. */
  get current(): number {
    return this.known;
  }

  /**
   * Registers a listener for new eras. It is called before any content of the new era is passed on, and also
   * for the first reported era.
   */
  onEraChange(listener: (change: EraChange) => void): void {
    this.changeListeners.push(listener);
  }

  /** Registers a listener for discarded responses. */
  onDiscarded(listener: (response: DiscardedResponse) => void): void {
    this.discardListeners.push(listener);
  }

  /** Returns what is known now, for a call that is about to be sent. */
  startCall(): CallStart {
    return { era: this.known, revision: this.revision };
  }

  /**
   * Applies the era in the head of a response, also of a refusal; returns the era of the response, or undefined
   * if the response is discarded.
   */
  acceptEra(start: CallStart, { era, unreadable }: ReportedEra): number | undefined {
    if (era === undefined) {
      if (!this.isReported) return start.era;
      this.discard({ cause: DiscardCause.Untold, era, unreadable });
      return undefined;
    }
    // The first reported era replaces the eras that were counted here, even if its number is lower.
    const isFirst = !this.isReported && !isReportedEra(this.known);
    this.isReported = true;
    if (isFirst || era > this.known) this.changeEra(era, EraSource.Answer);
    if (era === this.known) return era;
    this.discard({ cause: start.era > era ? DiscardCause.Fallen : DiscardCause.Late, era });
    return undefined;
  }

  /**
   * Applies the revision in a complete response, if it has one; returns the position of the response, or
   * undefined if its era has ended.
   */
  acceptRevision(start: CallStart, era: number, revision = this.revision): StorePosition | undefined {
    if (era !== this.known) {
      this.discard({ cause: DiscardCause.Late, era });
      return undefined;
    }
    if (!this.isReported && revision < start.revision)
      this.changeEra(this.known + unreportedEraStep, EraSource.Revision);
    this.revision = Math.max(this.revision, revision);
    return { era: this.known, revision };
  }

  /** Applies an era that another instance reported, if it is newer. State of earlier eras is no longer used. */
  advanceTo(era: number): void {
    if (Number.isFinite(era) && era > this.known) this.changeEra(era, EraSource.Peer);
  }

  private changeEra(to: number, source: EraSource): void {
    if (to === this.known) return;
    const change = { from: this.known, to, source, revisionBefore: this.revision };
    this.known = to;
    this.revision = 0;
    for (const listener of this.changeListeners) listener(change);
  }

  private discard(response: DiscardedResponse): void {
    for (const listener of this.discardListeners) listener(response);
  }
}
