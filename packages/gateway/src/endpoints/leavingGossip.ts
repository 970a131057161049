/**
 * Broadcasts which endpoints have announced in responses that they are leaving. While the store is unreachable no other instance
 * learns of it otherwise; a peer that does not know keeps sending requests there, which are interrupted when the endpoint stops.
 * @module
 */
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import type { EndpointDirectory } from "./endpointDirectory.js";
import { FleetBroadcast, type FleetTopology } from "../fleet/fleetBroadcast.js";

/** Number of the message; follows those of crashed endpoints. */
const leavingKind = 44;

interface LeavingMessage extends PeerMessage {
  readonly kind: typeof leavingKind;
  readonly lives: readonly string[];
}

/** Incarnations in one message: 40 bytes each, at most a tenth of a link's outbox; of more, only the latest are sent. */
const maxReported = 400;

/** Sends and receives the incarnations of leaving endpoints. */
export class LeavingGossip {
  private readonly broadcaster: FleetBroadcast;

  private constructor(
    private readonly fleet: FleetTopology,
    private readonly directory: EndpointDirectory,
  ) {
    this.broadcaster = FleetBroadcast.create(fleet);
    fleet.links.setHandler(leavingKind, (message, peer) => this.handleMessage(message, peer));
    fleet.links.onLinkUp(({ name }) => this.sendToNewPeer(name));
    directory.onLeavingAnnounced((incarnation) => this.broadcaster.broadcast(createMessage([incarnation])));
  }

  static create(fleet: FleetTopology, directory: EndpointDirectory): LeavingGossip {
    return new LeavingGossip(fleet, directory);
  }

  private handleMessage(message: PeerMessage, { name }: PeerIdentity): void {
    const { lives: incarnations } = message as Partial<LeavingMessage>;
    if (!Array.isArray(incarnations)) return;
    const valid = incarnations.slice(0, maxReported).filter((incarnation) => typeof incarnation === "string");
    const news = valid.filter((incarnation) => this.directory.handlePeerLeaving(incarnation, name));
    if (news.length > 0) this.broadcaster.relay(createMessage(news), name);
  }

  private sendToNewPeer(name: string): void {
    const incarnations = this.directory.availabilities.getLeaving(maxReported);
    if (incarnations.length > 0) this.fleet.links.send(name, createMessage(incarnations));
  }
}

function createMessage(incarnations: readonly string[]): LeavingMessage {
  return { kind: leavingKind, lives: incarnations };
}
