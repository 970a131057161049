/**
 * Divides limits among all entries. For each name one entry, the allocator (chosen by rendezvous hashing over the live
 * entries), allocates shares of the limit to the entries that request them. Shares follow demand and expire after a
 * short time unless they are renewed.
 *
 * How far the limit can be exceeded, and when:
 * - One allocator, all entries linked: not at all. The unexpired allocations never add up to more than the limit.
 * - Entries partitioned from each other: not beyond rounding. An allocator divides only the part of the limit
 *   that belongs to the entries that it reaches. The others fall back to the equal split, which is the part it
 *   does not divide.
 * - First request of a name at an entry: by its equal split, once, until the allocator has replied.
 * - Allocator lost or replaced: the new one renews the shares that entries still hold, and allocates nothing
 *   else until all shares of the old one have expired. Entries without a share use the equal split: in total at
 *   most the limit once more, for at most the duration of one allocation.
 * @module
 */
import { type Clock, sortByRendezvous } from "@gladewall/kernel";

/** Amounts of a limit or share, one per dimension. */
export type Amounts = readonly number[];

/** Whether the amounts of a dimension are real numbers or whole numbers. */
export enum AmountKind {
  Divisible = 1,
  Whole = 2,
}

/** Live and reachable entries, as this entry sees them. */
export interface LimitMembers {
  /** Returns the names of all live entries, including this one. */
  getLive(): readonly string[];
  /** Returns whether an entry can be reached now; this one always can. */
  isReachable(name: string): boolean;
}

/** Demand of an entry for a share. */
export interface ShareDemand {
  /** Amounts that the entry could use. */
  readonly wanted: Amounts;
  /** Amounts that the entry still holds; zeros if none. */
  readonly held: Amounts;
}

interface Allocation {
  readonly amounts: Amounts;
  readonly wanted: Amounts;
  /** Monotonic time at which the allocation expires. */
  readonly expiresAt: number;
}

interface AllocationTable {
  readonly startedAt: number;
  readonly allocations: Map<string, Allocation>;
}

/** Returns the entry that allocates the limit of a name; undefined if no entry is live. */
export function getAllocator(name: string, live: readonly string[]): string | undefined {
  return sortByRendezvous(`lender/${name}`, live, (entry) => entry)[0];
}

/**
 * Returns the part of a limit that an entry may use without an allocation: an equal split. The remainder of a
 * whole number is given, one unit each, to the entries that come first by rendezvous hashing.
 */
export function getEqualSplit(
  name: string,
  limit: Amounts,
  kinds: readonly AmountKind[],
  entry: string,
  live: readonly string[],
): Amounts {
  const order = sortByRendezvous(`split/${name}`, live, (each) => each);
  const position = Math.max(0, order.indexOf(entry));
  const count = Math.max(1, live.length);
  return limit.map((amount, dimension) => {
    if (kinds[dimension] === AmountKind.Divisible) return amount / count;
    const remainder = position < amount % count ? 1 : 0;
    return Math.floor(amount / count) + remainder;
  });
}

/** Allocates shares to entries. One object serves all names whose allocator this entry is. */
export class ShareAllocator {
  private readonly tables = new Map<string, AllocationTable>();

  private constructor(
    private readonly clock: Clock,
    private readonly own: string,
    private readonly members: LimitMembers,
    private readonly kinds: readonly AmountKind[],
    private readonly duration: number,
  ) {}

  /** `duration`: milliseconds after which an allocation expires. */
  static create(
    clock: Clock,
    own: string,
    members: LimitMembers,
    kinds: readonly AmountKind[],
    duration: number,
  ): ShareAllocator {
    return new ShareAllocator(clock, own, members, kinds, duration);
  }

  /** Number of names that this entry keeps allocations for. */
  get size(): number {
    return this.tables.size;
  }

  /**
   * Allocates a share of a limit to an entry, and replaces its previous one. Returns undefined if another entry is the
   * allocator, or if this one has become it too recently and the entry holds no share.
   */
  allocate(name: string, limit: Amounts, requester: string, demand: ShareDemand): Amounts | undefined {
    const live = this.members.getLive();
    if (getAllocator(name, live) !== this.own) {
      this.tables.delete(name);
      return undefined;
    }
    const now = this.clock.getTime();
    const table = this.getTable(name, now);
    removeExpired(table, now);
    const reachablePart = this.getReachablePart(limit, live);
    const isRenewingOnly = now - table.startedAt < this.duration;
    // The allocations of the previous allocator are not known here, so an entry without a share uses the equal split.
    if (isRenewingOnly && demand.held.every((amount) => amount === 0)) return undefined;
    const amounts = reachablePart.map((amount, dimension) =>
      isRenewingOnly
        ? Math.min(demand.held[dimension] ?? 0, this.getFreeAmount(table, amount, dimension, requester))
        : this.computeShare(table, amount, dimension, requester, demand, live.length),
    );
    table.allocations.set(requester, { amounts, wanted: demand.wanted, expiresAt: now + this.duration });
    return amounts;
  }

  private getTable(name: string, now: number): AllocationTable {
    let table = this.tables.get(name);
    if (!table) this.tables.set(name, (table = { startedAt: now, allocations: new Map() }));
    return table;
  }

  /** Returns the part of a limit that belongs to the reachable entries. */
  private getReachablePart(limit: Amounts, live: readonly string[]): Amounts {
    const reachable = live.filter((name) => name === this.own || this.members.isReachable(name)).length;
    const part = reachable / Math.max(1, live.length);
    return limit.map((amount, dimension) => this.roundAmount(amount * part, dimension));
  }

  /**
   * Returns a share in proportion to demand, limited to the amount that is free. Surplus is spread over all
   * live entries, not only over those that have requested a share, and one part is held back, so that the next
   * entry that requests one or joins gets a share.
   */
  private computeShare(
    table: AllocationTable,
    available: number,
    dimension: number,
    requester: string,
    demand: ShareDemand,
    liveCount: number,
  ): number {
    let others = 0;
    for (const [name, allocation] of table.allocations) {
      if (name !== requester) others += allocation.wanted[dimension] ?? 0;
    }
    const wanted = demand.wanted[dimension] ?? 0;
    const total = others + wanted;
    const fair =
      total <= available ? wanted + (available - total) / (liveCount + 1) : (available * wanted) / total;
    const free = this.getFreeAmount(table, available, dimension, requester);
    return Math.max(0, Math.min(this.roundAmount(fair, dimension), free));
  }

  private getFreeAmount(
    table: AllocationTable,
    available: number,
    dimension: number,
    requester: string,
  ): number {
    let allocated = 0;
    for (const [name, allocation] of table.allocations) {
      if (name !== requester) allocated += allocation.amounts[dimension] ?? 0;
    }
    return Math.max(0, available - allocated);
  }

  private roundAmount(amount: number, dimension: number): number {
    return this.kinds[dimension] === AmountKind.Whole ? Math.floor(amount) : amount;
  }
}

function removeExpired(table: AllocationTable, now: number): void {
  for (const [name, allocation] of table.allocations) {
    if (allocation.expiresAt <= now) table.allocations.delete(name);
  }
}
