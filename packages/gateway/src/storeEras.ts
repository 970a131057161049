/**
 * Places in the store's history. A store that comes back from a copy gives revisions out again, so they are an order
 * within one era only. The store tells the era with its answers; where it tells none, a revision below one that was known
 * when a call was sent shows that another has begun.
 * @module
 */

/** A place in the store's history. */
export interface StorePosition {
  readonly era: number;
  /** Counts within the era. */
  readonly revision: number;
}

/** Whether two places are the same. */
export function isSamePosition(one: StorePosition, other: StorePosition): boolean {
  return one.era === other.era && one.revision === other.revision;
}

/** Era of a store that has told none and was not seen to go back. */
export const initialEra = 0;
/** Each return that only revisions show counts so much: told eras are whole numbers, and above all of these. */
const unreportedEraStep = 1 / 1_024;

const minReportedEra = 1;

/** Whether an era is one that the store told; others are counted from revisions that fell. */
export function isReportedEra(era: number): boolean {
  return era >= minReportedEra;
}

/** What an answer tells of its era. */
export interface ReportedEra {
  /** Undefined where it tells none that can be read. */
  readonly era: number | undefined;
  /** Text of a word that could not be read. */
  readonly unreadable?: string | undefined;
}

/** What was known when a call was sent. */
export interface CallStart {
  readonly era: number;
  readonly revision: number;
}

/** By what a new era was found out. */
export enum EraSource {
  /** An answer of the store that tells it. */
  Answer = 1,
  /** A revision below one that was known. */
  Revision = 2,
  /** Another instance. */
  Peer = 3,
}

/** The beginning of an era, as seen here. */
export interface EraChange {
  readonly from: number;
  readonly to: number;
  readonly source: EraSource;
  /** Highest revision that was known in the era before; 0 where none was. */
  readonly revisionBefore: number;
}

/** Whether the store came back from a copy, and did not only tell its era to this instance for the first time. */
export function isRestore({ from, revisionBefore }: Pick<EraChange, "from" | "revisionBefore">): boolean {
  return from !== initialEra || revisionBefore > 0;
}

/** Whether a call that was sent in one era was answered in another one. */
export function isAnsweredAfterRestore(start: CallStart, { era }: StorePosition): boolean {
  return start.era !== era && isRestore({ from: start.era, revisionBefore: start.revision });
}

/** Why an answer is passed over. */
export enum DiscardCause {
  /** It is of an era that was over when it came. */
  Late = 1,
  /** It was asked for in an era that was known, and is of one before. */
  Fallen = 2,
  /** It tells no era, though earlier ones did, or none that can be read. */
  Untold = 3,
}

/** An answer that is passed over. */
export interface DiscardedResponse {
  readonly cause: DiscardCause;
  /** Era of the answer, where it has one. */
  readonly era: number | undefined;
  readonly unreadable?: string | undefined;
}

/** The era that the store is in, as this instance knows. */
export class StoreEras {
  private known = initialEra;
  private isReported = false;
  /** Highest revision that an answer of this era showed. */
  private revision = 0;
  private readonly changeListeners: ((changeEra: EraChange) => void)[] = [];
  private readonly discardListeners: ((answer: DiscardedResponse) => void)[] = [];

  private constructor() {}

  static create(): StoreEras {
    return new StoreEras();
  }

  /** The newest era that is known. */
  get current(): number {
    return this.known;
  }

  /** Calls back when a new era is known, before anything of it is passed on; the first that is told is one, too. */
  onEraChange(listener: (rise: EraChange) => void): void {
    this.changeListeners.push(listener);
  }

  /** Calls back with each answer that is passed over. */
  onDiscarded(listener: (answer: DiscardedResponse) => void): void {
    this.discardListeners.push(listener);
  }

  /** What is known now, for a call that is to be sent. */
  startCall(): CallStart {
    return { era: this.known, revision: this.revision };
  }

  /** Takes what the head of an answer tells, a refusal's too; returns the answer's era, undefined where it counts for nothing. */
  acceptEra(start: CallStart, { era, unreadable }: ReportedEra): number | undefined {
    if (era === undefined) {
      if (!this.isReported) return start.era;
      this.discard({ cause: DiscardCause.Untold, era, unreadable });
      return undefined;
    }
    // A first told era takes the place of what was counted here, whichever number is higher.
    const isFirst = !this.isReported && !isReportedEra(this.known);
    this.isReported = true;
    if (isFirst || era > this.known) this.rise(era, EraSource.Answer);
    if (era === this.known) return era;
    this.discard({ cause: start.era > era ? DiscardCause.Fallen : DiscardCause.Late, era });
    return undefined;
  }

  /**
   * Takes the revision that a whole answer shows, where it shows one; returns the answer's position, undefined where its
   * era is over.
   */
  acceptRevision(start: CallStart, era: number, revision = this.revision): StorePosition | undefined {
    if (era !== this.known) {
      this.discard({ cause: DiscardCause.Late, era });
      return undefined;
    }
    if (!this.isReported && revision < start.revision)
      this.rise(this.known + unreportedEraStep, EraSource.Revision);
    this.revision = Math.max(this.revision, revision);
    return { era: this.known, revision };
  }

  /** Takes an era that another instance knows of: what is known of an earlier one is not gone on with. */
  advanceTo(era: number): void {
    if (Number.isFinite(era) && era > this.known) this.rise(era, EraSource.Peer);
  }

  private rise(to: number, source: EraSource): void {
    if (to === this.known) return;
    const rise = { from: this.known, to, source, revisionBefore: this.revision };
    this.known = to;
    this.revision = 0;
    for (const listener of this.changeListeners) listener(rise);
  }

  private discard(answer: DiscardedResponse): void {
    for (const listener of this.discardListeners) listener(answer);
  }
}
