/**
 * This entry's shares of rows: asks each row's lender while there is demand, and falls to the equal split without one.
 * @module
 */
import {
  AmountKind,
  type Amounts,
  getEqualSplit,
  getAllocator,
  InstanceRole,
  type LimitMembers,
  type MembershipView,
  type PeerIdentity,
  type PeerLinks,
  ShareAllocator,
} from "@gladewall/coordination";
import { type Clock, waitFor } from "@gladewall/kernel";
import { getRowName, type RowShare, type PolicyTable, type PolicyRow } from "@gladewall/policy";
import type { EntrySettings } from "./entrySettings.js";
import { type AskShareMessage, PeerKind, type ShareReply } from "./peerKinds.js";

/** Dimensions of a row's limits: requests/s, tokens/s, requests at once. */
const amountKinds = [AmountKind.Divisible, AmountKind.Divisible, AmountKind.Whole] as const;
const zeroAmounts: Amounts = [0, 0, 0];
const millisecondsPerSecond = 1000;
/** Weight of the newest window in the demand. */
const demandSmoothing = 0.5;

interface AllocatedRow {
  readonly row: PolicyRow;
  amounts: Amounts | undefined;
  /** Monotonic time at which the loan ends. */
  expiresAt: number;
  /** Arrivals since the last question: requests, tokens. */
  requests: number;
  tokens: number;
  /** Most requests that were inside or turned away at once since then. */
  peakConcurrency: number;
  wanted: Amounts;
  requestedAt: number;
  isRefreshing: boolean;
}

/** Borrows and lends shares. */
export class RowShares {
  private readonly allocatedRows = new Map<string, AllocatedRow>();
  private readonly allocator: ShareAllocator;
  private readonly members: LimitMembers;

  private constructor(
    private readonly own: string,
    private readonly settings: EntrySettings["limits"],
    private readonly clock: Clock,
    private readonly links: PeerLinks,
    view: MembershipView,
    private readonly getTable: () => PolicyTable | undefined,
  ) {
    this.members = {
      getLive: () => {
        const names = view.getLive(InstanceRole.Entry).map((record) => record.id);
        return names.includes(own) ? names : [...names, own];
      },
      isReachable: (name) => links.isLinked(name),
    };
    this.allocator = ShareAllocator.create(clock, own, this.members, amountKinds, settings.loan);
    links.setHandler(PeerKind.AskShare, (message, peer) =>
      this.handleShareRequest(message as AskShareMessage, peer),
    );
  }

  static create(
    own: string,
    settings: EntrySettings["limits"],
    clock: Clock,
    links: PeerLinks,
    view: MembershipView,
    getTable: () => PolicyTable | undefined,
  ): RowShares {
    return new RowShares(own, settings, clock, links, view, getTable);
  }

  /** Rows that this entry has borrowed a share of. */
  getAllocatedCount(): number {
    return this.allocatedRows.size;
  }

  /** Rows that this entry lends. */
  getManagedCount(): number {
    return this.allocator.size;
  }

  /** Counts an arrival and returns this entry's share of its row now. */
  getShare(row: PolicyRow, active: number, tokens: number): RowShare {
    const name = getRowName(row);
    const allocated = this.getAllocatedRow(name, row);
    allocated.requests += 1;
    allocated.tokens += tokens;
    allocated.peakConcurrency = Math.max(allocated.peakConcurrency, active + 1);
    const isDue = this.clock.getTime() - allocated.requestedAt >= this.settings.ask_interval;
    if (isDue && !allocated.isRefreshing) void this.refreshWhileActive(name, allocated);
    const isCurrent = allocated.amounts !== undefined && allocated.expiresAt > this.clock.getTime();
    const amounts = isCurrent && allocated.amounts ? allocated.amounts : this.getEqualShare(row);
    const [requestsPerSecond = 0, tokensPerSecond = 0, concurrency = 0] = amounts;
    return { requestsPerSecond, tokensPerSecond, concurrency };
  }

