/**
 * How a word reaches every instance at once, without the store: told to all, in a large fleet to the readers, which hand it on.
 * @module
 */
import type { PeerLinks, PeerMessage } from "@gladewall/coordination";

/** The fleet, as far as words need it. */
export interface FleetTopology {
  readonly links: PeerLinks;
  /** Whether this instance hears the whole fleet. */
  readonly isCollector: boolean;
  /** Whether every instance is linked with every other. */
  readonly isMesh: boolean;
  /** Names of the readers that are linked. */
  getLinkedReaders(): readonly string[];
}

/** Tells words. */
export class FleetBroadcast {
  private constructor(private readonly fleet: FleetTopology) {}

  static create(fleet: FleetTopology): FleetBroadcast {
    return new FleetBroadcast(fleet);
  }

  /** Tells all peers, or in a large fleet the readers. */
  broadcast(message: PeerMessage): void {
    const { isCollector, links } = this.fleet;
    if (isCollector) links.broadcast(message);
    else for (const name of this.fleet.getLinkedReaders()) links.send(name, message);
  }

  /** Hands on what was new here; where all are linked, all were told. */
  relay(message: PeerMessage, sender: string): void {
    const { isCollector, isMesh, links } = this.fleet;
    if (isCollector && !isMesh) links.broadcast(message, sender);
  }
}
