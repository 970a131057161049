/**
 * Keeps the work of the whole fleet at each endpoint: from the peers' reports on a collector, otherwise from a
 * reader's view and the placements relayed since.
 * @module
 */
import { getIncarnationKey, type PeerIdentity } from "@gladewall/coordination";
import type { Clock } from "@gladewall/kernel";
import type { PeerWork } from "../endpoints/endpoint.js";
import { type EndpointWork, subtractWork, sumWork } from "../endpoints/endpointWork.js";
import type { PlacementEntry, PlacementRelayMessage, ReportMessage } from "./memberMessages.js";
import { PeerWorkViews } from "./peerWorkViews.js";
import { PlacementRelay } from "../placement/placementRelay.js";
import type { PrefixReport } from "../placement/prefixIndex.js";
import { RecentPlacements } from "../placement/recentPlacements.js";

/** Options of the fleet's work. */
export interface FleetWorkOptions {
  readonly clock: Clock;
  /** Name of this instance. */
  readonly ownName: string;
  /** Returns this instance's work by endpoint. */
  readonly getOwn: () => ReadonlyMap<string, PeerWork>;
  /** Returns the work of all other instances by the last view; undefined if this instance uses reports. */
  readonly findView: () => EndpointWork | undefined;
  /** Sends to an instance that this one sends views to. */
  readonly send: (name: string, message: PlacementRelayMessage) => void;
}

const noWork: PeerWork = { active: 0, pendingTokens: 0 };

/** The work of other instances, and what is relayed to them. */
export class FleetWork {
  private readonly reports: PeerWorkViews;
  private readonly relay: PlacementRelay;
  private readonly placements = RecentPlacements.create();
  /** Work of the other instances as of the last `refresh`. */
  private others: EndpointWork = {};
  private ownWork: EndpointWork = {};
  /** Number of the last relayed placement that `others` includes. */
  private lastNumber = 0;
  /** Whether a message has arrived since the last `refresh`. */
  private isStale = false;

  private constructor(private readonly options: FleetWorkOptions) {
    const { clock, send } = options;
    this.reports = PeerWorkViews.create(clock);
    this.relay = PlacementRelay.create({ clock, send });
  }

  static create(options: FleetWorkOptions): FleetWork {
    return new FleetWork(options);
  }

  /** Returns the other instances' work at an endpoint, as last received. */
  get(endpoint: string): PeerWork {
    if (this.isStale) this.refresh();
    const work = this.others[endpoint];
    return work ? { active: work[0], pendingTokens: work[1] } : noWork;
  }

  /** Sums up the work again, which also drops what is too old. */
  refresh(): void {
    const view = this.options.findView();
    this.others = view ? sumWork([view, this.placements.getWork()]) : this.reports.getSum();
    this.ownWork = this.createOwn();
    this.lastNumber = this.relay.lastNumber;
    this.isStale = false;
  }

  /** This instance's work as of the last `refresh`, for its peers. */
  get reportedWork(): EndpointWork {
    return this.ownWork;
  }

  private createOwn(): EndpointWork {
    const work: Record<string, [number, number]> = {};
    for (const [endpoint, { active, pendingTokens }] of this.options.getOwn()) {
      if (active > 0 || pendingTokens > 0) work[endpoint] = [active, Math.round(pendingTokens)];
    }
    return work;
  }

  /**
   * Returns the work of all instances except the one that sent the report, and the number of the last placement
   * that it includes.
   */
  createView({ work }: ReportMessage): { readonly work: EndpointWork; readonly placedNumber: number } {
    const all = sumWork([this.others, this.ownWork]);
    return { work: subtractWork(all, work), placedNumber: this.lastNumber };
  }

  applyReport(peer: string, work: EndpointWork): void {
    this.reports.setPeer(peer, work);
    this.isStale = true;
  }

  /** Applies a placement that a peer sent ahead of its report. */
  applyPlacement(peer: string, entry: PlacementEntry): void {
    const [endpoint, tokens] = entry;
    this.reports.addPlacement(peer, endpoint, tokens);
    this.relay.add(peer, entry);
    this.isStale = true;
  }

  /** Records a placement of this instance, to be relayed. */
  recordPlacement(entry: PlacementEntry): void {
    this.relay.add(this.options.ownName, entry);
  }

  /** Relays which prompt parts endpoints have processed. */
  relayProcessedParts(processed: PrefixReport): void {
    this.relay.addProcessedParts(processed);
  }

  /** Records that an instance receives views from this one; placements are relayed to it from now on. */
  addSubscriber(name: string): void {
    this.relay.recordSubscriber(name);
  }

  applyRelay({ first, entries }: PlacementRelayMessage, peer: PeerIdentity): void {
    if (this.placements.applyRelayed(getIncarnationKey(peer), first, entries)) this.isStale = true;
  }

  /** Records a view that includes all placements up to a number. */
  recordView(peer: PeerIdentity, placedNumber: number): void {
    this.placements.recordView(getIncarnationKey(peer), placedNumber);
    this.isStale = true;
  }

  close(): void {
    this.relay.close();
  }
}
