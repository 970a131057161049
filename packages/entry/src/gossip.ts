/**
 * What entries tell each other unasked: the version of the configuration, and words about instances. Whoever hears of
 * something new passes it on once, so it reaches everyone over a bounded number of links.
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
/** Age that a peer gives which has never heard from anybody. */
const unknownAgeMs = 1e12;

/** Passes configuration and words on. */
export class Gossip {
  /** Peers that are being asked for their configuration. */
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

  /** Returns the fields of this entry's pings. */
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

  /** The list is everyone's own to read; any other word that changed this view may be news to the others. */
  private forwardUpdate(instance: InstanceStatus): void {
    if (instance.source !== UpdateSource.List) this.links.broadcast(this.createUpdateMessage(instance));
  }

  /** Tells a peer that has just been linked of this entry itself, which its list may not show yet, and who is leaving. */
  private sendInstanceUpdates(peer: PeerIdentity): void {
    for (const instance of this.view.getAll()) {
      const isForwarded = instance.state === InstanceState.Leaving || instance.record.id === this.own;
      if (isForwarded) this.links.send(peer.name, this.createUpdateMessage(instance));
    }
  }

  private createUpdateMessage({
    record,
    state,
    reclaimAt: reclaimAt,
  }: InstanceStatus): InstanceUpdateMessage {
    const remaining = reclaimAt === undefined ? undefined : Math.max(0, reclaimAt - this.clock.getTime());
    const { id, incarnation } = record;
    return {
      kind: PeerKind.InstanceUpdate,
      word: { id, incarnation, state, source: UpdateSource.Peer, remaining, record },
    };
  }
}

/** Returns what a ping says of the configuration. */
export function createPingFields(follower: DocumentFollower<Configuration>): PingFields {
  return { version: follower.version, age: Math.round(follower.getAgeMs() ?? unknownAgeMs) };
}
