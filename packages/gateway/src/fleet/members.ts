/**
 * Exchanges reports between the instances of the fleet: counts, work at endpoints and the time of day.
 *
 * In a small fleet every instance reports to every other several times a second. In a large fleet each instance
 * reports only to the readers of the store, and one of them replies with a view of the whole fleet, so that the
 * messages which an instance sends and receives do not grow with the fleet. In a fleet of any size, a reader
 * sends the store's content.
 * @module
 */
import { LinkMessageKind, type PeerIdentity, type PeerLinks } from "@gladewall/coordination";
import { type Closeable, waitFor } from "@gladewall/kernel";
import { Arbiters, type ArbitersOptions } from "../limits/arbiters.js";
import type { ContainedFailures } from "../failures/containedFailures.js";
import type { PeerWork } from "../endpoints/endpoint.js";
import type { ConfigurationFollower } from "../configuration/configurationFollower.js";
import type { ForwardingPeer } from "../forwarding/forwardingPeers.js";
import type { FeedTimings } from "../store/feedTimings.js";
import { FleetWork } from "./fleetWork.js";
import { PeerClocks } from "./peerClocks.js";
import { type PeerUptime, PeerUptimes } from "./peerUptimes.js";
import type { PrefixFollower } from "../store/prefixFollower.js";
import { FleetRoles } from "./fleetRoles.js";
import {
  MemberMessageKind,
  type PingMessage,
  type PlacementMessage,
  type QuotaReply,
  type QuotaCall,
  type PlacementRelayMessage,
} from "./memberMessages.js";
import { GrantDecision } from "../limits/grantDecision.js";
import { createMemberLinks } from "./memberLinks.js";
import { MemberRecords, type MemberRecordsOptions, gatewayPrefix } from "./memberRecords.js";
import type { PrefixIndex } from "../placement/prefixIndex.js";
import type { PrefillRates } from "../prefillRates.js";
import { ReaderViews } from "./readerViews.js";
import { ReportExchange } from "./reportExchange.js";
import type { SharedCounters } from "../counters/sharedCounters.js";
import { FleetShare } from "./fleetShare.js";
import { FleetSizeItem } from "./fleetSizeItem.js";
import { SilentPeers } from "./silentPeers.js";
import { StoreFeed } from "../store/storeFeed.js";
import type { DisciplinedClock } from "../disciplinedClock.js";
import type { StoreItem } from "../types.js";
import type { UsageCounts } from "../usage/usageCounts.js";

/** Options of the members, including those of the instance's own record. */
export interface MembersOptions extends Omit<MemberRecordsOptions, "onChange" | "isLinked"> {
  readonly secret: string;
  /** Time between two reports in a small fleet and in a large one, in milliseconds. */
  readonly reportIntervalMs: number;
  readonly largeFleetIntervalMs: number;
  /** Largest fleet in which every instance reports to every other. */
  readonly largestMesh: number;
  /** Time after which no request with a removed key may run, in milliseconds. */
  readonly revokeWithinMs: number;
  readonly feedTimings: FeedTimings;
  readonly counters: SharedCounters;
  readonly rates: PrefillRates;
  readonly memory: PrefixIndex;
  readonly usage: UsageCounts;
  readonly failures: ContainedFailures;
  readonly time: DisciplinedClock;
  readonly configuration: ConfigurationFollower;
  /** Follower of the endpoints' records, and their prefix. */
  readonly endpoints: PrefixFollower;
  readonly endpointPrefix: string;
  /** Returns the number of the current usage window. */
  readonly getWindow: () => number;
  /** Returns this instance's work by endpoint. */
  readonly getWork: () => ReadonlyMap<string, PeerWork>;
  /** Called before each report. */
  readonly onBeforeReport: () => void;
  /** Whether there is something for keepers to remember; there is not if omitted. */
  readonly needsKeepers?: () => boolean;
  /** Decides on a call as the arbiter of a limit. */
  readonly decideQuotaCall: (peer: PeerIdentity, call: QuotaCall) => QuotaReply;
}

