/**
 * Broadcasts a message to every instance immediately, without the store: directly to all peers, or in a large
 * fleet to the readers, which relay it.
 * @module
 */
import type { PeerLinks, PeerMessage } from "@gladewall/coordination";

/** The links and roles that a broadcast needs. */
export interface FleetTopology {
  readonly links: PeerLinks;
  /** Whether this instance is a collector, which receives the reports of all instances. */
  readonly isCollector: boolean;
  /** Whether every instance is linked with every other. */
  readonly isMesh: boolean;
  /** Names of the readers that are linked. */
  getLinkedReaders(): readonly string[];
}

/** Sends and relays broadcasts. */
export class FleetBroadcast {
  private constructor(private readonly fleet: FleetTopology) {}

  static create(fleet: FleetTopology): FleetBroadcast {
    return new FleetBroadcast(fleet);
  }

  /** Sends to all peers, or to the readers if this instance of a large fleet is not one itself. */
  broadcast(message: PeerMessage): void {
    const { isCollector, links } = this.fleet;
    if (isCollector) links.broadcast(message);
    else for (const name of this.fleet.getLinkedReaders()) links.send(name, message);
  }

  /**
   * Relays a message that was new to this instance to all peers except its sender. In a full mesh nothing is
   * relayed, because the sender has reached all instances.
   */
  relay(message: PeerMessage, sender: string): void {
    const { isCollector, isMesh, links } = this.fleet;
    if (isCollector && !isMesh) links.broadcast(message, sender);
  }
}
