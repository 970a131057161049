/**
 * Order of the requests that wait for a slot of a service. It handles load above the capacity: an order by deadline
 * alone would then serve only requests that are about to be late, so requests that can still meet their objective come
 * before those that cannot, the more urgent rank before the less urgent, and no rank or workspace is left without
 * service.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import type { SlotRequest } from "./capacityTypes.js";
import { IndexedHeap } from "./indexedHeap.js";
import { ServiceShares } from "./serviceShares.js";
import { hasToStartSooner, SlotRankQueue, type WaitingRequest } from "./slotRankQueue.js";

/** Where an objective is short compared with the run time, a request still counts as in time for its first half. */
const maxReservePartOfObjective = 1 / 2;

/** Requests that can, or that cannot, still meet their objective. */
interface Group {
  readonly rankQueues: Map<number, SlotRankQueue>;
  count: number;
}

interface OrderedRequest extends WaitingRequest {
  canBeInTime: boolean;
}

/** Request that is served next, and whether it is preferred because its rank or workspace is served too little. */
export interface NextRequest {
  readonly request: SlotRequest;
  readonly isPreferred: boolean;
  /** Its place among the requests that arrived before and after it. */
  readonly sequence: number;
}

/** Waiting requests of one service in the order of service. Times are milliseconds of the clock. */
export class SlotOrder {
  private readonly byId = new Map<string, OrderedRequest>();
  private readonly inTime: Group = { rankQueues: new Map(), count: 0 };
  private readonly late: Group = { rankQueues: new Map(), count: 0 };
  /** Requests that can still be in time. */
  private readonly byLatestStart = IndexedHeap.create<OrderedRequest>(hasToStartSooner);
  private readonly byDeadline = IndexedHeap.create<OrderedRequest>(
    (left, right) => left.request.deadlineAt < right.request.deadlineAt,
  );
  private readonly rankShares: ServiceShares<number>;
  private readonly workspaceShares: ServiceShares<string>;
  private ranks: number[] = [];
  private sequence = 0;
  private reserveMs = 0;

  private constructor(private readonly clock: Clock) {
    this.rankShares = ServiceShares.create(clock);
    this.workspaceShares = ServiceShares.create(clock);
  }

  static create(clock: Clock): SlotOrder {
    return new SlotOrder(clock);
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.byId.size;
  }

  /** Number of waiting requests that can still meet their objective. */
  get inTimeCount(): number {
    this.moveLate();
    return this.inTime.count;
  }

  /** Sets the milliseconds that have to be left for a request from its grant to its objective. */
  setReserveMs(reserveMs: number): void {
    this.reserveMs = reserveMs;
  }

  /** Returns the waiting requests in the order of their arrival. */
  getAll(): readonly SlotRequest[] {
    return Array.from(this.byId.values(), ({ request }) => request);
  }

  get(id: string): SlotRequest | undefined {
    return this.byId.get(id)?.request;
  }

  /** Adds a request whose id does not wait yet. */
  add(request: SlotRequest): void {
    this.sequence += 1;
    this.put(request, this.sequence);
  }

  /** Puts a request back that was taken and is not served, in its former place. */
  putBack({ request, sequence }: NextRequest): void {
    this.put(request, sequence);
  }

  private put(request: SlotRequest, sequence: number): void {
    const latestStartAt = this.getLatestStart(request);
    const canBeInTime = this.clock.getTime() <= latestStartAt;
    const ordered: OrderedRequest = { request, sequence, latestStartAt, canBeInTime };
    this.byId.set(request.id, ordered);
    this.byDeadline.add(ordered);
    if (canBeInTime) this.byLatestStart.add(ordered);
    this.addToGroup(ordered);
    this.rankShares.addWaiting(request.rank);
    this.workspaceShares.addWaiting(request.workspace);
  }

  /** Removes a request without serving it; returns false if it does not wait. */
  remove(id: string): boolean {
    const ordered = this.byId.get(id);
    if (!ordered) return false;
    this.byId.delete(id);
    this.byDeadline.remove(ordered);
    this.byLatestStart.remove(ordered);
    this.removeFromGroup(ordered);
    this.rankShares.removeWaiting(ordered.request.rank);
    this.workspaceShares.removeWaiting(ordered.request.workspace);
    return true;
  }

  /** Removes and returns the request to serve next; `recordGrant` is to be called if it is served. */
  take(): NextRequest | undefined {
    this.moveLate();
    const preferred = this.findPreferred();
    const next = preferred ?? this.getFirstOf(this.inTime) ?? this.getFirstOf(this.late);
    if (!next) return undefined;
    this.remove(next.request.id);
    const { request, sequence } = next;
    return { request, sequence, isPreferred: preferred !== undefined };
  }

  /** Records that a request was served, whether it waited before or not. */
  recordGrant({ request, isPreferred }: Omit<NextRequest, "sequence">): void {
    this.rankShares.recordGrant(request.rank, isPreferred);
    this.workspaceShares.recordGrant(request.workspace, isPreferred);
    const groups = [this.inTime, this.late];
    for (const group of groups) group.rankQueues.get(request.rank)?.charge(request.workspace);
  }

