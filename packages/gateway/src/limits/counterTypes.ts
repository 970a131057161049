/**
 * Shapes of the counters that all instances share: what is counted, and what instances tell each other of it.
 * @module
 */

/** What is counted. */
export enum CounterKind {
  /** Quota units, by workspace. */
  Quota = 1,
  /** Requests, by service. */
  Requests = 2,
  /** Arrivals at endpoints after the first one of each request, by service. */
  Retries = 3,
  /** Prompt tokens, by service. */
  PromptTokens = 4,
}

/** Running totals of an instance since its start, by `kind:name`. */
export type CounterTotals = Readonly<Record<string, number>>;

/** The counts in an instance's report. */
export interface CounterReport {
  /** Milliseconds since the start of the instance. */
  readonly uptime: number;
  readonly totals: CounterTotals;
  /** The fleet's sums as counted by the sender, for instances that started later. */
  readonly sums: CounterTotals;
}

/** A collector's counts of the whole fleet, for instances that receive no other reports. */
export interface CounterView {
  /** Milliseconds since the sender's start. */
  readonly uptime: number;
  /** Whether the sums include what was counted before the sender's start. */
  readonly isInformed: boolean;
  readonly sums: CounterTotals;
  /** Units of each limit that the fleet took over the last `rateWindowMs`. */
  readonly inflows: CounterTotals;
  /**
   * The totals of each peer that the sums include; left out for an instance that receives no reports from
   * peers.
   */
  readonly included?: Readonly<Record<string, PeerTotals>>;
}

/** The totals that a peer has reported since one start; `life` identifies that start. */
export interface PeerTotals {
  readonly life: string;
  readonly totals: CounterTotals;
}
