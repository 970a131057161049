/**
 * What instances tell each other of limits that endpoints have named, and how permits are asked for. Builds that do not know
 * these messages pass over them: only who has told of limits is asked.
 * @module
 */
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import type { EndpointDirectory } from "./endpointDirectory.js";
import type { EndpointLimits } from "./endpointLimits.js";
import { FleetBroadcast, type FleetTopology } from "./fleetBroadcast.js";
import {
  isPermitCall,
  isPeerLimit,
  LimitMessageKind,
  type LimitsMessage,
  type PermitReply,
  type PermitCall,
  PermitDecision,
  type PeerLimit,
} from "./limitMessages.js";

/** Limits in one message: 60 bytes each, a tenth of a link's outbox at most; of more, the latest are told. */
const mostTold = 400;

/** Options of the links. */
export interface LimitGossipOptions {
  readonly fleet: FleetTopology;
  readonly directory: EndpointDirectory;
  readonly limits: EndpointLimits;
  /** Decides as the issuer. */
  readonly decide: (ask: PermitCall, asker: string) => PermitReply;
}

/** Tells and answers. */
export class LimitGossip {
  private readonly words: FleetBroadcast;
  /** Lives of peers that give permits out. */
  private readonly able = new Map<string, number>();

  private constructor(private readonly options: LimitGossipOptions) {
    const { fleet, limits } = options;
    this.words = FleetBroadcast.create(fleet);
    fleet.links.setHandler(LimitMessageKind.Limits, (message, peer) => this.take(message, peer));
    fleet.links.setHandler(LimitMessageKind.PermitCall, (message, peer) =>
      this.answer(message as PermitCall, peer),
    );
    fleet.links.onLinkUp((peer) => this.sendToNewPeer(peer));
    limits.onLimitChange((life) => this.words.broadcast(createMessage([limits.get(life)])));
  }

  static create(options: LimitGossipOptions): LimitGossip {
    return new LimitGossip(options);
  }

  /** Whether a peer gives permits out. */
  isAble(name: string): boolean {
    return this.able.has(name);
  }

  private take(message: PeerMessage, { name, incarnation }: PeerIdentity): void {
    this.able.set(name, incarnation);
    const { limits } = message as Partial<LimitsMessage>;
    if (!Array.isArray(limits)) return;
    const told = (limits as unknown[]).slice(0, mostTold).filter(isPeerLimit);
    const fresh = told.filter((limit) => this.options.limits.mergePeer(limit, name));
    if (fresh.length > 0) this.words.relay(createMessage(fresh), name);
  }

  /** One that does not hear the whole fleet is no issuer of it. */
  private answer(ask: PermitCall, { name }: PeerIdentity): PermitReply {
    const isGood = this.options.fleet.isCollector && isPeerLimit(ask) && isPermitCall(ask);
    return isGood ? this.options.decide(ask, name) : { word: PermitDecision.Unknown, permits: 0, waitMs: 0 };
  }

  /** Told also where there is nothing to tell: the peer then knows that permits are given out here. */
  private sendToNewPeer({ name, incarnation }: PeerIdentity): void {
    if (this.able.get(name) !== incarnation) this.able.delete(name);
    const { limits, directory, fleet } = this.options;
    const told = directory.availabilities.getLimited(mostTold).map((life) => limits.get(life));
    fleet.links.send(name, createMessage(told));
  }
}

function createMessage(limits: readonly PeerLimit[]): LimitsMessage {
  return { kind: LimitMessageKind.Limits, limits };
}