  /** Removes and returns the requests whose deadline has passed. */
  takeExpired(): SlotRequest[] {
    const expired: SlotRequest[] = [];
    const time = this.clock.getTime();
    for (;;) {
      const first = this.byDeadline.getFirst();
      if (!first || first.request.deadlineAt > time) return expired;
      this.remove(first.request.id);
      expired.push(first.request);
    }
  }

  /**
   * Removes and returns a request that is served after a new one, to make room for it: a late one of the least urgent
   * rank, or else one of a less urgent rank than that of the new one. Returns undefined if there is none, or if the new
   * request itself is late.
   */
  takeDisplaced(request: SlotRequest): SlotRequest | undefined {
    this.moveLate();
    if (this.isLate(request)) return undefined;
    const last = this.getLastOf(this.late) ?? this.getLastOf(this.inTime, request.rank);
    if (last) this.remove(last.request.id);
    return last?.request;
  }

  /** Returns the earliest deadline of a waiting request. */
  getNextDeadline(): number | undefined {
    return this.byDeadline.getFirst()?.request.deadlineAt;
  }

  /** Returns the time after which a request that is granted a slot can no longer meet its objective. */
  getLatestStart({ arrivedAt, objectiveAt }: SlotRequest): number {
    return objectiveAt - Math.min(this.reserveMs, (objectiveAt - arrivedAt) * maxReservePartOfObjective);
  }

  /** Estimates how many waiting requests are served before a new request. */
  countAhead(request: SlotRequest): number {
    this.moveLate();
    const isLate = this.isLate(request);
    let ahead = isLate ? this.inTime.count : 0;
    const group = isLate ? this.late : this.inTime;
    for (const rank of this.ranks) {
      if (rank >= request.rank) break;
      ahead += group.rankQueues.get(rank)?.size ?? 0;
    }
    return ahead + countAheadInRank(group, request);
  }

  /** Bounds the requests that are served until a new request is, by the least share of service that its rank gets. */
  countMostServed(request: SlotRequest): number {
    this.moveLate();
    const isLate = this.isLate(request);
    const inTime = isLate ? (this.inTime.rankQueues.get(request.rank)?.size ?? 0) : 0;
    const ahead = inTime + countAheadInRank(isLate ? this.late : this.inTime, request);
    return (ahead + 1) / this.rankShares.getMinShare();
  }

  private isLate(request: SlotRequest): boolean {
    return this.clock.getTime() > this.getLatestStart(request);
  }

  private findPreferred(): WaitingRequest | undefined {
    const rank = this.rankShares.findStarved();
    if (rank !== undefined)
      return this.inTime.rankQueues.get(rank)?.getFirst() ?? this.late.rankQueues.get(rank)?.getFirst();
    const workspace = this.workspaceShares.findStarved();
    if (workspace === undefined) return undefined;
    return this.getFirstOf(this.inTime, workspace) ?? this.getFirstOf(this.late, workspace);
  }

  private getFirstOf(group: Group, workspace?: string): WaitingRequest | undefined {
    if (group.count === 0) return undefined;
    for (const rank of this.ranks) {
      const first = group.rankQueues.get(rank)?.getFirst(workspace);
      if (first) return first;
    }
    return undefined;
  }

  /** Returns a request of the least urgent rank that holds more places than the least share of a rank. */
  private getLastOf(group: Group, limit = -Infinity): WaitingRequest | undefined {
    if (group.count === 0) return undefined;
    const keptPlaces = this.size * this.rankShares.getMinShare();
    for (let index = this.ranks.length - 1; index >= 0; index--) {
      const rank = this.ranks[index]!;
      if (rank <= limit) return undefined;
      const rankQueue = group.rankQueues.get(rank);
      const kept = group === this.late ? 0 : keptPlaces;
      if (rankQueue && rankQueue.size > kept) return rankQueue.getFirst();
    }
    return undefined;
  }

  /** Moves the requests that can no longer meet their objective behind the others; each moves once. */
  private moveLate(): void {
    const time = this.clock.getTime();
    for (;;) {
      const first = this.byLatestStart.getFirst();
      if (!first || first.latestStartAt >= time) return;
      this.byLatestStart.remove(first);
      this.removeFromGroup(first);
      first.canBeInTime = false;
      this.addToGroup(first);
    }
  }

  private addToGroup(ordered: OrderedRequest): void {
    const group = ordered.canBeInTime ? this.inTime : this.late;
    const { rank } = ordered.request;
    let rankQueue = group.rankQueues.get(rank);
    if (!rankQueue) {
      group.rankQueues.set(rank, (rankQueue = SlotRankQueue.create()));
      if (!this.ranks.includes(rank)) this.ranks = [...this.ranks, rank].sort((left, right) => left - right);
    }
    rankQueue.add(ordered);
    group.count += 1;
  }

  private removeFromGroup(ordered: OrderedRequest): void {
    const group = ordered.canBeInTime ? this.inTime : this.late;
    group.rankQueues.get(ordered.request.rank)?.remove(ordered);
    group.count -= 1;
  }
}

/** Counts the requests of the same rank that come before a new one by fair queueing. */
function countAheadInRank(group: Group, request: SlotRequest): number {
  const rankQueue = group.rankQueues.get(request.rank);
  if (!rankQueue) return 0;
  const own = rankQueue.getWorkspaceSize(request.workspace);
  const others = rankQueue.workspaceCount - (own > 0 ? 1 : 0);
  return Math.min(rankQueue.size, own + others * (own + 1));
}
