/**
 * Counters that all nodes share: each tells its running totals, and every node keeps the fleet's sums over sliding
 * windows. A total that was missed is made up by the next one, so lost messages cost only time.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { LeakyBucket } from "./leakyBucket.js";
import { SlidingWindow } from "./slidingWindow.js";

/** What is counted. */
export enum CounterKind {
  /** Quota units by tenant. */
  Quota = 1,
  /** Requests by service. */
  Requests = 2,
  /** Arrivals at backends past the first of each request, by service. */
  Repeats = 3,
  /** Prompt tokens by service. */
  Work = 4,
}

/** Running totals of one life of a node, by `kind:name`. */
export type CounterTotals = Readonly<Record<string, number>>;

/** What one node tells. */
export interface CounterReport {
  /** Milliseconds that this life has lasted. */
  readonly uptime: number;
  readonly totals: CounterTotals;
  /** The fleet's sums as the teller knows them, for lives that began later. */
  readonly sums: CounterTotals;
}

interface PeerTotals {
  life: string;
  totals: CounterTotals;
  heardAt: number;
}

/** Options of the counters. */
export interface SharedCountersOptions {
  readonly clock: Clock;
  /** Window of each kind, milliseconds. */
  readonly windows: Readonly<Record<CounterKind, number>>;
}

/** This node's counters and the fleet's sums. */
export class SharedCounters {
  private readonly own: Record<string, number> = {};
  private readonly sums = new Map<string, SlidingWindow>();
  private readonly buckets = new Map<string, LeakyBucket>();
  private readonly ownSums = new Map<string, SlidingWindow>();
  private readonly peers = new Map<string, PeerTotals>();
  private readonly startedAt: number;
  /** Whether the sums from before this life were taken over from a peer. */
  private hasAdopted = false;

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
    this.getTotal(kind, key).add(time, amount);
    this.getWindow(this.ownSums, kind, key).add(time, amount);
  }

  /** Returns the fleet's sum over the window that ends now; of limits, the level of their bucket. */
  getSum(kind: CounterKind, name: string): number {
    return this.getTotal(kind, createKey(kind, name)).getSum(this.options.clock.getTime());
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

  /** Whether what was counted before this life is known. */
  get isInformed(): boolean {
    return this.hasAdopted;
  }

  /** Sets a sum to what it may have been before this life; for what a new life cannot know. */
  seed(kind: CounterKind, name: string, amount: number): void {
    this.getTotal(kind, createKey(kind, name)).seed(this.options.clock.getTime(), amount);
  }

  /** Milliseconds that this life has lasted. */
  getUptime(): number {
    return this.options.clock.getTime() - this.startedAt;
  }

  createReport(): CounterReport {
    const time = this.options.clock.getTime();
    const sums: Record<string, number> = {};
    for (const [key, total] of [...this.sums, ...this.buckets]) sums[key] = Math.round(total.getSum(time));
    return { uptime: Math.round(this.getUptime()), totals: { ...this.own }, sums };
  }

  /** Takes what a peer tells of one of its lives. */
  takeReport(peer: string, life: string, { uptime, totals, sums }: CounterReport): void {
    const time = this.options.clock.getTime();
    this.adopt(uptime, sums);
    const known = this.peers.get(peer);
    const isSameLife = known?.life === life;
    // Of a life that is longer than every window, the adopted sums hold what counts; only what it adds is new.
    const isYoung = uptime < Math.max(...Object.values(this.options.windows));
    if (isSameLife || isYoung) {
      const before = isSameLife ? known.totals : {};
      this.addDifferences(before, totals, isSameLife ? time - known.heardAt : uptime);
    }
    this.peers.set(peer, { life, totals, heardAt: time });
  }

  /** Takes over what was counted before this life from the first peer that has seen a whole window. */
  private adopt(uptime: number, sums: CounterTotals): void {
    const longest = Math.max(...Object.values(this.options.windows));
    if (this.hasAdopted || uptime < longest || this.getUptime() > longest) return;
    this.hasAdopted = true;
    const time = this.options.clock.getTime();
    this.sums.clear();
    for (const [key, sum] of Object.entries(sums)) {
      const kind: CounterKind = Number.parseInt(key, 10);
      if (this.options.windows[kind] === undefined) continue;
      const total = this.getTotal(kind, key);
      total.seed(time, sum);
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
      this.getTotal(kind, key).add(time, amount * share);
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
