/**
 * Who decides for the fleet on a subject that all instances share: one of the readers for each, the same for all. What it
 * grants is counted before the next question, so that instances which ask at the same moment do not all take the same room.
 * @module
 */
import type { PeerMessage } from "@gladewall/coordination";
import { type Clock, Failure, FailureCode, type Logger, sortByRendezvous, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";

/** A question that is decided for the whole fleet. */
export interface ArbiterCall<Answer> {
  /** What it is about; each subject has an arbiter of its own. */
  readonly subject: string;
  readonly message: PeerMessage;
  /** Whether an answer says that its giver does not know enough. */
  readonly isUndecided: (answer: Answer) => boolean;
  /** Whether an instance knows this kind of question; where it is left out, all do. */
  readonly supportsCall?: (name: string) => boolean;
}

/** Options of the choice. */
export interface ArbitersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Name of this instance. */
  readonly own: string;
  readonly getReaders: () => readonly string[];
  readonly isLinked: (name: string) => boolean;
  readonly call: (name: string, message: PeerMessage, timeoutMs: number) => Promise<Result<unknown, Failure>>;
}

/** Time for an answer of an arbiter that has not answered yet; in calm it comes within 5 ms. */
const firstPatienceMs = 300;
/** A tenth of the shortest usual objective: a caller is to notice nothing of an arbiter that is slow. */
const leastPatienceMs = 60;
/** A caller waits no longer for an arbiter; its links may be so slow that a shorter time has no answer at all. */
const mostPatienceMs = 1_000;
/** An answer may take this many times as long as the last one, and `patienceMarginMs` more. */
const patienceFactor = 4;
const patienceMarginMs = 40;
/** Time for which an arbiter that did not answer is passed over: pauses of processes last about as long. */
const firstRestMs = 1_000;
/** One that is slower than another each time is asked again after so long: slow machines stay slow for some seconds. */
const mostRestMs = 8_000;
/**
 * Time for a link to an arbiter to come up: an instance that has just started has some within 0.2 s. Refused, a caller would
 * be back later than that.
 */
const linkWaitMs = 250;
const linkCheckMs = 10;
/** Arbiters that are asked for one request. */
const mostTries = 2;

/** How an arbiter has answered. */
interface ArbiterState {
  patienceMs: number;
  /** Time for which it is passed over when it does not answer. */
  restMs: number;
  passedOverUntil: number;
}

/** Chooses arbiters and asks them. */
export class Arbiters {
  private readonly states = new Map<string, ArbiterState>();

  private constructor(private readonly options: ArbitersOptions) {}

  static create(options: ArbitersOptions): Arbiters {
    return new Arbiters(options);
  }

  /** Whether this instance is the arbiter of a subject. */
  isOwnSubject(subject: string): boolean {
    return this.find(subject) === this.options.own;
  }

  /**
   * Asks the subject's arbiter, and the next where it does not answer; fails with `PeerUnreachable` where none gives a
   * clear answer within `waitMs`. Both may have counted what was asked for.
   */
  async call<Answer>(question: ArbiterCall<Answer>, waitMs: number): Promise<Result<Answer, Failure>> {
    const { clock, own } = this.options;
    const { subject, isUndecided: isUnclear } = question;
    const endsAt = clock.getTime() + waitMs;
    const silent: ArbiterState[] = [];
    for (let tries = 0; tries < mostTries; tries++) {
      const arbiter = await this.waitForArbiter(question, endsAt);
      const leftMs = endsAt - clock.getTime();
      if (arbiter === undefined || arbiter === own || leftMs <= 0) break;
      const answer = await this.callOne(arbiter, question, leftMs);
      if (answer !== undefined && !isUnclear(answer)) {
        for (const state of silent) state.restMs = Math.min(mostRestMs, state.restMs * 2);
        return Ok(answer);
      }
      if (answer === undefined) silent.push(this.getState(arbiter));
      this.passOver(arbiter, subject, answer !== undefined);
    }
    // Where all are slow, their links are: only more time brings an answer.
    for (const state of silent) state.patienceMs = Math.min(mostPatienceMs, state.patienceMs * 2);
    return Err(Failure.create(FailureCode.PeerUnreachable, { peer: subject }));
  }

  /** Resolves with the arbiter once it can be asked; with undefined where none can be for a while. */
  private async waitForArbiter(
    { subject, supportsCall: isAble }: Pick<ArbiterCall<unknown>, "subject" | "supportsCall">,
    latestAt: number,
  ): Promise<string | undefined> {
    const { clock } = this.options;
    const endsAt = Math.min(latestAt, clock.getTime() + linkWaitMs);
    let arbiter = this.find(subject, isAble);
    while (arbiter === undefined && clock.getTime() < endsAt) {
      await waitFor(clock, linkCheckMs);
      arbiter = this.find(subject, isAble);
    }
    return arbiter;
  }

  /** Returns the first reader that can decide, this instance among them; undefined where none can be reached. */
  find(subject: string, isAble: (name: string) => boolean = () => true): string | undefined {
    const { clock, own, getReaders, isLinked } = this.options;
    const time = clock.getTime();
    const readers = getReaders();
    if (readers.length === 0) return own;
    const canDecide = (name: string): boolean =>
      name === own || (isLinked(name) && isAble(name) && this.getState(name).passedOverUntil <= time);
    return sortReaders(subject, readers).find(canDecide);
  }

  /**
   * Readers before this instance that may be deciding too, also for others that it can't reach itself; 0 where it is the first
   * choice of all.
   */
  countBefore(subject: string, isAble: (name: string) => boolean): number {
    const { own, getReaders, isLinked } = this.options;
    const mayDecide = (name: string): boolean => name === own || isAble(name) || !isLinked(name);
    const ranked = sortReaders(subject, getReaders().filter(mayDecide));
    const place = ranked.indexOf(own);
    return place < 0 ? ranked.length : place;
  }

  private async callOne<Answer>(
    arbiter: string,
    { message }: ArbiterCall<Answer>,
    leftMs: number,
  ): Promise<Answer | undefined> {
    const { clock, call } = this.options;
    const state = this.getState(arbiter);
    const askedAt = clock.getTime();
    const answer = await call(arbiter, message, Math.min(state.patienceMs, leftMs));
    if (answer.isErr()) return undefined;
    const tookMs = clock.getTime() - askedAt;
    state.restMs = firstRestMs;
    state.patienceMs = clampPatience(tookMs * patienceFactor + patienceMarginMs);
    return answer.value as Answer;
  }

  private passOver(arbiter: string, subject: string, hasAnswered: boolean): void {
    const { clock, logger } = this.options;
    const state = this.getState(arbiter);
    state.passedOverUntil = clock.getTime() + state.restMs;
    const { patienceMs } = state;
    logger.warn("arbiter.passed-over", { arbiter, subject, answered: hasAnswered, patienceMs });
  }

  private getState(arbiter: string): ArbiterState {
    let state = this.states.get(arbiter);
    if (!state) {
      state = { patienceMs: firstPatienceMs, restMs: firstRestMs, passedOverUntil: -Infinity };
      this.states.set(arbiter, state);
    }
    return state;
  }
}

function clampPatience(patienceMs: number): number {
  return Math.min(mostPatienceMs, Math.max(leastPatienceMs, patienceMs));
}

function sortReaders(subject: string, readers: readonly string[]): readonly string[] {
  return sortByRendezvous(subject, readers, (name) => name);
}
