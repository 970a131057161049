/**
 * What endpoints have said of themselves, by their lives: kept beyond their records, as an endpoint serves on for seconds after
 * its word, and may be listed again meanwhile.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { type AnswerTimes, EndpointLimit, leastUrgent, LimitChange } from "./endpointLimit.js";

/** From whom it is known that an endpoint leaves. */
export enum WordSource {
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
const keptLives = 2_048;
/** Time that a word is kept for; an endpoint that leaves ends within a minute. */
const keptMs = 600_000;

/** Requests that may wait for an answer right after a hold-off. */
const firstRoom = 1;
/** Room at which it is given up: the rounds before, of one, two and four requests, were all taken. */
const fullRoom = 8;

/** Words of one life. */
export class EndpointWords {
  private firstSource: WordSource | undefined;
  /** Monotonic time until which it wants no request of this instance. */
  private heldOffUntil = -Infinity;
  /** Requests that may wait for an answer there; bounded from a hold-off on, until it takes what is sent. */
  private room = Infinity;
  private waiting = 0;
  /** Grows with each hold-off: what was sent before one neither counts after it nor shows that it is over. */
  private round = 0;
  /** Monotonic time of the last word. */
  heardAt = -Infinity;
  /** How many requests it takes of all instances together. */
  readonly limit = EndpointLimit.create();

  private constructor() {}

  static create(): EndpointWords {
    return new EndpointWords();
  }

  /** From whom it was first known that it leaves; undefined where it does not. Nothing takes it back within a life. */
  get leaving(): WordSource | undefined {
    return this.firstSource;
  }

  /** Takes note that it leaves; returns whether that is new. */
  noteLeaving(source: WordSource, time: number): boolean {
    this.heardAt = time;
    if (this.firstSource !== undefined) return false;
    this.firstSource = source;
    return true;
  }

  /** Takes note that it wants no request of this instance for a time; the later end holds. */
  noteHoldOff(milliseconds: number, time: number): void {
    this.heardAt = time;
    this.heldOffUntil = Math.max(this.heldOffUntil, time + milliseconds);
    this.beginReturn();
  }

  /** Takes note of an answer that names a limit. */
  noteLimit(perSecond: number, times: AnswerTimes, time: number): LimitChange {
    this.heardAt = time;
    return this.limit.takeNamed(perSecond, times);
  }

  /** Takes note of an answer that names no limit; what waited for the end comes back as after a hold-off. */
  endLimit(sentAt: number): LimitChange {
    const change = this.limit.takeUnnamed(sentAt);
    if (change === LimitChange.Ended) this.beginReturn();
    return change;
  }

  private beginReturn(): void {
    this.room = firstRoom;
    this.waiting = 0;
    this.round += 1;
  }

  /** Milliseconds until it may be sent a request of this instance. */
  getOpeningMs(time: number): number {
    return Math.max(this.getHeldOffMs(time), this.limit.getWaitMs(time));
  }

  /** Milliseconds for which it wants no request of this instance; 0 where it names no time. */
  getHeldOffMs(time: number): number {
    return Math.max(0, this.heldOffUntil - time);
  }

  /**
   * Whether it may be sent a request of a rank, with a permit where it has named a limit. After a hold-off one goes first, then
   * twice as many each time that all were taken, so that the crowd does not meet an endpoint that has taken none yet.
   */
  mayTake(time: number, rank = leastUrgent): boolean {
    return this.isOpen(time) && this.limit.mayAsk(time, rank);
  }

  /** The same where a permit is at hand. */
  isOpen(time: number): boolean {
    return time >= this.heldOffUntil && this.waiting < this.room;
  }

  /** Takes note that a request is sent there; returns what its end is told with. */
  beginTry(): number {
    this.waiting += 1;
    return this.round;
  }

  /** Takes note of what came of a request that was sent there. */
  endTry(round: number, isTaken: boolean): void {
    if (round !== this.round) return;
    this.waiting -= 1;
    if (isTaken) this.room += 1;
    if (this.room >= fullRoom) this.room = Infinity;
  }
}

/** Words of all lives, also of those whose records are gone or not there yet. */
export class WordMemory {
  /** Words by life, the latest at the end. */
  private readonly words = new Map<string, EndpointWords>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): WordMemory {
    return new WordMemory(clock);
  }

  find(life: string): EndpointWords | undefined {
    return this.words.get(life);
  }

  /** Keeps the words of a life, to which one was just added. */
  keep(life: string, words: EndpointWords): void {
    this.words.delete(life);
    this.words.set(life, words);
    const limit = this.clock.getTime() - keptMs;
    for (const [oldest, { heardAt }] of this.words) {
      if (this.words.size <= keptLives && heardAt >= limit) return;
      this.words.delete(oldest);
    }
  }

  /** Lives that are known to leave by an answer, the latest first, so many at most. */
  getAnswered(most: number): readonly string[] {
    return this.select(most, ({ leaving }) => leaving === WordSource.Answer || leaving === WordSource.Peer);
  }

  /** Lives that name a limit, the latest first, so many at most. */
  getLimited(most: number): readonly string[] {
    return this.select(most, ({ limit }) => limit.perSecond !== undefined);
  }

  private select(most: number, isMeant: (words: EndpointWords) => boolean): readonly string[] {
    const meant = [...this.words].filter(([, words]) => isMeant(words));
    return meant
      .reverse()
      .slice(0, most)
      .map(([life]) => life);
  }
}
