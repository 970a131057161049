/**
 * Counters that all instances share. Each instance reports its running totals, and every instance keeps the
 * fleet's sums over sliding windows. A lost report is made up for by the next one, because totals are
 * cumulative; lost messages only delay the sums.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import {
  CounterKind,
  type CounterReport,
  type CounterTotals,
  type CounterView,
  type PeerTotals,
} from "../limits/counterTypes.js";
import { GrantDecision } from "../limits/grantDecision.js";
import { LeakyBucket } from "../limits/leakyBucket.js";
import { SlidingWindow } from "./slidingWindow.js";

interface ReceivedTotals extends PeerTotals {
  readonly receivedAt: number;
}

/** A peer's new total of one count, sent before its next report. */
export interface EarlyTotal {
  readonly peer: string;
  readonly life: string;
  readonly uptime: number;
  readonly name: string;
  readonly total: number;
}

/** Options of the counters. */
export interface SharedCountersOptions {
  readonly clock: Clock;
  /** Name of this instance among its peers; left out if it has none. */
  readonly ownName?: string;
  /** Window of each kind, in milliseconds. */
  readonly windows: Readonly<Record<CounterKind, number>>;
}

/** Time over which the fleet's use of a limit is measured, to extrapolate what a view does not include yet. */
const rateWindowMs = 1_000;
/** Longest time for which use is extrapolated from one view. */
const maxExtrapolationMs = 1_000;

/** This instance's counters and the fleet's sums. */
export class SharedCounters {
  private readonly ownCounts: Record<string, number> = {};
  /** This instance's totals that some collector is known to have counted. */
  private readonly confirmed: Record<string, number> = {};
  private readonly sums = new Map<string, SlidingWindow>();
  private readonly buckets = new Map<string, LeakyBucket>();
  private readonly ownSums = new Map<string, SlidingWindow>();
  private readonly peers = new Map<string, ReceivedTotals>();
  /** Use of limits over the last `rateWindowMs`, by key. */
  private readonly inflows = new Map<string, SlidingWindow>();
  private readonly startedAt: number;
  private viewInflows: CounterTotals = {};
  private viewAppliedAt = -Infinity;
  /** Whether the last view contained the totals of each peer that it includes. */
  private hasPeerTotals = false;
  /** Whether the sums from before this instance's start were adopted from a peer. */
  private hasHistory = false;

  private constructor(private readonly options: SharedCountersOptions) {
    this.startedAt = options.clock.getTime();
  }

  static create(options: SharedCountersOptions): SharedCounters {
    return new SharedCounters(options);
  }

  /** Adds an amount to this instance's counts. A negative amount takes back what was counted before. */
  add(kind: CounterKind, name: string, amount: number): void {
    const time = this.options.clock.getTime();
    const key = createKey(kind, name);
    this.ownCounts[key] = (this.ownCounts[key] ?? 0) + amount;
    this.addToTotal(kind, key, time, amount);
    this.getWindow(this.ownSums, kind, key).add(time, amount);
  }

  /**
   * Refunds units of a limit that were added at a time. Units that have lapsed since are not refunded:
   * otherwise, if 100 units are taken, lapse and are taken again, refunding the first 100 would admit 100 more.
   */
  refund(name: string, amount: number, addedAt: number): void {
    const lowest = this.getBucket(createKey(CounterKind.Quota, name)).getMinLevelSince(
      this.options.clock.getTime(),
      addedAt,
    );
    this.add(CounterKind.Quota, name, -Math.min(amount, lowest));
  }

  /** Returns what this instance has counted since its start. */
  getOwnTotal(kind: CounterKind, name: string): number {
    return this.ownCounts[createKey(kind, name)] ?? 0;
  }

  /** Returns what was counted here and no other instance is known to have counted. */
  getUnreported(kind: CounterKind, name: string): number {
    return Math.max(0, this.getOwnTotal(kind, name) - (this.confirmed[createKey(kind, name)] ?? 0));
  }

  /** Records that another instance has counted a total of this instance. */
  private confirm(key: string, total: number): void {
    this.confirmed[key] = Math.max(this.confirmed[key] ?? 0, total);
  }

  /**
   * Applies the level of a limit by another instance's count, which includes this instance's total up to
   * `countedTotal`.
   */
  applyLevel(name: string, level: number, countedTotal: number, isCounted: boolean): void {
    const key = createKey(CounterKind.Quota, name);
    if (isCounted) this.confirm(key, countedTotal);
    const since = Math.max(0, this.getOwnTotal(CounterKind.Quota, name) - countedTotal);
    this.getBucket(key).set(this.options.clock.getTime(), level + since);
  }

  /**
   * Lowers the counted total of a peer for a limit if it is higher than `total`. The messages of a peer arrive in the order in which
   * it sends them, so a lower total is newer: the peer has taken back units that were granted together with those of other requests.
   */
  lowerTotal({ peer, life, name, total }: Omit<EarlyTotal, "uptime">): void {
    const known = this.peers.get(peer);
    if (known?.life !== life) return;
    const key = createKey(CounterKind.Quota, name);
    const excess = (known.totals[key] ?? 0) - total;
    if (!(excess > 0)) return;
    this.addToTotal(CounterKind.Quota, key, this.options.clock.getTime(), -excess);
    this.peers.set(peer, { ...known, totals: { ...known.totals, [key]: total } });
  }