  private getEqualShare(row: PolicyRow): Amounts {
    return getEqualSplit(getRowName(row), getLimit(row), amountKinds, this.own, this.members.getLive());
  }

  private getAllocatedRow(name: string, row: PolicyRow): AllocatedRow {
    const present = this.allocatedRows.get(name);
    // A row that was edited has other limits: what was lent of the old ones says nothing.
    if (present?.row === row) return present;
    const allocated: AllocatedRow = {
      row,
      amounts: undefined,
      expiresAt: 0,
      requests: 0,
      tokens: 0,
      peakConcurrency: 0,
      wanted: zeroAmounts,
      requestedAt: -Infinity,
      isRefreshing: false,
    };
    this.allocatedRows.set(name, allocated);
    return allocated;
  }

  /** Asks again and again while requests come; ends when none came for a loan's time. */
  private async refreshWhileActive(name: string, allocated: AllocatedRow): Promise<void> {
    allocated.isRefreshing = true;
    while (allocated.requests > 0 && this.allocatedRows.get(name) === allocated) {
      await this.requestAllocation(name, allocated);
      await waitFor(this.clock, this.settings.ask_interval);
    }
    allocated.isRefreshing = false;
    if (this.allocatedRows.get(name) === allocated && allocated.expiresAt < this.clock.getTime())
      this.allocatedRows.delete(name);
  }

  private async requestAllocation(name: string, allocated: AllocatedRow): Promise<void> {
    const now = this.clock.getTime();
    const wanted = this.measureDemand(allocated, now);
    const isHeld = allocated.expiresAt > now;
    const held = (isHeld ? allocated.amounts : undefined) ?? zeroAmounts;
    const allocator = getAllocator(name, this.members.getLive());
    if (allocator === this.own) {
      this.setAllocation(
        allocated,
        this.allocator.allocate(name, getLimit(allocated.row), this.own, { wanted, held }),
        now,
      );
      return;
    }
    if (allocator === undefined) return;
    const message: AskShareMessage = { kind: PeerKind.AskShare, row: name, demand: { wanted, held } };
    const answer = await this.links.call(allocator, message, this.settings.ask_interval);
    if (answer.isOk()) this.setAllocation(allocated, (answer.value as ShareReply).amounts, now);
  }

  /** Counts the loan from when it was asked for: the lender cannot have counted from earlier. */
  private setAllocation(allocated: AllocatedRow, amounts: Amounts | undefined, requestedAt: number): void {
    if (!amounts) return;
    allocated.amounts = amounts;
    allocated.expiresAt = requestedAt + this.settings.loan;
  }

  private measureDemand(allocated: AllocatedRow, now: number): Amounts {
    const elapsed = Math.max(
      this.settings.ask_interval,
      Math.min(now - allocated.requestedAt, this.settings.loan),
    );
    const perSecond = millisecondsPerSecond / elapsed;
    const measured = [
      allocated.requests * perSecond,
      allocated.tokens * perSecond,
      allocated.peakConcurrency,
    ];
    const isFirst = allocated.requestedAt === -Infinity;
    allocated.wanted = measured.map((amount, dimension) => {
      const before = allocated.wanted[dimension] ?? 0;
      // More is asked for at once, less only by and by: demand comes in bursts.
      return isFirst || amount > before ? amount : before + (amount - before) * demandSmoothing;
    });
    allocated.requests = 0;
    allocated.tokens = 0;
    allocated.peakConcurrency = 0;
    allocated.requestedAt = now;
    return allocated.wanted;
  }

  private handleShareRequest(message: AskShareMessage, peer: PeerIdentity): ShareReply {
    const row = this.getTable()?.configuration.rows.find((each) => getRowName(each) === message.row);
    if (!row) return { amounts: undefined };
    return { amounts: this.allocator.allocate(message.row, getLimit(row), peer.name, message.demand) };
  }
}

function getLimit(row: PolicyRow): Amounts {
  return [row.requestsPerSecond, row.tokensPerSecond, row.concurrency];
}
