/**
 * Counters that all instances share: each tells its running totals, and every instance keeps the fleet's sums over
 * sliding windows. A total that was missed is made up by the next one, so lost messages cost only time.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { GrantDecision } from "./memberMessages.js";
import { LeakyBucket } from "./leakyBucket.js";
import { SlidingWindow } from "./slidingWindow.js";

/** What is counted. */
export enum CounterKind {
  /** Quota units by workspace. */
  Quota = 1,
  /** Requests by service. */
  Requests = 2,
  /** Arrivals at endpoints past the first of each request, by service. */
  Retries = 3,
  /** Prompt tokens by service. */
  PromptTokens = 4,
}

/** Running totals of one life of an instance, by `kind:name`. */
export type CounterTotals = Readonly<Record<string, number>>;

/** What one instance tells. */
export interface CounterReport {
  /** Milliseconds that this life has lasted. */
  readonly uptime: number;
  readonly totals: CounterTotals;
  /** The fleet's sums as the teller knows them, for lives that began later. */
  readonly sums: CounterTotals;
}

/** What an instance that hears the whole fleet knows, for those that hear only it. */
export interface CounterView {
  /** Milliseconds that the teller's life has lasted. */
  readonly uptime: number;
  /** Whether the sums hold what was counted before that life. */
  readonly isInformed: boolean;
  readonly sums: CounterTotals;
  /** Units of each limit that the fleet took over the last `rateWindowMs`. */
  readonly inflows: CounterTotals;
  /** What the sums include of each peer; left out for who hears no peers itself. */
  readonly included?: Readonly<Record<string, PeerTotals>>;
}

/** What one life of a peer has told in all. */
export interface PeerTotals {
  readonly life: string;
  readonly totals: CounterTotals;
}

interface ReceivedTotals extends PeerTotals {
  readonly receivedAt: number;
}

/** A peer's new total of one count, told ahead of its report. */
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
  /** Name of this instance among its peers; left out where it has none. */
  readonly own?: string;
  /** Window of each kind, milliseconds. */
  readonly windows: Readonly<Record<CounterKind, number>>;
}

/** Time over which the fleet's use of a limit is measured, to foresee what a view does not show yet. */
const rateWindowMs = 1_000;
/** Longest time for which use is foreseen from one view. */
const maxExtrapolationMs = 1_000;

/** This instance's counters and the fleet's sums. */
export class SharedCounters {
  private readonly own: Record<string, number> = {};
  /** This life's totals that one who hears the whole fleet is known to have counted. */
  private readonly confirmed: Record<string, number> = {};
  private readonly sums = new Map<string, SlidingWindow>();
  private readonly buckets = new Map<string, LeakyBucket>();
  private readonly ownSums = new Map<string, SlidingWindow>();
  private readonly peers = new Map<string, ReceivedTotals>();
  /** Use of limits over the last moments, by key. */
  private readonly inflows = new Map<string, SlidingWindow>();
  private readonly startedAt: number;
  private viewInflows: CounterTotals = {};
  private viewAppliedAt = -Infinity;
  /** Whether the last view said what it includes of each peer. */
  private hasPeerTotals = false;
  /** Whether the sums from before this life were taken over from a peer. */
  private hasHistory = false;

  private constructor(private readonly options: SharedCountersOptions) {
    this.startedAt = options.clock.getTime();
  }

  static create(options: SharedCountersOptions): SharedCounters {
    return new SharedCounters(options);
  }

  /** Counts here. A negative amount takes back what was counted before. */
  add(kind: CounterKind, name: string, amount: number): void {
    const time = this.options.clock.getTime();
    const key = createKey(kind, name);
    this.own[key] = (this.own[key] ?? 0) + amount;
    this.addToTotal(kind, key, time, amount);
    this.getWindow(this.ownSums, kind, key).add(time, amount);
  }