/** Number of readers: one may end and another may lose its connection to the store at the same time. */
const readerCount = 3;
/** Number of keepers in a large fleet: after half of all instances have ended at once, one in 32 times none of them is left. */
const keeperCount = 5;
const fleetSizeKey = `${gatewayPrefix}fleet-size`;
/** Time without a new instance after which the list of members counts as complete. */
const fleetStableMs = 600;

/** The members of the fleet, the links to them, and the messages between them. */
export class Members implements Closeable {
  readonly links: PeerLinks;
  /** Chooses the arbiter of each subject among the readers, and sends calls to it. */
  readonly arbiters: Arbiters;
  /** The same for slots. They are separate because their short time limits must not make limits change their arbiters. */
  readonly slotArbiters: Arbiters;
  private readonly records: MemberRecords;
  private readonly roles: FleetRoles;
  private readonly feed: StoreFeed;
  private readonly work: FleetWork;
  private readonly peerClocks: PeerClocks;
  private readonly peerUptimes: PeerUptimes;
  private readonly silentPeers: SilentPeers;
  private readonly stop = new AbortController();
  private task: Promise<void> = Promise.resolve();
  private readonly views: ReaderViews;
  private readonly reports: ReportExchange;
  private readonly sizeItem: FleetSizeItem;
  private readonly share: FleetShare;

  private constructor(private readonly options: MembersOptions) {
    const { clock, logger, name, largestMesh } = options;
    this.peerClocks = PeerClocks.create(clock);
    this.peerUptimes = PeerUptimes.create(clock);
    this.silentPeers = SilentPeers.create(options.revokeWithinMs, clock.getTime());
    this.links = createMemberLinks(options);
    const isLinked = (peer: string): boolean => this.links.isLinked(peer);
    const onChange = (): void => this.updateMembers();
    this.records = MemberRecords.create({ ...options, onChange, isLinked });
    this.roles = FleetRoles.create({
      clock,
      ownName: name,
      largestMesh,
      count: readerCount,
      keeperCount,
      ...(options.needsKeepers && { needsKeepers: options.needsKeepers }),
      getNames: () => this.records.getNames(),
      getCapacity: (peer) => this.records.getCapacity(peer),
      isLinked,
    });
    const arbiterOptions: ArbitersOptions = {
      clock,
      logger,
      ownName: name,
      getReaders: () => this.roles.getReaders(),
      isLinked,
      call: (peer, message, timeoutMs) => this.links.call(peer, message, timeoutMs),
    };
    this.arbiters = Arbiters.create(arbiterOptions);
    this.sizeItem = this.createSizeItem();
    this.share = this.createShare(isLinked);
    this.slotArbiters = Arbiters.create(arbiterOptions);
    this.feed = StoreFeed.create({
      clock,
      logger,
      ownName: name,
      timings: options.feedTimings,
      eras: options.store.eras,
      configuration: options.configuration,
      followers: { [options.endpointPrefix]: options.endpoints, [gatewayPrefix]: this.records.follower },
    });
    this.views = ReaderViews.create({
      clock,
      logger,
      counters: options.counters,
      getFleetSize: () => this.getFleetSize(),
      countLinkedReaders: () => this.roles.getLinkedReaders().length,
    });
    this.work = FleetWork.create({
      clock,
      ownName: name,
      getOwn: options.getWork,
      findView: () => (this.roles.isCollector ? undefined : this.views.find()?.work),
      send: (peer, message) => void this.links.send(peer, message),
    });
    const { links, roles, feed, work, views, peerClocks, silentPeers } = this;
    const exchanged = { links, roles, feed, work, views, peerClocks, silentPeers };
    this.reports = ReportExchange.create({
      ...options,
      ...exchanged,
      getKnownShare: () => this.getKnownShare(),
    });
    this.listen();
  }