  /** Counts a peer's new total for a limit if `mayTake` allows the increase. */
  applyTotal(
    { peer, life, uptime, name, total }: EarlyTotal,
    mayTake: (amount: number) => boolean,
  ): GrantDecision {
    const time = this.options.clock.getTime();
    const known = this.peers.get(peer);
    const isSameIncarnation = known?.life === life;
    if (!isSameIncarnation && uptime >= this.maxWindowMs) return GrantDecision.Unknown;
    const key = createKey(CounterKind.Quota, name);
    const before: CounterTotals = isSameIncarnation ? known.totals : {};
    const amount = total - (before[key] ?? 0);
    if (amount <= 0) return GrantDecision.Granted;
    if (!mayTake(amount)) return GrantDecision.Refused;
    this.addToTotal(CounterKind.Quota, key, time, amount);
    const receivedAt = isSameIncarnation ? known.receivedAt : time;
    this.peers.set(peer, { life, totals: { ...before, [key]: total }, receivedAt });
    return GrantDecision.Granted;
  }

  /** Returns the fleet's sum over the window that ends now; for limits, the level of their bucket. */
  getSum(kind: CounterKind, name: string): number {
    const time = this.options.clock.getTime();
    return this.getKnownSum(kind, name) + this.extrapolate(createKey(kind, name), time);
  }

  /** Returns the same sum without the extrapolated use. */
  getKnownSum(kind: CounterKind, name: string): number {
    return this.getTotal(kind, createKey(kind, name)).getSum(this.options.clock.getTime());
  }

  /** Returns what the fleet is expected to have taken of a limit since the last view, by its rate before. */
  private extrapolate(key: string, time: number): number {
    const inflow = this.viewInflows[key];
    if (inflow === undefined) return 0;
    const age = time - this.viewAppliedAt;
    return age < maxExtrapolationMs ? (inflow * age) / rateWindowMs : 0;
  }

  /** Sets how fast a limit's level falls, in units a second. */
  setRate(name: string, perSecond: number): void {
    const key = createKey(CounterKind.Quota, name);
    this.getBucket(key).setRate(this.options.clock.getTime(), perSecond);
  }

  /** Milliseconds until the fleet's sum will have fallen by an amount. */
  getTimeUntilFreed(kind: CounterKind, name: string, amount: number): number {
    const total = this.getTotal(kind, createKey(kind, name));
    return total.getTimeUntilFreed(this.options.clock.getTime(), amount);
  }

  /** Number of peers that have reported to this instance. */
  get reportingPeers(): number {
    return this.peers.size;
  }

  /** Whether the counts from before this instance's start are known. */
  get knowsHistory(): boolean {
    return this.hasHistory || this.getUptime() > this.maxWindowMs;
  }

  /**
   * Sets a sum to what it may have been before this instance's start, because a new instance cannot know it.
   */
  assumePriorUse(kind: CounterKind, name: string, amount: number): void {
    this.getTotal(kind, createKey(kind, name)).set(this.options.clock.getTime(), amount);
  }

  /** Milliseconds since the start of the instance. */
  getUptime(): number {
    return this.options.clock.getTime() - this.startedAt;
  }

  /** Returns the report; the fleet's sums are left out if no receiver needs them. */
  createReport(hasSums = true): CounterReport {
    const sums = hasSums ? this.getSums() : {};
    return { uptime: Math.round(this.getUptime()), totals: { ...this.ownCounts }, sums };
  }

  /**
   * Returns this collector's counts of the whole fleet. With `hasIncluded` they contain the totals of each peer
   * that they include, for an instance that becomes a collector itself.
   */
  createView(hasIncluded = true): CounterView {
    const time = this.options.clock.getTime();
    const inflows: Record<string, number> = {};
    for (const [key, inflow] of this.inflows) inflows[key] = Math.max(0, Math.round(inflow.getSum(time)));
    const uptime = Math.round(this.getUptime());
    const view = { uptime, isInformed: this.knowsHistory, sums: this.getSums(), inflows };
    return hasIncluded ? { ...view, included: this.getPeerTotals() } : view;
  }

  /**
   * Replaces the sums by those of a view; `ownTotals` are this instance's totals that the view includes. A view
   * of an instance that cannot know what was counted before its start only raises the sums.
   */
  applyView({ sums, inflows, isInformed, included }: CounterView, ownTotals: CounterTotals): void {
    const time = this.options.clock.getTime();
    this.hasHistory ||= isInformed;
    this.viewAppliedAt = time;
    this.viewInflows = inflows;
    this.setPeerTotals(included);
    Object.assign(this.confirmed, ownTotals);
    for (const [key, sum] of Object.entries(sums)) {
      const kind: CounterKind = Number.parseInt(key, 10);
      if (this.options.windows[kind] === undefined) continue;
      const total = this.getTotal(kind, key);
      const sinceView = (this.ownCounts[key] ?? 0) - (ownTotals[key] ?? 0);
      const known = isInformed ? 0 : total.getSum(time);
      total.set(time, Math.max(0, sum + sinceView, known));
    }
  }

