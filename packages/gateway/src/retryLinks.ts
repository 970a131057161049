/**
 * How one instance asks another whether a request may be repeated. Builds that do not know the message are not asked.
 * @module
 */
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import type { ArbiterQuestion } from "./arbiters.js";
import type { WordFleet } from "./fleetWords.js";
import { QuotaWord } from "./memberMessages.js";

/** Number of the message; after those of limits that endpoints name. */
export const retryAskKind = 47;

/** What an instance has taken of a service's repeats. */
export interface RetryAsk {
  readonly service: string;
  /** Repeats that this life of the sender has taken, with the one it asks for. */
  readonly total: number;
  /** Milliseconds that this life has lasted. */
  readonly uptime: number;
}

/** Answer to a question. */
export interface RetryAnswer {
  readonly word: QuotaWord;
}

type AskMessage = PeerMessage & RetryAsk;

/** Answers questions about repeats. */
export class RetryLinks {
  private constructor(
    private readonly fleet: WordFleet,
    private readonly decide: (peer: PeerIdentity, ask: RetryAsk) => RetryAnswer,
  ) {
    fleet.links.setHandler(retryAskKind, (message, peer) => this.answer(message as AskMessage, peer));
  }

  static create(fleet: WordFleet, decide: (peer: PeerIdentity, ask: RetryAsk) => RetryAnswer): RetryLinks {
    return new RetryLinks(fleet, decide);
  }

  /** One that does not hear the whole fleet knows too little to decide. */
  private answer({ service, total, uptime }: AskMessage, peer: PeerIdentity): RetryAnswer {
    const isGood = typeof service === "string" && Number.isFinite(total) && Number.isFinite(uptime);
    if (!this.fleet.isCollector || !isGood) return { word: QuotaWord.Unknown };
    return this.decide(peer, { service, total, uptime });
  }
}

/** Puts a question so that the arbiter of the service's repeats can be asked. */
export function createRetryQuestion(
  ask: RetryAsk,
  isAble: ((name: string) => boolean) | undefined,
): ArbiterQuestion<RetryAnswer> {
  return {
    subject: ask.service,
    message: { kind: retryAskKind, ...ask },
    isUnclear: ({ word }) => word === QuotaWord.Unknown,
    ...(isAble && { isAble }),
  };
}
