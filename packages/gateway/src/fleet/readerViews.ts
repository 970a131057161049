/**
 * Keeps the last view: a reader's reply to a report of this instance in a large fleet, with the fleet's sums
 * and work as of that report.
 * @module
 */
import type { PeerIdentity } from "@gladewall/coordination";
import type { Clock, Logger } from "@gladewall/kernel";
import type { EndpointWork } from "../endpoints/endpointWork.js";
import type { ViewMessage } from "./memberMessages.js";
import type { SharedCounters } from "../counters/sharedCounters.js";
import type { CounterTotals, CounterView } from "../limits/counterTypes.js";

/** Options of the views. */
export interface ReaderViewsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly counters: SharedCounters;
  /** Returns the number of listed instances, including this one. */
  readonly getFleetSize: () => number;
  readonly countLinkedReaders: () => number;
}

/** The view in the last reply of the selected reader. */
export interface FleetView {
  readonly work: EndpointWork;
  readonly knownShare: number;
  readonly receivedAt: number;
}

/** The totals that this instance sent in one report, and the boot time at which it sent them. */
interface SentReport {
  readonly totals: CounterTotals;
  readonly at: number;
}

/** Without a view for this long, an instance uses no more than its own part of shared limits. */
const viewLifetimeMs = 1_500;
/** A reader that started this much later than this instance may lack what was counted before its start. */
const uptimeToleranceMs = 1_000;
const keptReports = 16;

/** The last view, and the sent reports to which a view may be the reply. */
export class ReaderViews {
  /** The last reports sent, by their number. */
  private readonly sentReports = new Map<number, SentReport>();
  private view: FleetView | undefined;
  /** Whether a reader lacks what was counted before its start. */
  private isHistoryRequested = false;

  private constructor(private readonly options: ReaderViewsOptions) {}

  static create(options: ReaderViewsOptions): ReaderViews {
    return new ReaderViews(options);
  }

  /** Records the totals that were sent in a report. */
  recordReport(sequence: number, totals: CounterTotals): void {
    this.sentReports.set(sequence, { totals, at: this.options.clock.getBootTime() });
    this.sentReports.delete(sequence - keptReports);
  }

  /** Returns the boot time at which a report was sent; undefined if it is no longer known. */
  findSentAt(sequence: number): number | undefined {
    return this.sentReports.get(sequence)?.at;
  }

  /**
   * Returns whether the next report should contain what was counted before the reader's start, and resets that
   * request.
   */
  takeHistoryRequest(): boolean {
    const isRequested = this.isHistoryRequested;
    this.isHistoryRequested = false;
    return isRequested;
  }

  /** Milliseconds since the last view was received; undefined before the first, and after it has expired. */
  get age(): number | undefined {
    return this.view && this.options.clock.getTime() - this.view.receivedAt;
  }

  /**
   * Applies a view; returns whether it was used. A view is discarded if its reader started later than this
   * instance and lacks counts from before its start that this instance has.
   */
  applyView({ sequence, counters, work, knownShare }: ViewMessage, peer: PeerIdentity): boolean {
    const report = this.sentReports.get(sequence);
    if (!report) return false;
    const { clock, logger, counters: ownCounters } = this.options;
    if (
      !counters.isInformed &&
      ownCounters.getUptime() > counters.uptime + uptimeToleranceMs &&
      ownCounters.knowsHistory
    ) {
      this.isHistoryRequested = true;
      logger.debug("view.passed-over", { peer: peer.name, uptimeMs: counters.uptime });
      return false;
    }
    ownCounters.applyView(counters, report.totals);
    this.view = { work, knownShare, receivedAt: clock.getTime() };
    return true;
  }

  /**
   * Applies another collector's counts as of one of this instance's reports; returns false if that report is no
   * longer known.
   */
  applyCounts(sequence: number, counters: CounterView): boolean {
    const report = this.sentReports.get(sequence);
    if (report) this.options.counters.applyView(counters, report.totals);
    return report !== undefined;
  }

  /**
   * Returns the last view while it is recent enough. After that, the instance is limited to its own part of
   * shared limits.
   */
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
