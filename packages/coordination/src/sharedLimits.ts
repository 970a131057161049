/**
 * Limits over all entries, lent in shares: for each name one entry (by rendezvous hash over the live entries) lends
 * parts of the limit to the entries that ask, for a short time. Shares follow demand; a share that is not asked for
 * again comes back by itself.
 *
 * How much can be let through too much, and when:
 * - one lender, everybody linked: nothing. What is lent out and not yet over is never above the limit.
 * - entries cut off from each other: nothing beyond rounding. A lender lends only the part of the limit that belongs
 *   to the entries it reaches; the others fall to the equal split, which is the part it left to them.
 * - an entry's first request of a name: its equal split once, until the lender has answered.
 * - the lender lost or replaced: the new one renews what askers still hold and lends nothing else until every share
 *   of the old one is over. Entries that ask it without a share have the equal split: at most the limit once more,
 *   for at most one loan's time.
 * @module
 */
import { type Clock, sortByRendezvous } from "@gladewall/kernel";

/** Amounts of one limit or share, one a dimension. */
export type Amounts = readonly number[];

/** Whether a dimension can be divided or is a whole number of things. */
export enum AmountKind {
  Divisible = 1,
  Whole = 2,
}

/** Who the entries are, as this one sees it. */
export interface LimitMembers {
  /** Names of all live entries, this one too. */
  getLive(): readonly string[];
  /** Whether an entry can be reached now; this one always can. */
  isReachable(name: string): boolean;
}

/** An entry's wish. */
export interface ShareDemand {
  /** What it could use. */
  readonly wanted: Amounts;
  /** What it still holds, zeros where nothing. */
  readonly held: Amounts;
}

interface Loan {
  readonly amounts: Amounts;
  readonly wanted: Amounts;
  /** Monotonic time at which it ends. */
  readonly until: number;
}

interface Ledger {
  readonly startedAt: number;
  readonly loans: Map<string, Loan>;
}

/** Returns the entry that lends a name's limit. */
export function getAllocator(name: string, live: readonly string[]): string | undefined {
  return sortByRendezvous(`lender/${name}`, live, (entry) => entry)[0];
}

/** Returns the part of a limit that an entry has without asking: an equal split; wholes that are left go by hash. */
export function getEqualSplit(
  name: string,
  limit: Amounts,
  kinds: readonly AmountKind[],
  entry: string,
  live: readonly string[],
): Amounts {
  const order = sortByRendezvous(`split/${name}`, live, (each) => each);
  const place = Math.max(0, order.indexOf(entry));
  const count = Math.max(1, live.length);
  return limit.map((amount, dimension) => {
    if (kinds[dimension] === AmountKind.Divisible) return amount / count;
    const rest = place < amount % count ? 1 : 0;
    return Math.floor(amount / count) + rest;
  });
}

/** Lends limits to entries. One object serves all names whose lender this entry is. */
export class ShareAllocator {
  private readonly ledgers = new Map<string, Ledger>();

  private constructor(
    private readonly clock: Clock,
    private readonly own: string,
    private readonly members: LimitMembers,
    private readonly kinds: readonly AmountKind[],
    private readonly duration: number,
  ) {}

  /** `duration`: milliseconds for which a share is lent. */
  static create(
    clock: Clock,
    own: string,
    members: LimitMembers,
    kinds: readonly AmountKind[],
    duration: number,
  ): ShareAllocator {
    return new ShareAllocator(clock, own, members, kinds, duration);
  }

  /** Names that something is lent of. */
  get size(): number {
    return this.ledgers.size;
  }

  /** Lends an entry a share of a limit; undefined where another entry is the lender, or this one is it too newly. */
  allocate(name: string, limit: Amounts, borrower: string, demand: ShareDemand): Amounts | undefined {
    const live = this.members.getLive();
    if (getAllocator(name, live) !== this.own) {
      this.ledgers.delete(name);
      return undefined;
    }
    const now = this.clock.getTime();
    const ledger = this.getLedger(name, now);
    dropOver(ledger, now);
    const pool = this.getPool(limit, live);
    const isNew = now - ledger.startedAt < this.duration;
    // What the lender before this one lent is not known here: who holds nothing has the equal split for now.
    if (isNew && demand.held.every((amount) => amount === 0)) return undefined;
    const amounts = pool.map((amount, dimension) =>
      isNew
        ? Math.min(demand.held[dimension] ?? 0, this.getFree(ledger, amount, dimension, borrower))
        : this.getGrant(ledger, amount, dimension, borrower, demand, live.length),
    );
    ledger.loans.set(borrower, { amounts, wanted: demand.wanted, until: now + this.duration });
    return amounts;
  }

  private getLedger(name: string, now: number): Ledger {
    let ledger = this.ledgers.get(name);
    if (!ledger) this.ledgers.set(name, (ledger = { startedAt: now, loans: new Map() }));
    return ledger;
  }

  /** The part of a limit that belongs to the entries that can be reached. */
  private getPool(limit: Amounts, live: readonly string[]): Amounts {
    const reachable = live.filter((name) => name === this.own || this.members.isReachable(name)).length;
    const part = reachable / Math.max(1, live.length);
    return limit.map((amount, dimension) => this.round(amount * part, dimension));
  }

  /**
   * A share in proportion to demand, as far as it is free. What nobody wants is spread over all live entries, not over
   * those that have asked, and one part is kept back: whoever asks next, or joins, must find something.
   */
  private getGrant(
    ledger: Ledger,
    pool: number,
    dimension: number,
    borrower: string,
    demand: ShareDemand,
    liveCount: number,
  ): number {
    let others = 0;
    for (const [name, loan] of ledger.loans) {
      if (name !== borrower) others += loan.wanted[dimension] ?? 0;
    }
    const wanted = demand.wanted[dimension] ?? 0;
    const total = others + wanted;
    const fair = total <= pool ? wanted + (pool - total) / (liveCount + 1) : (pool * wanted) / total;
    const free = this.getFree(ledger, pool, dimension, borrower);
    return Math.max(0, Math.min(this.round(fair, dimension), free));
  }

  private getFree(ledger: Ledger, pool: number, dimension: number, borrower: string): number {
    let lent = 0;
    for (const [name, loan] of ledger.loans) {
      if (name !== borrower) lent += loan.amounts[dimension] ?? 0;
    }
    return Math.max(0, pool - lent);
  }

  private round(amount: number, dimension: number): number {
    return this.kinds[dimension] === AmountKind.Whole ? Math.floor(amount) : amount;
  }
}

function dropOver(ledger: Ledger, now: number): void {
  for (const [name, loan] of ledger.loans) {
    if (loan.until <= now) ledger.loans.delete(name);
  }
}
