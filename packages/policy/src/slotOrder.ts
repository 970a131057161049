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
import { isObjectiveNearer, SlotRankQueue, type WaitingRequest } from "./slotRankQueue.js";

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
}

/** Waiting requests of one service in the order of service. Times are milliseconds of the clock. */
export class SlotOrder {
  private readonly byId = new Map<string, OrderedRequest>();
  private readonly inTime: Group = { rankQueues: new Map(), count: 0 };
  private readonly late: Group = { rankQueues: new Map(), count: 0 };
  /** Requests that can still be in time, by objective. All have the same expected run time, so this is by slack. */
  private readonly byObjective = IndexedHeap.create<OrderedRequest>(isObjectiveNearer);
  private readonly byDeadline = IndexedHeap.create<OrderedRequest>(
    (left, right) => left.request.deadlineAt < right.request.deadlineAt,
  );
  private readonly rankShares: ServiceShares<number>;
  private readonly workspaceShares: ServiceShares<string>;
  private ranks: number[] = [];
  private sequence = 0;
  private runMs = 0;

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

  /** Sets the expected milliseconds from a grant to the response. */
  setRunMs(runMs: number): void {
    this.runMs = runMs;
  }

  has(id: string): boolean {
    return this.byId.has(id);
  }

  get(id: string): SlotRequest | undefined {
    return this.byId.get(id)?.request;
  }

  /** Adds a request whose id does not wait yet. */
  add(request: SlotRequest): void {
    this.sequence += 1;
    const canBeInTime = this.canBeInTime(request);
    const ordered: OrderedRequest = { request, sequence: this.sequence, canBeInTime };
    this.byId.set(request.id, ordered);
    this.byDeadline.add(ordered);
    if (canBeInTime) this.byObjective.add(ordered);
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
    this.byObjective.remove(ordered);
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
    return { request: next.request, isPreferred: preferred !== undefined };
  }

  /** Records that a request was served, whether it waited before or not. */
  recordGrant({ request, isPreferred }: NextRequest): void {
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

  /** Returns the earliest deadline of a waiting request. */
  getNextDeadline(): number | undefined {
    return this.byDeadline.getFirst()?.request.deadlineAt;
  }

  /** Returns whether a request can meet its objective if it is served now. */
  canBeInTime(request: SlotRequest): boolean {
    return this.clock.getTime() + this.runMs <= request.objectiveAt;
  }

  /** Estimates how many waiting requests are served before a new request. */
  countAhead(request: SlotRequest): number {
    this.moveLate();
    if (this.canBeInTime(request)) return countAheadIn(this.inTime, this.ranks, request);
    return this.inTime.count + countAheadIn(this.late, this.ranks, request);
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

  /** Moves the requests that can no longer meet their objective behind the others; each moves once. */
  private moveLate(): void {
    const latest = this.clock.getTime() + this.runMs;
    for (;;) {
      const first = this.byObjective.getFirst();
      if (!first || first.request.objectiveAt >= latest) return;
      this.byObjective.remove(first);
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

/** Counts the requests of more urgent ranks and, in the rank itself, those that come before by fair queueing. */
function countAheadIn(group: Group, ranks: readonly number[], request: SlotRequest): number {
  let ahead = 0;
  for (const rank of ranks) {
    const rankQueue = group.rankQueues.get(rank);
    if (!rankQueue) continue;
    if (rank > request.rank) break;
    if (rank < request.rank) ahead += rankQueue.size;
    else ahead += countAheadInRank(rankQueue, request);
  }
  return ahead;
}

function countAheadInRank(rankQueue: SlotRankQueue, request: SlotRequest): number {
  const own = rankQueue.getWorkspaceSize(request.workspace);
  const others = rankQueue.workspaceCount - (own > 0 ? 1 : 0);
  return Math.min(rankQueue.size, own + others * (own + 1));
}