  private getPeerTotals(): Record<string, PeerTotals> {
    const entries = [...this.peers].map(([peer, { life, totals }]) => [peer, { life, totals }] as const);
    return Object.fromEntries(entries);
  }

  /**
   * The next reports of peers are counted from the totals that the view includes. If the peers were only
   * recorded as included, without their totals, what they took between the view and their first report would be
   * lost.
   */
  private setPeerTotals(included: CounterView["included"]): void {
    const receivedAt = this.options.clock.getTime();
    this.peers.clear();
    this.hasPeerTotals = included !== undefined;
    for (const [peer, { life, totals }] of Object.entries(included ?? {})) {
      if (peer !== this.options.ownName) this.peers.set(peer, { life, totals, receivedAt });
    }
  }

  /**
   * Reduces the level of every limit to a share of it; called when no counts of the rest of the fleet arrive
   * any more.
   */
  scaleLevels(share: number): void {
    const time = this.options.clock.getTime();
    for (const bucket of this.buckets.values()) bucket.set(time, bucket.getSum(time) * share);
  }

  private get maxWindowMs(): number {
    return Math.max(...Object.values(this.options.windows));
  }

  private getSums(): CounterTotals {
    const time = this.options.clock.getTime();
    const sums: Record<string, number> = {};
    for (const [key, total] of [...this.sums, ...this.buckets]) sums[key] = Math.round(total.getSum(time));
    return sums;
  }

  private addToTotal(kind: CounterKind, key: string, time: number, amount: number): void {
    this.getTotal(kind, key).add(time, amount);
    if (kind !== CounterKind.Quota) return;
    let inflow = this.inflows.get(key);
    if (!inflow) this.inflows.set(key, (inflow = SlidingWindow.create(rateWindowMs)));
    inflow.add(time, amount);
  }

  /** Applies a peer's report; `incarnation` identifies the peer's start. */
  applyReport(peer: string, incarnation: string, { uptime, totals, sums }: CounterReport): void {
    const time = this.options.clock.getTime();
    this.adoptHistory(uptime, sums);
    const known = this.peers.get(peer);
    const isSameIncarnation = known?.life === incarnation;
    // If the peer has run for longer than every window, the adopted sums include what counts, and only later
    // increases are new. The same holds for a recently started peer if a view has just been applied that did not
    // contain the totals of each peer that it includes.
    const mayBeIncluded = !this.hasPeerTotals && time - this.viewAppliedAt <= maxExtrapolationMs;
    const isYoung = uptime < this.maxWindowMs && !mayBeIncluded;
    if (isSameIncarnation || isYoung) {
      const before = isSameIncarnation ? known.totals : {};
      this.addDifferences(before, totals, isSameIncarnation ? time - known.receivedAt : uptime);
    }
    this.peers.set(peer, { life: incarnation, totals, receivedAt: time });
  }

  /** Adopts the sums from before this instance's start from the first peer that has run for a whole window. */
  private adoptHistory(uptime: number, sums: CounterTotals): void {
    if (this.knowsHistory || uptime < this.maxWindowMs) return;
    if (Object.keys(sums).length === 0) return;
    this.hasHistory = true;
    const time = this.options.clock.getTime();
    this.sums.clear();
    for (const [key, sum] of Object.entries(sums)) {
      const kind: CounterKind = Number.parseInt(key, 10);
      if (this.options.windows[kind] === undefined) continue;
      const total = this.getTotal(kind, key);
      total.set(time, sum);
      total.add(time, this.ownSums.get(key)?.getSum(time) ?? 0);
    }
  }

  private addDifferences(before: CounterTotals, totals: CounterTotals, elapsed: number): void {
    const time = this.options.clock.getTime();
    for (const [key, total] of Object.entries(totals)) {
      const amount = total - (before[key] ?? 0);
      if (amount === 0) continue;
      const kind: CounterKind = Number.parseInt(key, 10);
      const windowMs = this.options.windows[kind];
      if (windowMs === undefined) continue;
      // If the last report is older than the window, only the part of the increase that can lie in the window
      // counts.
      const share = elapsed > windowMs ? windowMs / elapsed : 1;
      this.addToTotal(kind, key, time, amount * share);
    }
  }

  private getTotal(kind: CounterKind, key: string): SlidingWindow | LeakyBucket {
    return kind === CounterKind.Quota ? this.getBucket(key) : this.getWindow(this.sums, kind, key);
  }

  private getBucket(key: string): LeakyBucket {
    let bucket = this.buckets.get(key);
    if (!bucket) this.buckets.set(key, (bucket = LeakyBucket.create()));
    return bucket;
  }

  private getWindow(windows: Map<string, SlidingWindow>, kind: CounterKind, key: string): SlidingWindow {
    let window = windows.get(key);
    if (!window) windows.set(key, (window = SlidingWindow.create(this.options.windows[kind])));
    return window;
  }
}

function createKey(kind: CounterKind, name: string): string {
  return `${kind}:${name}`;
}
