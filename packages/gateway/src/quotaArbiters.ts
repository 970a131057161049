/**
 * Who decides on a workspace's limit: one of the readers for each workspace, the same for all instances. It hears the whole
 * fleet, and what it grants is counted before the next question, so that instances which ask at the same moment do not all
 * take the same room.
 * @module
 */
import { type Clock, Failure, FailureCode, type Logger, sortByRendezvous, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { MemberMessageKind, type QuotaAnswer, type QuotaAsk, QuotaWord } from "./memberMessages.js";

/** What an instance asks; the message without its kind. */
export type QuotaQuestion = Omit<QuotaAsk, "kind" | "call">;

/** Options of the choice. */
export interface QuotaArbitersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Name of this instance. */
  readonly own: string;
  readonly getReaders: () => readonly string[];
  readonly isLinked: (name: string) => boolean;
  readonly call: (name: string, message: QuotaAsk, timeoutMs: number) => Promise<Result<unknown, Failure>>;
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
 * be back after 0.3 s: 116 and 126 refusals in the two seconds after a restart of nine instances, 13 and 26 without arbiters.
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
export class QuotaArbiters {
  private readonly states = new Map<string, ArbiterState>();

  private constructor(private readonly options: QuotaArbitersOptions) {}

  static create(options: QuotaArbitersOptions): QuotaArbiters {
    return new QuotaArbiters(options);
  }

  /** Whether this instance is the arbiter of a workspace's limit. */
  decidesHere(workspace: string): boolean {
    return this.find(workspace) === this.options.own;
  }

  /**
   * Asks the workspace's arbiter, and the next where it does not answer; fails with `PeerUnreachable` where none gives a
   * clear answer within `waitMs`. A total that both have counted is counted once by each.
   */
  async ask(question: QuotaQuestion, waitMs: number): Promise<Result<QuotaAnswer, Failure>> {
    const { clock, own } = this.options;
    const endsAt = clock.getTime() + waitMs;
    const silent: ArbiterState[] = [];
    for (let tries = 0; tries < mostTries; tries++) {
      const arbiter = await this.waitForArbiter(question.workspace, endsAt);
      const leftMs = endsAt - clock.getTime();
      if (arbiter === undefined || arbiter === own || leftMs <= 0) break;
      const answer = await this.askOne(arbiter, question, leftMs);
      if (answer && answer.word !== QuotaWord.Unknown) {
        for (const state of silent) state.restMs = Math.min(mostRestMs, state.restMs * 2);
        return Ok(answer);
      }
      if (!answer) silent.push(this.getState(arbiter));
      this.passOver(arbiter, question.workspace, answer !== undefined);
    }
    // Where all are slow, their links are: only more time brings an answer.
    for (const state of silent) state.patienceMs = Math.min(mostPatienceMs, state.patienceMs * 2);
    return Err(Failure.create(FailureCode.PeerUnreachable, { peer: question.workspace }));
  }

  /** Resolves with the arbiter once it can be asked; with undefined where none can be for a while. */
  private async waitForArbiter(workspace: string, latestAt: number): Promise<string | undefined> {
    const { clock } = this.options;
    const endsAt = Math.min(latestAt, clock.getTime() + linkWaitMs);
    let arbiter = this.find(workspace);
    while (arbiter === undefined && clock.getTime() < endsAt) {
      await waitFor(clock, linkCheckMs);
      arbiter = this.find(workspace);
    }
    return arbiter;
  }

  /** Returns the first reader that can decide, this instance among them; undefined where none can be reached. */
  find(subject: string): string | undefined {
    const { clock, own, getReaders, isLinked } = this.options;
    const time = clock.getTime();
    const readers = getReaders();
    if (readers.length === 0) return own;
    const canDecide = (name: string): boolean =>
      name === own || (isLinked(name) && this.getState(name).passedOverUntil <= time);
    return sortByRendezvous(subject, readers, (name) => name).find(canDecide);
  }

  private async askOne(
    arbiter: string,
    question: QuotaQuestion,
    leftMs: number,
  ): Promise<QuotaAnswer | undefined> {
    const { clock, call } = this.options;
    const state = this.getState(arbiter);
    const askedAt = clock.getTime();
    const message: QuotaAsk = { kind: MemberMessageKind.QuotaAsk, ...question };
    const answer = await call(arbiter, message, Math.min(state.patienceMs, leftMs));
    if (answer.isErr()) return undefined;
    const tookMs = clock.getTime() - askedAt;
    state.restMs = firstRestMs;
    state.patienceMs = clampPatience(tookMs * patienceFactor + patienceMarginMs);
    return answer.value as QuotaAnswer;
  }

  private passOver(arbiter: string, workspace: string, hasAnswered: boolean): void {
    const { clock, logger } = this.options;
    const state = this.getState(arbiter);
    state.passedOverUntil = clock.getTime() + state.restMs;
    const { patienceMs } = state;
    logger.warn("quota.arbiter-passed-over", { arbiter, workspace, answered: hasAnswered, patienceMs });
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
