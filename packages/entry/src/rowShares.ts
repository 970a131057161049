/**
 * Obtains this entry's shares of the limits of policy rows: requests them from each row's allocator while there is
 * demand, and uses the equal split while there is no current allocation. Also allocates shares to other entries of the
 * rows whose allocator this entry is.
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

/** Dimensions of a row's limits: requests/s, tokens/s, concurrent requests. */
const amountKinds = [AmountKind.Divisible, AmountKind.Divisible, AmountKind.Whole] as const;
const zeroAmounts: Amounts = [0, 0, 0];
const millisecondsPerSecond = 1000;
/** Weight of the latest interval in a falling demand. */
const demandSmoothing = 0.5;

/** Demand for a row since the last request to its allocator, and the share it allocated last. */
interface AllocatedRow {
  readonly row: PolicyRow;
  amounts: Amounts | undefined;
  /** Monotonic time at which the allocation expires. */
  expiresAt: number;
  /** Arrivals since the last request to the allocator: requests, tokens. */
  requests: number;
  tokens: number;
  /** Highest concurrency since then, counting the arriving request whether it was admitted or not. */
  peakConcurrency: number;
  wanted: Amounts;
  requestedAt: number;
  isRefreshing: boolean;
}

/** Requests shares for this entry and allocates shares to others. */
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

  /** Returns the number of rows of which this entry holds or requests a share. */
  getAllocatedCount(): number {
    return this.allocatedRows.size;
  }

  /** Returns the number of rows that this entry allocates. */
  getManagedCount(): number {
    return this.allocator.size;
  }

  /** Counts an arriving request and returns this entry's current share of its row. */
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
    const current = this.allocatedRows.get(name);
    // A row that was edited has other limits, so an allocation from the old limits does not apply to it.
    if (current?.row === row) return current;
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

  /** Renews the allocation every `ask_interval` while requests arrive; ends after an interval without any. */
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
    const isCurrent = allocated.expiresAt > now;
    const held = (isCurrent ? allocated.amounts : undefined) ?? zeroAmounts;
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

  /**
   * Counts the allocation's duration from when it was requested: the allocator counts from a later time, so that the
   * share expires here first.
   */
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
      // A higher demand is requested at once and a lower one only gradually, because requests arrive in bursts.
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
