/**
 * How one instance asks another whether a request may be repeated. Builds that do not know the message are not asked.
 * @module
 */
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import type { ArbiterCall } from "./arbiters.js";
import type { FleetTopology } from "./fleetBroadcast.js";
import { GrantDecision } from "./memberMessages.js";

/** Number of the message; after those of limits that endpoints name. */
export const retryCallKind = 47;

/** What an instance has taken of a service's repeats. */
export interface RetryCallArguments {
  readonly service: string;
  /** Repeats that this life of the sender has taken, with the one it asks for. */
  readonly total: number;
  /** Milliseconds that this life has lasted. */
  readonly uptime: number;
}

/** Answer to a question. */
export interface RetryReply {
  readonly word: GrantDecision;
}

type RetryCall = PeerMessage & RetryCallArguments;

/** Answers questions about repeats. */
export class RetryLinks {
  private constructor(
    private readonly fleet: FleetTopology,
    private readonly decide: (peer: PeerIdentity, ask: RetryCallArguments) => RetryReply,
  ) {
    fleet.links.setHandler(retryCallKind, (message, peer) => this.answer(message as RetryCall, peer));
  }

  static create(
    fleet: FleetTopology,
    decide: (peer: PeerIdentity, ask: RetryCallArguments) => RetryReply,
  ): RetryLinks {
    return new RetryLinks(fleet, decide);
  }

  /** One that does not hear the whole fleet knows too little to decide. */
  private answer({ service, total, uptime }: RetryCall, peer: PeerIdentity): RetryReply {
    const isGood = typeof service === "string" && Number.isFinite(total) && Number.isFinite(uptime);
    if (!this.fleet.isCollector || !isGood) return { word: GrantDecision.Unknown };
    return this.decide(peer, { service, total, uptime });
  }
}

/** Puts a question so that the arbiter of the service's repeats can be asked. */
export function createRetryCall(
  ask: RetryCallArguments,
  isAble: ((name: string) => boolean) | undefined,
): ArbiterCall<RetryReply> {
  return {
    subject: ask.service,
    message: { kind: retryCallKind, ...ask },
    isUndecided: ({ word }) => word === GrantDecision.Unknown,
    ...(isAble && { supportsCall: isAble }),
  };
}
