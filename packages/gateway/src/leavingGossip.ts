/**
 * Tells peers which endpoints have said in answers that they leave. While the store is away nobody else knows; peers need not
 * know, but what they send there is cut when the endpoint ends.
 * @module
 */
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import type { EndpointDirectory } from "./endpointDirectory.js";
import { FleetBroadcast, type FleetTopology } from "./fleetBroadcast.js";

/** Number of the message; after those of endpoints that ended. */
const leavingKind = 44;

interface LeavingMessage extends PeerMessage {
  readonly kind: typeof leavingKind;
  readonly lives: readonly string[];
}

/** Lives in one message: 40 bytes each, a tenth of a link's outbox at most; of more, the latest are told. */
const mostTold = 400;

/** Tells and takes. */
export class LeavingGossip {
  private readonly words: FleetBroadcast;

  private constructor(
    private readonly fleet: FleetTopology,
    private readonly directory: EndpointDirectory,
  ) {
    this.words = FleetBroadcast.create(fleet);
    fleet.links.setHandler(leavingKind, (message, peer) => this.take(message, peer));
    fleet.links.onLinkUp(({ name }) => this.sendToNewPeer(name));
    directory.onLeavingAnnounced((life) => this.words.broadcast(createMessage([life])));
  }

  static create(fleet: FleetTopology, directory: EndpointDirectory): LeavingGossip {
    return new LeavingGossip(fleet, directory);
  }

  private take(message: PeerMessage, { name }: PeerIdentity): void {
    const { lives } = message as Partial<LeavingMessage>;
    if (!Array.isArray(lives)) return;
    const named = lives.slice(0, mostTold).filter((life) => typeof life === "string");
    const fresh = named.filter((life) => this.directory.handlePeerLeaving(life, name));
    if (fresh.length > 0) this.words.relay(createMessage(fresh), name);
  }

  private sendToNewPeer(name: string): void {
    const lives = this.directory.availabilities.getLeaving(mostTold);
    if (lives.length > 0) this.fleet.links.send(name, createMessage(lives));
  }
}

function createMessage(lives: readonly string[]): LeavingMessage {
  return { kind: leavingKind, lives };
}
