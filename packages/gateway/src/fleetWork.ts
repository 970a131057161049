/**
 * Work at endpoints over the whole fleet, as this instance knows it: by the peers' reports where it hears them all,
 * else by a reader's view and what was relayed since.
 * @module
 */
import { getIncarnationKey, type PeerIdentity } from "@gladewall/coordination";
import type { Clock } from "@gladewall/kernel";
import type { PeerWork } from "./endpoint.js";
import { type EndpointWork, subtractWork, sumWork } from "./endpointWork.js";
import type { PlacementEntry, PlacementRelayMessage, ReportMessage } from "./memberMessages.js";
import { PeerWorkViews } from "./peerWorkViews.js";
import { PlacementRelay } from "./placementRelay.js";
import type { PrefixReport } from "./prefixIndex.js";
import { RecentPlacements } from "./recentPlacements.js";

/** Options of the fleet's work. */
export interface FleetWorkOptions {
  readonly clock: Clock;
  /** Name of this instance. */
  readonly own: string;
  /** Returns this instance's work by endpoint. */
  readonly getOwn: () => ReadonlyMap<string, PeerWork>;
  /** Returns the work of all others by the last view; undefined where this instance goes by reports. */
  readonly findView: () => EndpointWork | undefined;
  /** Sends to an instance that asks this one. */
  readonly send: (name: string, message: PlacementRelayMessage) => void;
}

const noWork: PeerWork = { active: 0, pendingTokens: 0 };

/** What is known of others' work, and what others are told of it. */
export class FleetWork {
  private readonly reports: PeerWorkViews;
  private readonly relay: PlacementRelay;
  private readonly placements = RecentPlacements.create();
  /** Work of the other instances as of the last sum. */
  private others: EndpointWork = {};
  private ownWork: EndpointWork = {};
  /** Number of the last relayed placement that the sum includes. */
  private lastNumber = 0;
  /** Whether something was told since the last sum. */
  private isStale = false;

  private constructor(private readonly options: FleetWorkOptions) {
    const { clock, send } = options;
    this.reports = PeerWorkViews.create(clock);
    this.relay = PlacementRelay.create({ clock, send });
  }

  static create(options: FleetWorkOptions): FleetWork {
    return new FleetWork(options);
  }

  /** Other instances' work at an endpoint, as they told it a moment ago. */
  get(endpoint: string): PeerWork {
    if (this.isStale) this.refresh();
    const told = this.others[endpoint];
    return told ? { active: told[0], pendingTokens: told[1] } : noWork;
  }

  /** Sums up anew; also for what has grown too old to count. */
  refresh(): void {
    const view = this.options.findView();
    this.others = view ? sumWork([view, this.placements.getWork()]) : this.reports.getSum();
    this.ownWork = this.createOwn();
    this.lastNumber = this.relay.lastNumber;
    this.isStale = false;
  }

  /** This instance's work as of the last sum, for its peers. */
  get own(): EndpointWork {
    return this.ownWork;
  }

  private createOwn(): EndpointWork {
    const work: Record<string, [number, number]> = {};
    for (const [endpoint, { active, pendingTokens }] of this.options.getOwn()) {
      if (active > 0 || pendingTokens > 0) work[endpoint] = [active, Math.round(pendingTokens)];
    }
    return work;
  }

  /** Work of all instances but the one that reported, and the placement up to which it is told. */
  createView({ work }: ReportMessage): { readonly work: EndpointWork; readonly placedNumber: number } {
    const all = sumWork([this.others, this.ownWork]);
    return { work: subtractWork(all, work), placedNumber: this.lastNumber };
  }

  applyReport(peer: string, work: EndpointWork): void {
    this.reports.setPeer(peer, work);
    this.isStale = true;
  }

  /** Takes a placement that a peer told at once. */
  takePlaced(peer: string, entry: PlacementEntry): void {
    const [endpoint, tokens] = entry;
    this.reports.addPlacement(peer, endpoint, tokens);
    this.relay.add(peer, entry);
    this.isStale = true;
  }

  /** Takes note of a placement of this instance, for those that ask it. */
  notePlaced(entry: PlacementEntry): void {
    this.relay.add(this.options.own, entry);
  }

  /** Hands on to those that ask this instance which parts of prompts endpoints have read. */
  relayRead(read: PrefixReport): void {
    this.relay.addReadParts(read);
  }

  /** Takes note that an instance asks this one for views, and is told placements from now on. */
  noteAsked(name: string): void {
    this.relay.noteSubscriber(name);
  }

  takeRelayed({ first, entries }: PlacementRelayMessage, peer: PeerIdentity): void {
    if (this.placements.takeRelayed(getIncarnationKey(peer), first, entries)) this.isStale = true;
  }

  /** Takes note of a view that includes all placements up to a number. */
  noteView(peer: PeerIdentity, placedNumber: number): void {
    this.placements.noteView(getIncarnationKey(peer), placedNumber);
    this.isStale = true;
  }

  close(): void {
    this.relay.close();
  }
}
