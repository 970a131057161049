/**
 * What instances tell each other of limits that endpoints have named, and how permits are asked for. Builds that do not know
 * these messages pass over them: only who has told of limits is asked.
 * @module
 */
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import type { EndpointDirectory } from "./endpointDirectory.js";
import type { EndpointLimits } from "./endpointLimits.js";
import { FleetWords, type WordFleet } from "./fleetWords.js";
import {
  isPermitAsk,
  isToldLimit,
  LimitMessageKind,
  type LimitWords,
  type PermitAnswer,
  type PermitAsk,
  PermitWord,
  type ToldLimit,
} from "./limitMessages.js";

/** Limits in one message: 60 bytes each, a tenth of a link's outbox at most; of more, the latest are told. */
const mostTold = 400;

/** Options of the links. */
export interface LimitLinksOptions {
  readonly fleet: WordFleet;
  readonly directory: EndpointDirectory;
  readonly limits: EndpointLimits;
  /** Decides as the issuer. */
  readonly decide: (ask: PermitAsk, asker: string) => PermitAnswer;
}

/** Tells and answers. */
export class LimitLinks {
  private readonly words: FleetWords;
  /** Lives of peers that give permits out. */
  private readonly able = new Map<string, number>();

  private constructor(private readonly options: LimitLinksOptions) {
    const { fleet, limits } = options;
    this.words = FleetWords.create(fleet);
    fleet.links.setHandler(LimitMessageKind.Words, (message, peer) => this.take(message, peer));
    fleet.links.setHandler(LimitMessageKind.Ask, (message, peer) => this.answer(message as PermitAsk, peer));
    fleet.links.onUp((peer) => this.tellNewcomer(peer));
    limits.onHeard((life) => this.words.tell(createMessage([limits.get(life)])));
  }

  static create(options: LimitLinksOptions): LimitLinks {
    return new LimitLinks(options);
  }

  /** Whether a peer gives permits out. */
  isAble(name: string): boolean {
    return this.able.has(name);
  }

  private take(message: PeerMessage, { name, incarnation }: PeerIdentity): void {
    this.able.set(name, incarnation);
    const { limits } = message as Partial<LimitWords>;
    if (!Array.isArray(limits)) return;
    const told = (limits as unknown[]).slice(0, mostTold).filter(isToldLimit);
    const fresh = told.filter((limit) => this.options.limits.takePeer(limit, name));
    if (fresh.length > 0) this.words.relay(createMessage(fresh), name);
  }

  /** One that does not hear the whole fleet is no issuer of it. */
  private answer(ask: PermitAsk, { name }: PeerIdentity): PermitAnswer {
    const isGood = this.options.fleet.isCollector && isToldLimit(ask) && isPermitAsk(ask);
    return isGood ? this.options.decide(ask, name) : { word: PermitWord.Unknown, permits: 0, waitMs: 0 };
  }

  /** Told also where there is nothing to tell: the peer then knows that permits are given out here. */
  private tellNewcomer({ name, incarnation }: PeerIdentity): void {
    if (this.able.get(name) !== incarnation) this.able.delete(name);
    const { limits, directory, fleet } = this.options;
    const told = directory.words.getLimited(mostTold).map((life) => limits.get(life));
    fleet.links.send(name, createMessage(told));
  }
}

function createMessage(limits: readonly ToldLimit[]): LimitWords {
  return { kind: LimitMessageKind.Words, limits };
}
