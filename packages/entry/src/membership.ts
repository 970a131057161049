/**
 * What an entry knows of others: the live view, the links to peers, and the configuration that is in force.
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

/** What membership works with. */
export interface MembershipParts {
  /** Returns the settings in force; some can be re-read. */
  readonly getSettings: () => EntrySettings;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly clients: PlatformClients;
  readonly budget: ServiceBudget;
}

/** Called with what the view says of an entry. */
export type EntryListener = (instance: InstanceStatus) => void;

const notReadyRetryAfterMs = 1_000;

/** An entry's membership. */
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

  /** Opens the peers' port and follows list, notices and configuration; returns the port's `host:port`. */
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

  /** Calls back when something about another entry changed. */
  onPeerChange(listener: EntryListener): void {
    this.view.onChange((instance) => {
      if (isEntry(instance) && instance.record.id !== this.own) listener(instance);
    });
  }

  /** Calls back when a notice says that this very instance will be taken, with the milliseconds left. */
  onOwnNotice(listener: (remainingMs: number) => void): void {
    this.view.onChange(({ record, state, reclaimAt: reclaimAt }) => {
      const isNotice = record.id === this.own && state === InstanceState.Leaving && reclaimAt !== undefined;
      if (isNotice) listener(reclaimAt - this.parts.clock.getTime());
    });
  }

  /** Tells everyone that this entry is leaving: peers hear it from here first, the list may be long in saying so. */
  announceLeaving(): void {
    const own = this.view.get(this.own);
    if (own) this.view.merge({ ...own.record, state: InstanceState.Leaving, source: UpdateSource.Own });
  }

  /** Returns the table in force, however old the word for it. */
  getLatestTable(): Result<PolicyTable, Failure> {
    return this.table ? Ok(this.table) : Err(Failure.create(FailureCode.NotReady, {}, notReadyRetryAfterMs));
  }

  /** Returns the table in force where it is known to be current; fails with `NotReady`. */
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
   * With the service down no entry hears from it, and no configuration can be saved either. An entry that is linked
   * with most of the peers it should be linked with goes on: whoever could know of a newer one is among them.
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

  /** This entry's word about itself, before any list has it. */
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