  /**
   * Takes back units of a limit that were added at a time. What has lapsed since can't be given back: of 100 units taken,
   * lapsed and taken again, the first 100 given back let 100 more run.
   */
  refund(name: string, amount: number, addedAt: number): void {
    const lowest = this.getBucket(createKey(CounterKind.Quota, name)).getLowestSince(
      this.options.clock.getTime(),
      addedAt,
    );
    this.add(CounterKind.Quota, name, -Math.min(amount, lowest));
  }

  /** What this life has counted in all. */
  getOwnTotal(kind: CounterKind, name: string): number {
    return this.own[createKey(kind, name)] ?? 0;
  }

  /** What was counted here and nobody else is known to have counted. */
  getUnreported(kind: CounterKind, name: string): number {
    return Math.max(0, this.getOwnTotal(kind, name) - (this.confirmed[createKey(kind, name)] ?? 0));
  }

  /** Takes note that another has counted this life's total. */
  confirm(kind: CounterKind, name: string, total: number): void {
    const key = createKey(kind, name);
    this.confirmed[key] = Math.max(this.confirmed[key] ?? 0, total);
  }

  /** Takes the level of a limit as another instance counts it, which includes this life's total up to `told`. */
  applyLevel(name: string, level: number, told: number, isCounted: boolean): void {
    const key = createKey(CounterKind.Quota, name);
    if (isCounted) this.confirm(CounterKind.Quota, name, told);
    const since = Math.max(0, this.getOwnTotal(CounterKind.Quota, name) - told);
    this.getBucket(key).set(this.options.clock.getTime(), level + since);
  }

  /** Counts a peer's new total, where `mayTake` allows what it adds. */
  applyTotal(
    kind: CounterKind.Quota | CounterKind.Retries,
    { peer, life, uptime, name, total }: EarlyTotal,
    mayTake: (amount: number) => boolean,
  ): GrantDecision {
    const time = this.options.clock.getTime();
    const known = this.peers.get(peer);
    const isSameLife = known?.life === life;
    if (!isSameLife && uptime >= this.longestWindow) return GrantDecision.Unknown;
    const key = createKey(kind, name);
    const before: CounterTotals = isSameLife ? known.totals : {};
    const amount = total - (before[key] ?? 0);
    if (amount <= 0) return GrantDecision.Granted;
    if (!mayTake(amount)) return GrantDecision.Refused;
    this.addToTotal(kind, key, time, amount);
    const heardAt = isSameLife ? known.receivedAt : time;
    this.peers.set(peer, { life, totals: { ...before, [key]: total }, receivedAt: heardAt });
    return GrantDecision.Granted;
  }

  /** Returns the fleet's sum over the window that ends now; of limits, the level of their bucket. */
  getSum(kind: CounterKind, name: string): number {
    const time = this.options.clock.getTime();
    return this.getKnownSum(kind, name) + this.extrapolate(createKey(kind, name), time);
  }

  /** The same without what is foreseen. */
  getKnownSum(kind: CounterKind, name: string): number {
    return this.getTotal(kind, createKey(kind, name)).getSum(this.options.clock.getTime());
  }

  /** What the fleet is expected to have taken of a limit since the last view, by what it took before. */
  private extrapolate(key: string, time: number): number {
    const inflow = this.viewInflows[key];
    if (inflow === undefined) return 0;
    const age = time - this.viewAppliedAt;
    return age < maxExtrapolationMs ? (inflow * age) / rateWindowMs : 0;
  }

  /** Sets how fast a limit's level falls. */
  setRate(name: string, perSecond: number): void {
    const key = createKey(CounterKind.Quota, name);
    this.getBucket(key).setRate(this.options.clock.getTime(), perSecond);
  }

  /** Milliseconds until the fleet's sum will have fallen by an amount. */
  getTimeUntilFreed(kind: CounterKind, name: string, amount: number): number {
    const total = this.getTotal(kind, createKey(kind, name));
    return total.getTimeUntilFreed(this.options.clock.getTime(), amount);
  }

  /** Peers that have reported to this instance. */
  get reportingPeers(): number {
    return this.peers.size;
  }

  /** Whether what was counted before this life is known. */
  get knowsHistory(): boolean {
    return this.hasHistory || this.getUptime() > this.longestWindow;
  }