  static create(options: MembersOptions): Members {
    return new Members(options);
  }

  /** Opens the port for peers, and starts to follow the list of members and to send reports. */
  async open(): Promise<void> {
    await this.links.open();
    this.records.start();
    this.task = this.sendReports();
  }

  /** The gateway's own items in the store, in their last known state. */
  get items(): ReadonlyMap<string, StoreItem> {
    return this.records.items;
  }

  /** Whether the gateway's own items have been listed at least once. */
  get isListed(): boolean {
    return this.records.isListed;
  }

  /** Whether this instance is a collector, which receives the reports of all instances that it knows. */
  get isCollector(): boolean {
    return this.roles.isCollector;
  }

  /** Whether the fleet is so small that every instance is linked with every other. */
  get isMesh(): boolean {
    return this.roles.isMesh;
  }

  /** Names of the readers that are linked. */
  getLinkedReaders(): readonly string[] {
    return this.roles.getLinkedReaders();
  }

  /** Names of the keepers that are linked. */
  getKeepers(): readonly string[] {
    return this.roles.getKeepers().filter((name) => this.links.isLinked(name));
  }

  /** Number of keepers that are listed, including this instance if it is one. */
  get keeperCount(): number {
    return this.roles.getKeepers().length;
  }

  /** Whether this instance is a keeper. */
  get isKeeper(): boolean {
    return this.roles.getKeepers().includes(this.options.name);
  }

  /** Whether all keepers are linked, except this instance itself. */
  get hasAllKeepers(): boolean {
    return this.roles.getKeepers().every((name) => name === this.options.name || this.links.isLinked(name));
  }

  /** Name of the reader that is the arbiter for a subject; undefined if none is available. */
  findArbiter(subject: string): string | undefined {
    return this.arbiters.find(subject);
  }

  /** Whether this instance reads the store on behalf of the fleet. */
  get isReader(): boolean {
    return this.roles.isReader;
  }

  /** Whether no new instance was listed for a while. While a fleet starts, it looks smaller than it is. */
  get isFleetStable(): boolean {
    return this.records.getTimeSinceGrowth() > fleetStableMs;
  }

  /** Returns what a linked peer last told of its uptime; undefined if that is long ago. */
  findPeerUptime(name: string): PeerUptime | undefined {
    return this.peerUptimes.find(name);
  }

  /** Number of instances; undefined while it is not known. */
  findFleetSize(): number | undefined {
    return this.records.findSize(fleetStableMs);
  }

  /** Number of listed instances, including this one. */
  getFleetSize(): number {
    return this.records.size;
  }

  /** Number of instances that may be serving: those listed, or as many as the store remembers until the list is known. */
  getServingSize(): number {
    return this.share.size;
  }

  /** Share of the fleet whose counts are known, including this instance. */
  getKnownShare(): number {
    if (this.roles.isCollector) return this.share.getKnown();
    return this.views.find()?.knownShare ?? 1 / this.getServingSize();
  }

  /** Milliseconds since the last view of the fleet's counts was received; undefined without a view. */
  get viewAge(): number | undefined {
    return this.views.age;
  }

  /**
   * Sends the placement of a long prompt to the peers immediately; in a large fleet to the readers, which relay
   * it.
   */
  announcePlacement(endpoint: string, tokens: number): void {
    const message: PlacementMessage = {
      kind: MemberMessageKind.Placement,
      endpoint,
      tokens: Math.round(tokens),
    };
    if (this.roles.isMesh) {
      this.links.broadcast(message);
      return;
    }
    for (const name of this.roles.getLinkedReaders()) this.links.send(name, message);
    this.work.recordPlacement([endpoint, message.tokens]);
  }

  /** Other instances that pass attempts on. */
  getForwardingPeers(): readonly ForwardingPeer[] {
    return this.records.getForwardingPeers();
  }

