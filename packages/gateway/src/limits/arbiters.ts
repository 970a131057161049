/**
 * Chooses and calls the arbiter of a subject that all instances share, such as a limit. The arbiter is one of the readers, and
 * all instances choose the same one by rendezvous hashing. It counts what it grants before it handles the next call, so that
 * instances which call at the same moment are not granted the same capacity.
 * @module
 */
import type { PeerMessage } from "@gladewall/coordination";
import { type Clock, Failure, FailureCode, type Logger, sortByRendezvous, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";

/** A call on which an arbiter decides for the whole fleet. */
export interface ArbiterCall<Reply> {
  /** What the call is about; each subject has its own arbiter. */
  readonly subject: string;
  readonly message: PeerMessage;
  /** Whether a reply says that the arbiter does not know enough to decide. */
  readonly isUndecided: (reply: Reply) => boolean;
  /** Whether an instance supports this kind of call; if left out, all do. */
  readonly supportsCall?: (name: string) => boolean;
  /** Whether an arbiter that was not tried yet gets only its part of the time, so that the next one can still be called. */
  readonly sharesWait?: boolean;
}

/** Options of the arbiters. */
export interface ArbitersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Name of this instance. */
  readonly ownName: string;
  readonly getReaders: () => readonly string[];
  readonly isLinked: (name: string) => boolean;
  readonly call: (name: string, message: PeerMessage, timeoutMs: number) => Promise<Result<unknown, Failure>>;
}

/** Timeout for an arbiter that has not replied yet; without load a reply comes within 5 ms. */
const initialTimeoutMs = 300;
/** Shortest timeout: a tenth of the shortest usual latency objective, so that callers do not notice a slow arbiter. */
const minTimeoutMs = 60;
/** Longest timeout. It is this long because over slow links no reply would arrive within a shorter time. */
const maxTimeoutMs = 1_000;
/** The timeout is this many times the duration of the last call, and `timeoutMarginMs` more. */
const timeoutFactor = 4;
const timeoutMarginMs = 40;
/** Time for which an arbiter that did not reply is skipped; pauses of a process last about as long. */
const initialBackoffMs = 1_000;
/** Longest such time, for an arbiter that is repeatedly slower than the next one; slow machines stay slow for some seconds. */
const maxBackoffMs = 8_000;
/**
 * Time to wait for a link to an arbiter: an instance that has just started has some within 0.2 s. A caller that is refused
 * instead would retry later than that.
 */
const linkTimeoutMs = 250;
const linkPollMs = 10;
/** Arbiters called for one request. */
const maxAttempts = 2;

/** Timeout and backoff of one arbiter, from its previous replies. */
interface ArbiterState {
  timeoutMs: number;
  /** Time for which it is skipped when it does not reply. */
  backoffMs: number;
  skippedUntil: number;
  /** Whether it has never replied, and was not silent together with the others either, as over slow links. */
  isUntried: boolean;
}

/** Chooses arbiters and calls them. */
export class Arbiters {
  private readonly states = new Map<string, ArbiterState>();

  private constructor(private readonly options: ArbitersOptions) {}

  static create(options: ArbitersOptions): Arbiters {
    return new Arbiters(options);
  }

  /** Whether this instance is the arbiter of a subject. */
  isOwnSubject(subject: string): boolean {
    return this.find(subject) === this.options.ownName;
  }

