/**
 * Exchanges advertised limits among instances and replies to permit calls. Earlier builds ignore these messages, so permits are
 * requested only from instances that have sent limits themselves.
 * @module
 */
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import type { EndpointDirectory } from "../endpoints/endpointDirectory.js";
import type { EndpointLimits } from "./endpointLimits.js";
import { FleetBroadcast, type FleetTopology } from "../fleet/fleetBroadcast.js";
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

/** Limits in one message: 60 bytes each, at most a tenth of a link's outbox; of more, only the latest are sent. */
const maxReported = 400;

/** Options of the exchange. */
export interface LimitGossipOptions {
  readonly fleet: FleetTopology;
  readonly directory: EndpointDirectory;
  readonly limits: EndpointLimits;
  /** Decides on a permit call as the issuer. */
  readonly decide: (request: PermitCall, requester: string) => PermitReply;
}

/** Sends and receives limits, and replies to permit calls. */
export class LimitGossip {
  private readonly broadcaster: FleetBroadcast;
  /** Incarnations of peers that can issue permits, by name. */
  private readonly issuerIncarnations = new Map<string, number>();

  private constructor(private readonly options: LimitGossipOptions) {
    const { fleet, limits } = options;
    this.broadcaster = FleetBroadcast.create(fleet);
    fleet.links.setHandler(LimitMessageKind.Limits, (message, peer) => this.handleLimits(message, peer));
    fleet.links.setHandler(LimitMessageKind.PermitCall, (message, peer) =>
      this.handlePermitCall(message as PermitCall, peer),
    );
    fleet.links.onLinkUp((peer) => this.sendToNewPeer(peer));
    limits.onLimitChange((incarnation) =>
      this.broadcaster.broadcast(createMessage([limits.get(incarnation)])),
    );
  }

  static create(options: LimitGossipOptions): LimitGossip {
    return new LimitGossip(options);
  }

  /** Whether a peer can issue permits. */
  canIssuePermits(name: string): boolean {
    return this.issuerIncarnations.has(name);
  }

  private handleLimits(message: PeerMessage, { name, incarnation }: PeerIdentity): void {
    this.issuerIncarnations.set(name, incarnation);
    const { limits } = message as Partial<LimitsMessage>;
    if (!Array.isArray(limits)) return;
    const reports = (limits as unknown[]).slice(0, maxReported).filter(isPeerLimit);
    const news = reports.filter((limit) => this.options.limits.mergePeer(limit, name));
    if (news.length > 0) this.broadcaster.relay(createMessage(news), name);
  }

  /** Only an instance that receives the reports of the whole fleet may issue permits. */
  private handlePermitCall(request: PermitCall, { name }: PeerIdentity): PermitReply {
    const isValid = this.options.fleet.isCollector && isPeerLimit(request) && isPermitCall(request);
    return isValid
      ? this.options.decide(request, name)
      : { word: PermitDecision.Unknown, permits: 0, waitMs: 0 };
  }

  /** Sends all known limits, or an empty list, because the message also announces that this instance issues permits. */
  private sendToNewPeer({ name, incarnation }: PeerIdentity): void {
    if (this.issuerIncarnations.get(name) !== incarnation) this.issuerIncarnations.delete(name);
    const { limits, directory, fleet } = this.options;
    const reports = directory.availabilities
      .getLimited(maxReported)
      .map((endpointIncarnation) => limits.get(endpointIncarnation));
    fleet.links.send(name, createMessage(reports));
  }
}

function createMessage(limits: readonly PeerLimit[]): LimitsMessage {
  return { kind: LimitMessageKind.Limits, limits };
}