  /** Sets a sum to what it may have been before this life; for what a new life cannot know. */
  assumePriorUse(kind: CounterKind, name: string, amount: number): void {
    this.getTotal(kind, createKey(kind, name)).set(this.options.clock.getTime(), amount);
  }

  /** Milliseconds that this life has lasted. */
  getUptime(): number {
    return this.options.clock.getTime() - this.startedAt;
  }

  /** Returns the report; the fleet's sums are left out where nobody needs them. */
  createReport(hasSums = true): CounterReport {
    const sums = hasSums ? this.getSums() : {};
    return { uptime: Math.round(this.getUptime()), totals: { ...this.own }, sums };
  }

  /**
   * Returns what this instance, which hears the whole fleet, knows of it; for who begins to hear it too, with what is
   * included of each peer.
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
   * Takes a view in place of what was known; `told` are this life's totals that the view includes. A view by a life
   * that cannot know what was counted before it only raises what is known.
   */
  applyView({ sums, inflows, isInformed, included }: CounterView, told: CounterTotals): void {
    const time = this.options.clock.getTime();
    this.hasHistory ||= isInformed;
    this.viewAppliedAt = time;
    this.viewInflows = inflows;
    this.setPeerTotals(included);
    Object.assign(this.confirmed, told);
    for (const [key, sum] of Object.entries(sums)) {
      const kind: CounterKind = Number.parseInt(key, 10);
      if (this.options.windows[kind] === undefined) continue;
      const total = this.getTotal(kind, key);
      const sinceTold = (this.own[key] ?? 0) - (told[key] ?? 0);
      const known = isInformed ? 0 : total.getSum(time);
      total.set(time, Math.max(0, sum + sinceTold, known));
    }
  }

  private getPeerTotals(): Record<string, PeerTotals> {
    const entries = [...this.peers].map(([peer, { life, totals }]) => [peer, { life, totals }] as const);
    return Object.fromEntries(entries);
  }

  /**
   * What peers tell next is counted from what the view includes of them. Noted as included without that, what they took
   * between the view and their first word would be lost.
   */
  private setPeerTotals(included: CounterView["included"]): void {
    const heardAt = this.options.clock.getTime();
    this.peers.clear();
    this.hasPeerTotals = included !== undefined;
    for (const [peer, { life, totals }] of Object.entries(included ?? {})) {
      if (peer !== this.options.own) this.peers.set(peer, { life, totals, receivedAt: heardAt });
    }
  }

  /** Keeps only a part of every limit's level; for when the rest of the fleet is no longer heard. */
  scaleLevels(share: number): void {
    const time = this.options.clock.getTime();
    for (const bucket of this.buckets.values()) bucket.set(time, bucket.getSum(time) * share);
  }

  private get longestWindow(): number {
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

  /** Takes what a peer tells of one of its lives. */
  applyReport(peer: string, life: string, { uptime, totals, sums }: CounterReport): void {
    const time = this.options.clock.getTime();
    this.adoptHistory(uptime, sums);
    const known = this.peers.get(peer);
    const isSameLife = known?.life === life;
    // Of a life that is longer than every window, the adopted sums hold what counts; only what it adds is new. The
    // same holds of a young one where a view has just told of it without saying so.
    const mayBeIncluded = !this.hasPeerTotals && time - this.viewAppliedAt <= maxExtrapolationMs;
    const isYoung = uptime < this.longestWindow && !mayBeIncluded;
    if (isSameLife || isYoung) {
      const before = isSameLife ? known.totals : {};
      this.addDifferences(before, totals, isSameLife ? time - known.receivedAt : uptime);
    }
    this.peers.set(peer, { life, totals, receivedAt: time });
  }

  /** Takes over what was counted before this life from the first peer that has seen a whole window. */
  private adoptHistory(uptime: number, sums: CounterTotals): void {
    if (this.knowsHistory || uptime < this.longestWindow) return;
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
      // Of what came over a longer silence, only the part that can lie in the window counts.
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
