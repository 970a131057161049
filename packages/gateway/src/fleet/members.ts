/**
 * Exchanges reports between the instances of the fleet: counts, work at endpoints and the time of day.
 *
 * In a small fleet every instance reports to every other several times a second. In a large fleet each instance
 * reports only to the readers of the store, and one of them replies with a view of the whole fleet, so that the
 * messages which an instance sends and receives do not grow with the fleet. In a fleet of any size, a reader
 * sends the store's content.
 * @module
 */
import { getIncarnationKey, LinkMessageKind, type PeerIdentity, PeerLinks } from "@gladewall/coordination";
import { type Closeable, waitFor } from "@gladewall/kernel";
import { Arbiters, type ArbitersOptions } from "../limits/arbiters.js";
import { type ContainedFailures, FailurePlace } from "../failures/containedFailures.js";
import type { PeerWork } from "../endpoints/endpoint.js";
import type { ConfigurationFollower } from "../configurationFollower.js";
import type { ForwardingPeer } from "../forwarding/forwardingPeers.js";
import type { FeedTimings } from "../store/feedTimings.js";
import { FleetWork } from "./fleetWork.js";
import type { FeedMessage, FeedState } from "../store/feedReplication.js";
import { PeerClocks } from "./peerClocks.js";
import { type PeerUptime, PeerUptimes } from "./peerUptimes.js";
import type { PrefixFollower } from "../store/prefixFollower.js";
import { FleetRoles } from "./fleetRoles.js";
import { CountHandover } from "../countHandover.js";
import {
  type CountsMessage,
  type FeedReply,
  MemberMessageKind,
  type PingMessage,
  type PlacementMessage,
  type QuotaReply,
  type QuotaCall,
  type PlacementRelayMessage,
  type ReportMessage,
  type ViewMessage,
} from "./memberMessages.js";
import { GrantDecision } from "../limits/grantDecision.js";
import { MemberRecords, type MemberRecordsOptions, gatewayPrefix } from "./memberRecords.js";
import type { PrefixIndex } from "../placement/prefixIndex.js";
import type { PrefillRates } from "../prefillRates.js";
import { ReaderViews } from "./readerViews.js";
import type { SharedCounters } from "../sharedCounters.js";
import { SilentPeers } from "./silentPeers.js";
import { StoreFeed } from "../store/storeFeed.js";
import type { DisciplinedClock } from "../disciplinedClock.js";
import type { StoreItem } from "../types.js";
import type { UsageCounts } from "../usageCounts.js";

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
const reportedWindows = 4;
/** In a large fleet, one of this many reports contains the usage. */
const reportsPerUsage = 2;
const pingIntervalMs = 1_000;
const lostAfterMs = 2_500;
const handshakeTimeoutMs = 1_000;
const outboxBytes = 262_144;
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
  private sequence = 0;
  private readonly views: ReaderViews;
  private readonly handover = CountHandover.create();

  private constructor(private readonly options: MembersOptions) {
    const { clock, logger, name, incarnation, secret, address, largestMesh } = options;
    this.peerClocks = PeerClocks.create(clock);
    this.peerUptimes = PeerUptimes.create(clock);
    this.silentPeers = SilentPeers.create(options.revokeWithinMs, clock.getTime());
    this.links = PeerLinks.create({
      own: { name, incarnation },
      secret,
      clock,
      logger,
      listen: address,
      handshakeTimeoutMs: handshakeTimeoutMs,
      maxOutboxBytes: outboxBytes,
      pingIntervalMs: pingIntervalMs,
      lossTimeoutMs: lostAfterMs,
      maxPersistentLinks: largestMesh,
      getRandom: Math.random,
      onFailure: (error, peer) => options.failures.record(FailurePlace.PeerMessage, error, { peer }),
      getPingFields: () => ({ time: options.time.get(), uptime: Math.round(options.counters.getUptime()) }),
    });
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

  /**
   * Share of the fleet whose counts are known, including this instance: all instances except those that may be
   * serving without their reports arriving here. A peer whose connection was closed has ended; one that fell
   * silent may only be cut off.
   */
  getKnownShare(): number {
    const fleet = this.getFleetSize();
    if (!this.roles.isCollector) return this.views.find()?.knownShare ?? 1 / fleet;
    const time = this.options.clock.getTime();
    let silent = 0;
    for (const name of this.records.getNames()) {
      if (name !== this.options.name && this.silentPeers.mayBeServing(name, time, this.links.isLinked(name)))
        silent += 1;
    }
    return Math.max(1, fleet - silent) / fleet;
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

  private listen(): void {
    const { logger } = this.options;
    this.links.setHandler(MemberMessageKind.Report, (message, peer) =>
      this.applyReport(message as ReportMessage, peer),
    );
    this.links.setHandler(MemberMessageKind.View, (message, peer) =>
      this.applyView(message as ViewMessage, peer),
    );
    this.links.setHandler(MemberMessageKind.PlacementRelay, (message, peer) => {
      const relayed = message as PlacementRelayMessage;
      this.work.applyRelay(relayed, peer);
      this.options.memory.mergePeer(relayed.read);
    });
    this.links.setHandler(MemberMessageKind.Feed, (message) => {
      const { sequence, feed } = message as FeedReply;
      this.applyFeed(sequence, feed);
    });
    this.links.setHandler(MemberMessageKind.Counts, (message, peer) =>
      this.applyCounts(message as CountsMessage, peer),
    );
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
      this.feed.setRole(this.roles.isReader);
      this.handover.setRole(this.roles.isCollector, clock.getTime());
      onBeforeReport();
      this.report();
    }
  }

  private report(): void {
    const report = this.createReport();
    const { isMesh, isReader } = this.roles;
    const linked = this.roles.getLinkedReaders();
    const feedSource = this.feed.chooseReader(isReader, linked);
    const countsSource = this.handover.isRequesting(this.options.clock.getTime())
      ? linked[this.sequence % linked.length]
      : undefined;
    for (const name of isMesh ? this.links.getLinked() : linked) {
      const feed = name === feedSource ? { feed: this.feed.getState() } : {};
      const counts = name === countsSource ? { wantsCounts: true } : {};
      this.links.send(name, { ...report, ...feed, ...counts });
    }
  }

  /** Whether a reader feeds this instance the store's content. */
  get isFeedActive(): boolean {
    return !this.roles.isReader && this.feed.isActive;
  }

  private createReport(): ReportMessage {
    const { counters, rates, usage, time, getWindow } = this.options;
    this.sequence += 1;
    const { isMesh, isCollector } = this.roles;
    const isHistoryRequested = this.views.takeHistoryRequest();
    const report = counters.createReport(isCollector || isHistoryRequested);
    this.views.recordReport(this.sequence, report.totals);
    const read = this.options.memory.takeUnreported();
    this.work.relayProcessedParts(read);
    const hasUsage = isMesh || this.sequence % reportsPerUsage === 0;
    return {
      kind: MemberMessageKind.Report,
      sequence: this.sequence,
      time: time.get(),
      counters: report,
      work: this.work.reportedWork,
      rates: rates.createReport(),
      hearsAll: isCollector,
      read,
      ...(hasUsage ? { usage: usage.getOwnCounts(getWindow(), reportedWindows) } : {}),
    };
  }

  private applyReport(message: ReportMessage, peer: PeerIdentity): void {
    const { counters, rates, usage, clock } = this.options;
    const incarnation = getIncarnationKey(peer);
    counters.applyReport(peer.name, incarnation, message.counters);
    if (message.usage) usage.mergePeerCounts(incarnation, message.usage);
    if (message.rates) rates.mergePeer(peer.name, message.rates);
    if (message.read) {
      this.options.memory.mergePeer(message.read);
      this.work.relayProcessedParts(message.read);
    }
    this.silentPeers.recordReport(peer.name, clock.getTime());
    this.peerClocks.record(peer.name, message.time);
    this.work.applyReport(peer.name, message.work);
    if (message.wantsCounts) this.sendCounts(message, peer);
    if (!message.feed) return;
    if (!message.hearsAll) this.work.addSubscriber(peer.name);
    this.links.send(peer.name, this.createReply(message, message.feed));
  }

  private sendCounts({ sequence }: ReportMessage, peer: PeerIdentity): void {
    const { counters, clock } = this.options;
    if (!this.roles.isCollector || this.handover.isRequesting(clock.getTime())) return;
    const message: CountsMessage = {
      kind: MemberMessageKind.Counts,
      sequence,
      counters: counters.createView(),
    };
    this.links.send(peer.name, message);
  }

  /** Decides as the arbiter; an instance that is not a collector lacks the counts to do so. */
  private replyToQuotaCall(call: QuotaCall, peer: PeerIdentity): QuotaReply {
    return this.roles.isCollector
      ? this.options.decideQuotaCall(peer, call)
      : { word: GrantDecision.Unknown, level: 0 };
  }

  private applyCounts({ sequence, counters: received }: CountsMessage, peer: PeerIdentity): void {
    const { counters, clock, logger } = this.options;
    const isMoreComplete = received.isInformed || received.uptime > counters.getUptime();
    if (!this.handover.isRequesting(clock.getTime()) || !isMoreComplete) return;
    if (!this.views.applyCounts(sequence, received)) return;
    this.handover.complete();
    const peers = Object.keys(received.included ?? {}).length;
    logger.info("counts.taken", {
      peer: peer.name,
      uptimeMs: received.uptime,
      informed: received.isInformed,
      peers,
    });
  }

  private createReply(report: ReportMessage, state: FeedState): FeedReply | ViewMessage {
    if (!report.hearsAll) return this.createView(report, state);
    const feed = this.feed.createMessage(state);
    return { kind: MemberMessageKind.Feed, sequence: report.sequence, feed };
  }

  private applyPlacement({ endpoint, tokens }: PlacementMessage, peer: PeerIdentity): void {
    if (endpoint !== undefined) this.work.applyPlacement(peer.name, [endpoint, tokens]);
  }

  private createView(report: ReportMessage, state: FeedState): ViewMessage {
    return {
      kind: MemberMessageKind.View,
      sequence: report.sequence,
      counters: this.options.counters.createView(false),
      ...this.work.createView(report),
      knownShare: this.getKnownShare(),
      rates: this.options.rates.createView(),
      feed: this.feed.createMessage(state),
    };
  }

  private applyView(view: ViewMessage, peer: PeerIdentity): void {
    if (this.roles.isCollector || this.views.findSentAt(view.sequence) === undefined) return;
    this.applyFeed(view.sequence, view.feed);
    if (view.rates) this.options.rates.mergePeer(peer.name, view.rates);
    if (this.views.applyView(view, peer)) this.work.recordView(peer, view.placedNumber ?? 0);
  }

  private applyFeed(sequence: number, feed: FeedMessage): void {
    const reportSentAt = this.views.findSentAt(sequence);
    if (reportSentAt === undefined || !this.feed.isRequestingContent(this.roles.isReader)) return;
    this.feed.apply(feed, reportSentAt);
  }
}