  /**
   * Calls the subject's arbiter, and the next one if it does not reply. Fails with `PeerUnreachable` if none decides within
   * `waitMs`; the arbiters may then still have counted what was requested.
   */
  async call<Reply>(arbiterCall: ArbiterCall<Reply>, waitMs: number): Promise<Result<Reply, Failure>> {
    const { clock, ownName } = this.options;
    const { subject, isUndecided } = arbiterCall;
    const endsAt = clock.getTime() + waitMs;
    const withoutReply: ArbiterState[] = [];
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const arbiter = await this.waitForArbiter(arbiterCall, endsAt);
      const remainingMs = endsAt - clock.getTime();
      if (arbiter === undefined || arbiter === ownName || remainingMs <= 0) break;
      const isShared = arbiterCall.sharesWait === true && this.getState(arbiter).isUntried;
      const waitForOneMs = isShared ? remainingMs / (maxAttempts - attempt) : remainingMs;
      const reply = await this.callOne(arbiter, arbiterCall, waitForOneMs);
      if (reply !== undefined && !isUndecided(reply)) {
        for (const state of withoutReply) state.backoffMs = Math.min(maxBackoffMs, state.backoffMs * 2);
        return Ok(reply);
      }
      if (reply === undefined) withoutReply.push(this.getState(arbiter));
      this.skip(arbiter, subject, reply !== undefined);
    }
    // If all arbiters are slow, the links are slow, and only a longer timeout brings a reply.
    for (const state of withoutReply) {
      state.timeoutMs = Math.min(maxTimeoutMs, state.timeoutMs * 2);
      state.isUntried = false;
    }
    return Err(Failure.create(FailureCode.PeerUnreachable, { peer: subject }));
  }

  /** Resolves with the arbiter once it can be called, or with undefined if there is none within the time for links. */
  private async waitForArbiter(
    { subject, supportsCall }: Pick<ArbiterCall<unknown>, "subject" | "supportsCall">,
    latestAt: number,
  ): Promise<string | undefined> {
    const { clock } = this.options;
    const endsAt = Math.min(latestAt, clock.getTime() + linkTimeoutMs);
    let arbiter = this.find(subject, supportsCall);
    while (arbiter === undefined && clock.getTime() < endsAt) {
      await waitFor(clock, linkPollMs);
      arbiter = this.find(subject, supportsCall);
    }
    return arbiter;
  }

  /** Returns the first reader that can decide, which may be this instance; undefined if none can be reached. */
  find(subject: string, supportsCall: (name: string) => boolean = () => true): string | undefined {
    const { clock, ownName, getReaders, isLinked } = this.options;
    const time = clock.getTime();
    const readers = getReaders();
    if (readers.length === 0) return ownName;
    const canDecide = (name: string): boolean =>
      name === ownName || (isLinked(name) && supportsCall(name) && this.getState(name).skippedUntil <= time);
    return sortReaders(subject, readers).find(canDecide);
  }

  /**
   * Counts the readers that precede this instance for a subject and may also be deciding on it, including readers that only other
   * instances can reach; 0 if this instance is the first choice of all.
   */
  countPrecedingReaders(subject: string, supportsCall: (name: string) => boolean): number {
    const { ownName, getReaders, isLinked } = this.options;
    const mayBeDeciding = (name: string): boolean =>
      name === ownName || supportsCall(name) || !isLinked(name);
    const ranked = sortReaders(subject, getReaders().filter(mayBeDeciding));
    const position = ranked.indexOf(ownName);
    return position < 0 ? ranked.length : position;
  }

  /** Whether callers prefer one reader to another for a subject; one that is no reader now is never preferred. */
  precedes(subject: string, one: string, other: string): boolean {
    const ranked = sortReaders(subject, this.options.getReaders());
    const place = ranked.indexOf(one);
    const otherPlace = ranked.indexOf(other);
    return place >= 0 && (otherPlace < 0 || place < otherPlace);
  }

  /** Calls an arbiter again that was skipped, because it has shown that it decides. */
  endSkip(name: string): void {
    this.getState(name).skippedUntil = -Infinity;
  }

  private async callOne<Reply>(
    arbiter: string,
    { message }: ArbiterCall<Reply>,
    remainingMs: number,
  ): Promise<Reply | undefined> {
    const { clock, call } = this.options;
    const state = this.getState(arbiter);
    const calledAt = clock.getTime();
    const reply = await call(arbiter, message, Math.min(state.timeoutMs, remainingMs));
    if (reply.isErr()) return undefined;
    const tookMs = clock.getTime() - calledAt;
    state.isUntried = false;
    state.backoffMs = initialBackoffMs;
    state.timeoutMs = clampTimeout(tookMs * timeoutFactor + timeoutMarginMs);
    return reply.value as Reply;
  }

  private skip(arbiter: string, subject: string, hasReplied: boolean): void {
    const { clock, logger } = this.options;
    const state = this.getState(arbiter);
    state.skippedUntil = clock.getTime() + state.backoffMs;
    const { timeoutMs } = state;
    logger.warn("arbiter.passed-over", { arbiter, subject, answered: hasReplied, patienceMs: timeoutMs });
  }

  private getState(arbiter: string): ArbiterState {
    let state = this.states.get(arbiter);
    if (!state) {
      state = {
        timeoutMs: initialTimeoutMs,
        backoffMs: initialBackoffMs,
        skippedUntil: -Infinity,
        isUntried: true,
      };
      this.states.set(arbiter, state);
    }
    return state;
  }
}

function clampTimeout(timeoutMs: number): number {
  return Math.min(maxTimeoutMs, Math.max(minTimeoutMs, timeoutMs));
}

function sortReaders(subject: string, readers: readonly string[]): readonly string[] {
  return sortByRendezvous(subject, readers, (name) => name);
}
