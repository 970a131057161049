/**
 * An entry's membership in the fleet: the view of all live instances, the links to peer entries, and the configuration
 * in force.
 * @module
 */
import {
  CallKind,
  DocumentFollower,
  type InstanceRecord,
  InstanceRole,
  InstanceState,
  type InstanceStatus,
  type InstanceUpdate,
  MembershipView,
  PeerLinks,
  PriceClass,
  type ServiceBudget,
  UpdateSource,
} from "@gladewall/coordination";
import { type Clock, type Closeable, Failure, FailureCode, type Logger } from "@gladewall/kernel";
import { type Configuration, PolicyTable } from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import { configurationCodec, configurationKey } from "./configurationCodec.js";
import type { EntrySettings } from "./entrySettings.js";
import { createPingFields, Gossip } from "./gossip.js";
import { type PlatformClients, PlatformFollower } from "./platform.js";

/** Dependencies of a membership. */
export interface MembershipParts {
  /** Returns the settings in force; some of them can be reloaded. */
  readonly getSettings: () => EntrySettings;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly clients: PlatformClients;
  readonly budget: ServiceBudget;
}

/** Called with the changed status of an entry. */
export type EntryListener = (instance: InstanceStatus) => void;

const notReadyRetryAfterMs = 1_000;

/** Membership view, peer links and configuration of an entry. */
export class Membership implements Closeable {
  readonly view: MembershipView;
  readonly links: PeerLinks;
  readonly follower: DocumentFollower<Configuration>;
  private readonly platform: PlatformFollower;
  private table: PolicyTable | undefined;

  private constructor(private readonly parts: MembershipParts) {
    const { clock, logger, clients } = parts;
    const getListInterval = (): number => parts.getSettings().platform.list_interval;
    this.view = MembershipView.create(clock);
    this.follower = this.createFollower();
    this.follower.onChange(({ document }) => (this.table = PolicyTable.create(document)));
    this.platform = PlatformFollower.create(clients, this.view, clock, logger, getListInterval);
    this.links = this.createLinks();
    Gossip.create(this.own, this.links, this.view, this.follower, clock);
    this.view.onChange((instance) => this.handleInstance(instance));
  }

  static create(parts: MembershipParts): Membership {
    return new Membership(parts);
  }

  /**
   * Opens the port for peers and starts to follow the instance list, the notices and the configuration. Returns the
   * port's `host:port`.
   */
  async open(): Promise<string> {
    const { peers } = this.parts.getSettings();
    const address = await this.links.open();
    this.view.merge(this.createOwnUpdate(peers.advertise || address));
    this.links.setPeers(peers.seeds.map((seed) => ({ name: seed, incarnation: 0, address: seed })));
    this.follower.start();
    await this.platform.readList();
    this.platform.start();
    return address;
  }

  /** Registers a listener for status changes of other entries. */
  onPeerChange(listener: EntryListener): void {
    this.view.onChange((instance) => {
      if (isEntry(instance) && instance.record.id !== this.own) listener(instance);
    });
  }

  /** Registers a listener for the reclaim notice of this instance; it receives the milliseconds left. */
  onOwnNotice(listener: (remainingMs: number) => void): void {
    this.view.onChange(({ record, state, reclaimAt }) => {
      const isNotice = record.id === this.own && state === InstanceState.Leaving && reclaimAt !== undefined;
      if (isNotice) listener(reclaimAt - this.parts.clock.getTime());
    });
  }

  /** Announces to peers that this entry is leaving, because the instance list may show that only much later. */
  announceLeaving(): void {
    const own = this.view.get(this.own);
    if (own) this.view.merge({ ...own.record, state: InstanceState.Leaving, source: UpdateSource.Own });
  }

  /** Returns the latest policy table, even if it may be outdated; fails with `NotReady` if there is none. */
  getLatestTable(): Result<PolicyTable, Failure> {
    return this.table ? Ok(this.table) : Err(Failure.create(FailureCode.NotReady, {}, notReadyRetryAfterMs));
  }

  /** Returns the policy table if it is known to be current; fails with `NotReady` otherwise. */
  getTable(): Result<PolicyTable, Failure> {
    const isCurrent = this.follower.isCurrent() || this.hasMajorityOfPeers();
    return isCurrent
      ? this.getLatestTable()
      : Err(Failure.create(FailureCode.NotReady, {}, notReadyRetryAfterMs));
  }

  async close(): Promise<void> {
    await Promise.all([this.links.close(), this.follower.close(), this.platform.close()]);
  }

  private get own(): string {
    return this.parts.getSettings().entry.name;
  }

  /**
   * Returns whether this entry is linked with more than half of the peers that it should be linked with. While the
   * key-value service is down, no entry can confirm the configuration there, and no new one can be saved either. An
   * entry with a majority of its peers continues, because any entry that may have a newer configuration is among them.
   */
  private hasMajorityOfPeers(): boolean {
    const expected = this.links.getExpectedCount();
    return expected > 0 && this.links.getLinked().length * 2 > expected;
  }

  private handleInstance(instance: InstanceStatus): void {
    if (!isEntry(instance) || instance.record.id === this.own) return;
    const entries = this.view.getAll().filter((each) => isEntry(each) && each.state !== InstanceState.Gone);
    const peers = entries.map(({ record: { id, incarnation, address } }) => ({
      name: id,
      incarnation,
      address,
    }));
    this.links.setPeers(peers);
  }

  /** Returns the update with which this entry adds itself to the view before the instance list shows it. */
  private createOwnUpdate(address: string): InstanceUpdate {
    const { name, hall, price_class: priceClass } = this.parts.getSettings().entry;
    const record: InstanceRecord = {
      id: name,
      incarnation: this.parts.incarnation,
      role: InstanceRole.Entry,
      service: "",
      protocol: "",
      address,
      hall,
      priceClass: priceClass === "on-demand" ? PriceClass.OnDemand : PriceClass.Reclaimable,
      price: 0,
      state: InstanceState.Live,
    };
    return { ...record, source: UpdateSource.Own, record };
  }

  private createLinks(): PeerLinks {
    const { clock, logger, incarnation } = this.parts;
    const { peers, entry } = this.parts.getSettings();
    return PeerLinks.create({
      own: { name: entry.name, incarnation },
      secret: peers.secret,
      clock,
      logger,
      listen: peers.listen,
      handshakeTimeoutMs: peers.lost_after,
      maxOutboxBytes: peers.outbox_bytes,
      pingIntervalMs: peers.ping_interval,
      lossTimeoutMs: peers.lost_after,
      maxPersistentLinks: peers.links,
      getRandom: Math.random,
      getPingFields: () => ({ ...createPingFields(this.follower) }),
      onFailure: (error, peer) => logger.error("peer.message-failed", { peer, cause: String(error) }),
    });
  }

  private createFollower(): DocumentFollower<Configuration> {
    const { budget, clients, clock, logger } = this.parts;
    const { platform, configuration } = this.parts.getSettings();
    return DocumentFollower.create({
      service: budget.wrap(clients.keyValue, CallKind.Configuration),
      key: `${platform.prefix}${configurationKey}`,
      codec: configurationCodec,
      clock,
      logger,
      watchWaitMs: configuration.watch_wait,
      maxAgeMs: configuration.current_within,
      getRandom: Math.random,
    });
  }
}

function isEntry(instance: InstanceStatus): boolean {
  return instance.record.role === InstanceRole.Entry;
}
