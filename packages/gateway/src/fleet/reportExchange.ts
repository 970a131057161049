/**
 * Sends this instance's reports, applies those of others, and replies to an instance that asks a reader for the store's content, for the
 * counts, or, in a large fleet, for a view of the whole fleet.
 * @module
 */
import { getIncarnationKey, type PeerIdentity, type PeerLinks } from "@gladewall/coordination";
import type { Clock, Logger } from "@gladewall/kernel";
import { CountHandover } from "../counters/countHandover.js";
import type { DisciplinedClock } from "../disciplinedClock.js";
import type { PrefixIndex } from "../placement/prefixIndex.js";
import type { PrefillRates } from "../prefillRates.js";
import type { SharedCounters } from "../counters/sharedCounters.js";
import type { FeedMessage, FeedState } from "../store/feedReplication.js";
import type { StoreFeed } from "../store/storeFeed.js";
import type { UsageCounts } from "../usage/usageCounts.js";
import type { FleetRoles } from "./fleetRoles.js";
import type { FleetWork } from "./fleetWork.js";
import {
  type CountsMessage,
  type FeedReply,
  MemberMessageKind,
  type ReportMessage,
  type ViewMessage,
} from "./memberMessages.js";
import type { PeerClocks } from "./peerClocks.js";
import type { ReaderViews } from "./readerViews.js";
import type { SilentPeers } from "./silentPeers.js";

/** Options of the exchange. */
export interface ReportExchangeOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: PeerLinks;
  readonly roles: FleetRoles;
  readonly feed: StoreFeed;
  readonly work: FleetWork;
  readonly views: ReaderViews;
  readonly peerClocks: PeerClocks;
  readonly silentPeers: SilentPeers;
  readonly counters: SharedCounters;
  readonly rates: PrefillRates;
  readonly memory: PrefixIndex;
  readonly usage: UsageCounts;
  readonly time: DisciplinedClock;
  /** Returns the number of the current usage window. */
  readonly getWindow: () => number;
  /** Returns the share of the fleet whose counts are known. */
  readonly getKnownShare: () => number;
}

const reportedWindows = 4;
/** In a large fleet, one of this many reports contains the usage. */
const reportsPerUsage = 2;

/** Exchanges reports. */
export class ReportExchange {
  private sequence = 0;
  private readonly handover = CountHandover.create();

  private constructor(private readonly options: ReportExchangeOptions) {
    const { links } = options;
    links.setHandler(MemberMessageKind.Report, (message, peer) =>
      this.applyReport(message as ReportMessage, peer),
    );
    links.setHandler(MemberMessageKind.View, (message, peer) => this.applyView(message as ViewMessage, peer));
    links.setHandler(MemberMessageKind.Feed, (message) => {
      const { sequence, feed } = message as FeedReply;
      this.applyFeed(sequence, feed);
    });
    links.setHandler(MemberMessageKind.Counts, (message, peer) =>
      this.applyCounts(message as CountsMessage, peer),
    );
  }

  static create(options: ReportExchangeOptions): ReportExchange {
    return new ReportExchange(options);
  }

  /** Follows the role of this instance in the fleet; called before each report. */
  setRole(): void {
    const { feed, roles, clock } = this.options;
    feed.setRole(roles.isReader);
    this.handover.setRole(roles.isCollector, clock.getTime());
  }

  /** Sends a report to each instance that receives this one's. */
  send(): void {
    const report = this.createReport();
    const { isMesh, isReader } = this.options.roles;
    const linked = this.options.roles.getLinkedReaders();
    const feedSource = this.options.feed.chooseReader(isReader, linked);
    const countsSource = this.handover.isRequesting(this.options.clock.getTime())
      ? linked[this.sequence % linked.length]
      : undefined;
    for (const name of isMesh ? this.options.links.getLinked() : linked) {
      const feed = name === feedSource ? { feed: this.options.feed.getState() } : {};
      const counts = name === countsSource ? { wantsCounts: true } : {};
      this.options.links.send(name, { ...report, ...feed, ...counts });
    }
  }

  private createReport(): ReportMessage {
    const { counters, rates, usage, time, getWindow } = this.options;
    this.sequence += 1;
    const { isMesh, isCollector } = this.options.roles;
    const isHistoryRequested = this.options.views.takeHistoryRequest();
    const report = counters.createReport(isCollector || isHistoryRequested);
    this.options.views.recordReport(this.sequence, report.totals);
    const read = this.options.memory.takeUnreported();
    this.options.work.relayProcessedParts(read);
    const hasUsage = isMesh || this.sequence % reportsPerUsage === 0;
    return {
      kind: MemberMessageKind.Report,
      sequence: this.sequence,
      time: time.get(),
      counters: report,
      work: this.options.work.reportedWork,
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
      this.options.work.relayProcessedParts(message.read);
    }
    this.options.silentPeers.recordReport(peer.name, clock.getTime());
    this.options.peerClocks.record(peer.name, message.time);
    this.options.work.applyReport(peer.name, message.work);
    if (message.wantsCounts) this.sendCounts(message, peer);
    if (!message.feed) return;
    if (!message.hearsAll) this.options.work.addSubscriber(peer.name);
    this.options.links.send(peer.name, this.createReply(message, message.feed));
  }

  private sendCounts({ sequence }: ReportMessage, peer: PeerIdentity): void {
    const { counters, clock } = this.options;
    if (!this.options.roles.isCollector || this.handover.isRequesting(clock.getTime())) return;
    const message: CountsMessage = {
      kind: MemberMessageKind.Counts,
      sequence,
      counters: counters.createView(),
    };
    this.options.links.send(peer.name, message);
  }

  private applyCounts({ sequence, counters: received }: CountsMessage, peer: PeerIdentity): void {
    const { counters, clock, logger } = this.options;
    const isMoreComplete = received.isInformed || received.uptime > counters.getUptime();
    if (!this.handover.isRequesting(clock.getTime()) || !isMoreComplete) return;
    if (!this.options.views.applyCounts(sequence, received)) return;
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
    const feed = this.options.feed.createMessage(state);
    return { kind: MemberMessageKind.Feed, sequence: report.sequence, feed };
  }

  private createView(report: ReportMessage, state: FeedState): ViewMessage {
    return {
      kind: MemberMessageKind.View,
      sequence: report.sequence,
      counters: this.options.counters.createView(false),
      ...this.options.work.createView(report),
      knownShare: this.options.getKnownShare(),
      rates: this.options.rates.createView(),
      feed: this.options.feed.createMessage(state),
    };
  }

  private applyView(view: ViewMessage, peer: PeerIdentity): void {
    if (this.options.roles.isCollector || this.options.views.findSentAt(view.sequence) === undefined) return;
    this.applyFeed(view.sequence, view.feed);
    if (view.rates) this.options.rates.mergePeer(peer.name, view.rates);
    if (this.options.views.applyView(view, peer)) this.options.work.recordView(peer, view.placedNumber ?? 0);
  }

  private applyFeed(sequence: number, feed: FeedMessage): void {
    const reportSentAt = this.options.views.findSentAt(sequence);
    if (reportSentAt === undefined || !this.options.feed.isRequestingContent(this.options.roles.isReader))
      return;
    this.options.feed.apply(feed, reportSentAt);
  }
}
