/**
 * Gossip between entries: each sends the version of its configuration with its pings, and updates of the membership. An
 * entry forwards an update once, when it changes its own view, so that the update reaches all entries although each has
 * a bounded number of links.
 * @module
 */
import {
  type DocumentFollower,
  type InstanceStatus,
  InstanceState,
  LinkMessageKind,
  type MembershipView,
  type PeerIdentity,
  type PeerLinks,
  type PeerMessage,
  UpdateSource,
} from "@gladewall/coordination";
import type { Clock } from "@gladewall/kernel";
import type { Configuration } from "@gladewall/policy";
import {
  type ConfigurationReply,
  PeerKind,
  type PingFields,
  type InstanceUpdateMessage,
} from "./peerKinds.js";

const configurationTimeoutMs = 2_000;
/** Age in milliseconds that is sent if the configuration has never been confirmed to be current. */
const unknownAgeMs = 1e12;

/** Exchanges configuration versions and membership updates with peers. */
export class Gossip {
  /** Names of the peers from which the configuration was requested and that have not replied yet. */
  private readonly pendingPeers = new Set<string>();

  private constructor(
    private readonly own: string,
    private readonly links: PeerLinks,
    private readonly view: MembershipView,
    private readonly follower: DocumentFollower<Configuration>,
    private readonly clock: Clock,
  ) {
    links.setHandler(LinkMessageKind.Ping, (message, peer) => this.handlePing(message, peer));
    links.setHandler(PeerKind.AskConfiguration, () => this.createConfigurationReply());
    links.setHandler(PeerKind.InstanceUpdate, (message) =>
      this.handleInstanceUpdate(message as InstanceUpdateMessage),
    );
    links.onLinkUp((peer) => this.sendInstanceUpdates(peer));
    follower.onChange(() => links.broadcast({ kind: LinkMessageKind.Ping, ...this.createPing() }));
    view.onChange((instance) => this.forwardUpdate(instance));
  }

  static create(
    own: string,
    links: PeerLinks,
    view: MembershipView,
    follower: DocumentFollower<Configuration>,
    clock: Clock,
  ): Gossip {
    return new Gossip(own, links, view, follower, clock);
  }

  /** Returns the fields that this entry adds to its pings. */
  createPing(): PingFields {
    return createPingFields(this.follower);
  }

  private handlePing(message: PeerMessage, peer: PeerIdentity): void {
    const { version, age } = message as PeerMessage & PingFields;
    this.follower.confirmVersion(version, age);
    if (version > this.follower.version) void this.askConfiguration(peer);
  }

  private async askConfiguration(peer: PeerIdentity): Promise<void> {
    if (this.pendingPeers.has(peer.name)) return;
    this.pendingPeers.add(peer.name);
    const answer = await this.links.call(
      peer.name,
      { kind: PeerKind.AskConfiguration },
      configurationTimeoutMs,
    );
    this.pendingPeers.delete(peer.name);
    if (answer.isErr()) return;
    const { bytes, age } = answer.value as ConfigurationReply;
    if (bytes) this.follower.offer(bytes, age);
  }

  private createConfigurationReply(): ConfigurationReply {
    return { bytes: this.follower.get()?.bytes, age: this.follower.getAgeMs() ?? unknownAgeMs };
  }

  private handleInstanceUpdate(message: InstanceUpdateMessage): void {
    this.view.merge({ ...message.word, source: UpdateSource.Peer });
  }

  /** Forwards a change of the view unless it came from the instance list, which every entry reads itself. */
  private forwardUpdate(instance: InstanceStatus): void {
    if (instance.source !== UpdateSource.List) this.links.broadcast(this.createUpdateMessage(instance));
  }

  /**
   * Sends a newly linked peer the updates that its instance list may not show yet: this entry itself and all leaving
   * instances.
   */
  private sendInstanceUpdates(peer: PeerIdentity): void {
    for (const instance of this.view.getAll()) {
      const isForwarded = instance.state === InstanceState.Leaving || instance.record.id === this.own;
      if (isForwarded) this.links.send(peer.name, this.createUpdateMessage(instance));
    }
  }

  private createUpdateMessage({ record, state, reclaimAt }: InstanceStatus): InstanceUpdateMessage {
    const remaining = reclaimAt === undefined ? undefined : Math.max(0, reclaimAt - this.clock.getTime());
    const { id, incarnation } = record;
    return {
      kind: PeerKind.InstanceUpdate,
      word: { id, incarnation, state, source: UpdateSource.Peer, remaining, record },
    };
  }
}

/** Returns the ping fields: the configuration's version and the milliseconds since it was known to be current. */
export function createPingFields(follower: DocumentFollower<Configuration>): PingFields {
  return { version: follower.version, age: Math.round(follower.getAgeMs() ?? unknownAgeMs) };
}