  /** Other instances' work at an endpoint, as last received. */
  getPeerWork(endpoint: string): PeerWork {
    return this.work.get(endpoint);
  }

  /** Lists again; called when the store answers again after a failure. */
  restart(): void {
    this.records.restart();
  }

  async close(): Promise<void> {
    this.stop.abort();
    this.work.close();
    await Promise.all([this.records.close(), this.links.close(), this.task]);
  }

  private createSizeItem(): FleetSizeItem {
    return FleetSizeItem.create({
      ...this.options,
      key: fleetSizeKey,
      getItem: () => this.items.get(fleetSizeKey),
      isWriter: () => this.isReader && this.arbiters.isOwnSubject(fleetSizeKey),
    });
  }

  private createShare(isLinked: (peer: string) => boolean): FleetShare {
    return FleetShare.create({
      clock: this.options.clock,
      ownName: this.options.name,
      silentPeers: this.silentPeers,
      getNames: () => this.records.getNames(),
      getListedSize: () => this.records.size,
      isLinked,
      isListKnown: () => this.findFleetSize() !== undefined,
      getKeptSize: () => this.sizeItem.size,
    });
  }

  private listen(): void {
    const { logger } = this.options;
    this.links.setHandler(MemberMessageKind.PlacementRelay, (message, peer) => {
      const relayed = message as PlacementRelayMessage;
      this.work.applyRelay(relayed, peer);
      this.options.memory.mergePeer(relayed.read);
    });
    this.links.setHandler(MemberMessageKind.QuotaCall, (message, peer) =>
      this.replyToQuotaCall(message as QuotaCall, peer),
    );
    this.links.setHandler(MemberMessageKind.Placement, (message, peer) =>
      this.applyPlacement(message as PlacementMessage, peer),
    );
    this.links.setHandler(LinkMessageKind.Ping, ({ time, uptime }: PingMessage, peer) => {
      if (time !== undefined) this.peerClocks.record(peer.name, time);
      if (uptime !== undefined) this.peerUptimes.record(peer, uptime);
    });
    this.links.onLinkUp((peer) => logger.info("peer.linked", { peer: peer.name }));
    this.links.onLinkDown((peer) => {
      logger.info("peer.lost", { peer: peer.name });
      this.silentPeers.recordDisconnect(peer.name, this.options.clock.getTime());
      this.peerUptimes.remove(peer.name);
    });
  }

  private updateMembers(): void {
    this.roles.updateMembers();
    this.links.setPeers(this.records.getAddresses(), this.roles.getLinkTargets());
  }

  private async sendReports(): Promise<void> {
    const { clock, time, reportIntervalMs, largeFleetIntervalMs, onBeforeReport } = this.options;
    const { signal } = this.stop;
    while (!signal.aborted) {
      await waitFor(clock, this.roles.isMesh ? reportIntervalMs : largeFleetIntervalMs, signal);
      time.adjust(this.peerClocks.getOffsets(time.get()));
      if (this.roles.chooseReaders()) this.updateMembers();
      this.work.refresh();
      this.sizeItem.reconcile(this.findFleetSize());
      this.reports.setRole();
      onBeforeReport();
      this.reports.send();
    }
  }

  /** Whether a reader feeds this instance the store's content. */
  get isFeedActive(): boolean {
    return !this.roles.isReader && this.feed.isActive;
  }

  /** Decides as the arbiter; an instance that is not a collector lacks the counts to do so. */
  private replyToQuotaCall(call: QuotaCall, peer: PeerIdentity): QuotaReply {
    return this.roles.isCollector
      ? this.options.decideQuotaCall(peer, call)
      : { word: GrantDecision.Unknown, level: 0 };
  }

  private applyPlacement({ endpoint, tokens }: PlacementMessage, peer: PeerIdentity): void {
    if (endpoint !== undefined) this.work.applyPlacement(peer.name, [endpoint, tokens]);
  }
}
