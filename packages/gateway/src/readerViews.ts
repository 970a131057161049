/**
 * What a reader of the store answers this instance's reports with in a large fleet: the fleet's sums and work, as of the
 * report that is answered.
 * @module
 */
import type { PeerIdentity } from "@gladewall/coordination";
import type { Clock, Logger } from "@gladewall/kernel";
import type { EndpointWork } from "./endpointWork.js";
import type { ViewMessage } from "./memberMessages.js";
import type { CounterTotals, CounterView, SharedCounters } from "./sharedCounters.js";

/** Options of the views. */
export interface ReaderViewsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly counters: SharedCounters;
  /** Returns the number of instances that are listed, this one included. */
  readonly getFleetSize: () => number;
  readonly countLinkedReaders: () => number;
}

/** What the reader that is asked last answered. */
export interface FleetView {
  readonly work: EndpointWork;
  readonly knownShare: number;
  readonly receivedAt: number;
}

/** What this instance told in one report, and the boot time at which it did. */
interface SentReport {
  readonly totals: CounterTotals;
  readonly at: number;
}

/** Without a view for this long, an instance uses no more than its own part of what is shared. */
const viewLifetimeMs = 1_500;
/** A reader that started this much later than this instance knows less of what was counted before. */
const uptimeToleranceMs = 1_000;
const keptReports = 16;

/** The last view, and the reports that a view may answer. */
export class ReaderViews {
  /** What was told last, by the report's number. */
  private readonly sentReports = new Map<number, SentReport>();
  private view: FleetView | undefined;
  /** Whether a reader asked what was counted before its life. */
  private isHistoryRequested = false;

  private constructor(private readonly options: ReaderViewsOptions) {}

  static create(options: ReaderViewsOptions): ReaderViews {
    return new ReaderViews(options);
  }

  /** Remembers what was told in a report. */
  recordReport(sequence: number, totals: CounterTotals): void {
    this.sentReports.set(sequence, { totals, at: this.options.clock.getBootTime() });
    this.sentReports.delete(sequence - keptReports);
  }

  /** Boot time at which a report was told; undefined where it is no longer remembered. */
  findSentAt(sequence: number): number | undefined {
    return this.sentReports.get(sequence)?.at;
  }

  /** Whether the next report should tell what was counted before the reader's life; asked once. */
  takeHistoryRequest(): boolean {
    const isWanted = this.isHistoryRequested;
    this.isHistoryRequested = false;
    return isWanted;
  }

  /** Milliseconds since the last view was heard; undefined before the first, and once it is given up. */
  get age(): number | undefined {
    return this.view && this.options.clock.getTime() - this.view.receivedAt;
  }

  /** Takes a view; returns whether it counts: not where its reader knows less than this instance. */
  applyView({ sequence, counters, work, knownShare }: ViewMessage, peer: PeerIdentity): boolean {
    const told = this.sentReports.get(sequence);
    if (!told) return false;
    const { clock, logger, counters: own } = this.options;
    if (!counters.isInformed && own.getUptime() > counters.uptime + uptimeToleranceMs && own.knowsHistory) {
      this.isHistoryRequested = true;
      logger.debug("view.passed-over", { peer: peer.name, uptimeMs: counters.uptime });
      return false;
    }
    own.applyView(counters, told.totals);
    this.view = { work, knownShare, receivedAt: clock.getTime() };
    return true;
  }

  /** Takes another instance's counts as of one of this instance's reports; false where that is no longer remembered. */
  applyCounts(sequence: number, counters: CounterView): boolean {
    const told = this.sentReports.get(sequence);
    if (told) this.options.counters.applyView(counters, told.totals);
    return told !== undefined;
  }

  /** The last view while it is young enough; once it is not, the instance keeps to its own part of what is shared. */
  find(): FleetView | undefined {
    const { view } = this;
    if (!view) return undefined;
    const age = this.options.clock.getTime() - view.receivedAt;
    if (age <= viewLifetimeMs) return view;
    this.view = undefined;
    this.options.counters.scaleLevels(1 / this.options.getFleetSize());
    this.options.logger.warn("view.lost", {
      ageMs: Math.round(age),
      linked: this.options.countLinkedReaders(),
    });
    return undefined;
  }
}
