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
const kinds = [AmountKind.Divisible, AmountKind.Divisible, AmountKind.Whole] as const;
const nothing: Amounts = [0, 0, 0];
const millisecondsPerSecond = 1000;
/** Weight of the newest window in the demand. */
const smoothing = 0.5;

interface AllocatedRow {
  readonly row: PolicyRow;
  amounts: Amounts | undefined;
  /** Monotonic time at which the loan ends. */
  until: number;
  /** Arrivals since the last question: requests, tokens. */
  requests: number;
  tokens: number;
  /** Most requests that were inside or turned away at once since then. */
  peak: number;
  wanted: Amounts;
  askedAt: number;
  isAsking: boolean;
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
    this.allocator = ShareAllocator.create(clock, own, this.members, kinds, settings.loan);
    links.setHandler(PeerKind.AskShare, (message, peer) => this.handleAsk(message as AskShareMessage, peer));
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
    const borrowed = this.getAllocatedRow(name, row);
    borrowed.requests += 1;
    borrowed.tokens += tokens;
    borrowed.peak = Math.max(borrowed.peak, active + 1);
    const isDue = this.clock.getTime() - borrowed.askedAt >= this.settings.ask_interval;
    if (isDue && !borrowed.isAsking) void this.follow(name, borrowed);
    const isLent = borrowed.amounts !== undefined && borrowed.until > this.clock.getTime();
    const amounts = isLent && borrowed.amounts ? borrowed.amounts : this.getSplit(row);
    const [requestsPerSecond = 0, tokensPerSecond = 0, concurrency = 0] = amounts;
    return { requestsPerSecond, tokensPerSecond, concurrency };
  }

  private getSplit(row: PolicyRow): Amounts {
    return getEqualSplit(getRowName(row), getLimit(row), kinds, this.own, this.members.getLive());
  }

  private getAllocatedRow(name: string, row: PolicyRow): AllocatedRow {
    const present = this.allocatedRows.get(name);
    // A row that was edited has other limits: what was lent of the old ones says nothing.
    if (present?.row === row) return present;
    const fresh: AllocatedRow = {
      row,
      amounts: undefined,
      until: 0,
      requests: 0,
      tokens: 0,
      peak: 0,
      wanted: nothing,
      askedAt: -Infinity,
      isAsking: false,
    };
    this.allocatedRows.set(name, fresh);
    return fresh;
  }

  /** Asks again and again while requests come; ends when none came for a loan's time. */
  private async follow(name: string, borrowed: AllocatedRow): Promise<void> {
    borrowed.isAsking = true;
    while (borrowed.requests > 0 && this.allocatedRows.get(name) === borrowed) {
      await this.ask(name, borrowed);
      await waitFor(this.clock, this.settings.ask_interval);
    }
    borrowed.isAsking = false;
    if (this.allocatedRows.get(name) === borrowed && borrowed.until < this.clock.getTime())
      this.allocatedRows.delete(name);
  }

  private async ask(name: string, borrowed: AllocatedRow): Promise<void> {
    const now = this.clock.getTime();
    const wanted = this.takeDemand(borrowed, now);
    const isHeld = borrowed.until > now;
    const held = (isHeld ? borrowed.amounts : undefined) ?? nothing;
    const lender = getAllocator(name, this.members.getLive());
    if (lender === this.own) {
      this.setAllocation(
        borrowed,
        this.allocator.allocate(name, getLimit(borrowed.row), this.own, { wanted, held }),
        now,
      );
      return;
    }
    if (lender === undefined) return;
    const message: AskShareMessage = { kind: PeerKind.AskShare, row: name, demand: { wanted, held } };
    const answer = await this.links.call(lender, message, this.settings.ask_interval);
    if (answer.isOk()) this.setAllocation(borrowed, (answer.value as ShareReply).amounts, now);
  }

  /** Counts the loan from when it was asked for: the lender cannot have counted from earlier. */
  private setAllocation(borrowed: AllocatedRow, amounts: Amounts | undefined, askedAt: number): void {
    if (!amounts) return;
    borrowed.amounts = amounts;
    borrowed.until = askedAt + this.settings.loan;
  }

  private takeDemand(borrowed: AllocatedRow, now: number): Amounts {
    const elapsed = Math.max(
      this.settings.ask_interval,
      Math.min(now - borrowed.askedAt, this.settings.loan),
    );
    const perSecond = millisecondsPerSecond / elapsed;
    const measured = [borrowed.requests * perSecond, borrowed.tokens * perSecond, borrowed.peak];
    const isFirst = borrowed.askedAt === -Infinity;
    borrowed.wanted = measured.map((amount, dimension) => {
      const before = borrowed.wanted[dimension] ?? 0;
      // More is asked for at once, less only by and by: demand comes in bursts.
      return isFirst || amount > before ? amount : before + (amount - before) * smoothing;
    });
    borrowed.requests = 0;
    borrowed.tokens = 0;
    borrowed.peak = 0;
    borrowed.askedAt = now;
    return borrowed.wanted;
  }

  private handleAsk(message: AskShareMessage, peer: PeerIdentity): ShareReply {
    const row = this.getTable()?.configuration.rows.find((each) => getRowName(each) === message.row);
    if (!row) return { amounts: undefined };
    return { amounts: this.allocator.allocate(message.row, getLimit(row), peer.name, message.demand) };
  }
}

function getLimit(row: PolicyRow): Amounts {
  return [row.requestsPerSecond, row.tokensPerSecond, row.concurrency];
}
