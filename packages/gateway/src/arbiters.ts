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
  readonly isUndecided: (reply: Answer) => boolean;
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
const initialTimeoutMs = 300;
/** A tenth of the shortest usual objective: a caller is to notice nothing of an arbiter that is slow. */
const minTimeoutMs = 60;
/** A caller waits no longer for an arbiter; its links may be so slow that a shorter time has no answer at all. */
const maxTimeoutMs = 1_000;
/** An answer may take this many times as long as the last one, and `patienceMarginMs` more. */
const timeoutFactor = 4;
const timeoutMarginMs = 40;
/** Time for which an arbiter that did not answer is passed over: pauses of processes last about as long. */
const initialBackoffMs = 1_000;
/** One that is slower than another each time is asked again after so long: slow machines stay slow for some seconds. */
const maxBackoffMs = 8_000;
/**
 * Time for a link to an arbiter to come up: an instance that has just started has some within 0.2 s. Refused, a caller would
 * be back later than that.
 */
const linkTimeoutMs = 250;
const linkPollMs = 10;
/** Arbiters that are asked for one request. */
const maxAttempts = 2;

/** How an arbiter has answered. */
interface ArbiterState {
  timeoutMs: number;
  /** Time for which it is passed over when it does not answer. */
  backoffMs: number;
  skippedUntil: number;
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
  async call<Answer>(arbiterCall: ArbiterCall<Answer>, waitMs: number): Promise<Result<Answer, Failure>> {
    const { clock, own } = this.options;
    const { subject, isUndecided: isUnclear } = arbiterCall;
    const endsAt = clock.getTime() + waitMs;
    const unanswered: ArbiterState[] = [];
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const arbiter = await this.waitForArbiter(arbiterCall, endsAt);
      const remainingMs = endsAt - clock.getTime();
      if (arbiter === undefined || arbiter === own || remainingMs <= 0) break;
      const reply = await this.callOne(arbiter, arbiterCall, remainingMs);
      if (reply !== undefined && !isUnclear(reply)) {
        for (const state of unanswered) state.backoffMs = Math.min(maxBackoffMs, state.backoffMs * 2);
        return Ok(reply);
      }
      if (reply === undefined) unanswered.push(this.getState(arbiter));
      this.skip(arbiter, subject, reply !== undefined);
    }
    // Where all are slow, their links are: only more time brings an answer.
    for (const state of unanswered) state.timeoutMs = Math.min(maxTimeoutMs, state.timeoutMs * 2);
    return Err(Failure.create(FailureCode.PeerUnreachable, { peer: subject }));
  }

  /** Resolves with the arbiter once it can be asked; with undefined where none can be for a while. */
  private async waitForArbiter(
    { subject, supportsCall: isAble }: Pick<ArbiterCall<unknown>, "subject" | "supportsCall">,
    latestAt: number,
  ): Promise<string | undefined> {
    const { clock } = this.options;
    const endsAt = Math.min(latestAt, clock.getTime() + linkTimeoutMs);
    let arbiter = this.find(subject, isAble);
    while (arbiter === undefined && clock.getTime() < endsAt) {
      await waitFor(clock, linkPollMs);
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
      name === own || (isLinked(name) && isAble(name) && this.getState(name).skippedUntil <= time);
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
    remainingMs: number,
  ): Promise<Answer | undefined> {
    const { clock, call } = this.options;
    const state = this.getState(arbiter);
    const calledAt = clock.getTime();
    const reply = await call(arbiter, message, Math.min(state.timeoutMs, remainingMs));
    if (reply.isErr()) return undefined;
    const tookMs = clock.getTime() - calledAt;
    state.backoffMs = initialBackoffMs;
    state.timeoutMs = clampTimeout(tookMs * timeoutFactor + timeoutMarginMs);
    return reply.value as Answer;
  }

  private skip(arbiter: string, subject: string, hasReplied: boolean): void {
    const { clock, logger } = this.options;
    const state = this.getState(arbiter);
    state.skippedUntil = clock.getTime() + state.backoffMs;
    const { timeoutMs: patienceMs } = state;
    logger.warn("arbiter.passed-over", { arbiter, subject, answered: hasReplied, patienceMs });
  }

  private getState(arbiter: string): ArbiterState {
    let state = this.states.get(arbiter);
    if (!state) {
      state = { timeoutMs: initialTimeoutMs, backoffMs: initialBackoffMs, skippedUntil: -Infinity };
      this.states.set(arbiter, state);
    }
    return state;
  }
}

function clampTimeout(patienceMs: number): number {
  return Math.min(maxTimeoutMs, Math.max(minTimeoutMs, patienceMs));
}

function sortReaders(subject: string, readers: readonly string[]): readonly string[] {
  return sortByRendezvous(subject, readers, (name) => name);
}
