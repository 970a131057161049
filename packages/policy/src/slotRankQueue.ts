/**
 * Waiting requests of one rank: fair queueing with equal weights between workspaces, and within a workspace the
 * request that has to start soonest to meet its objective.
 * @module
 */
import { IndexedHeap } from "./indexedHeap.js";
import type { SlotRequest } from "./capacityTypes.js";

/** A waiting request with the order of its arrival, which decides between equal times. */
export interface WaitingRequest {
  readonly request: SlotRequest;
  /** Time after which it can no longer meet its objective. */
  readonly latestStartAt: number;
  readonly sequence: number;
}

/** The requests of one workspace within a rank. */
interface WorkspaceQueue {
  readonly workspace: string;
  readonly waiting: IndexedHeap<WaitingRequest>;
  /** Virtual time at which its next request is served; the least among the workspaces is served next. */
  tag: number;
}

/** Least number of removed requests between two removals of workspaces without waiting requests. */
const minRemovalsBetweenSweeps = 64;

/** Returns whether one request has to start sooner than another. */
export function hasToStartSooner(left: WaitingRequest, right: WaitingRequest): boolean {
  const difference = left.latestStartAt - right.latestStartAt;
  return difference === 0 ? left.sequence < right.sequence : difference < 0;
}

/** Queue of one rank with self-clocked fair queueing between workspaces; each operation is O(log n). */
export class SlotRankQueue {
  private readonly workspaces = new Map<string, WorkspaceQueue>();
  private readonly active = IndexedHeap.create<WorkspaceQueue>((left, right) => left.tag < right.tag);
  private virtualTime = 0;
  private count = 0;
  private removals = 0;

  private constructor() {}

  static create(): SlotRankQueue {
    return new SlotRankQueue();
  }

  get size(): number {
    return this.count;
  }

  /** Number of workspaces with waiting requests. */
  get workspaceCount(): number {
    return this.active.size;
  }

  /** Returns the number of waiting requests of a workspace. */
  getWorkspaceSize(workspace: string): number {
    return this.workspaces.get(workspace)?.waiting.size ?? 0;
  }

  add(waiting: WaitingRequest): void {
    const { workspace } = waiting.request;
    let queue = this.workspaces.get(workspace);
    if (!queue) {
      const heap = IndexedHeap.create(hasToStartSooner);
      this.workspaces.set(workspace, (queue = { workspace, waiting: heap, tag: 0 }));
    }
    queue.waiting.add(waiting);
    this.count += 1;
    if (queue.waiting.size > 1) return;
    queue.tag = Math.max(queue.tag, this.virtualTime);
    this.active.add(queue);
  }

  /** Removes a request that waits here. */
  remove(waiting: WaitingRequest): void {
    const queue = this.workspaces.get(waiting.request.workspace);
    if (!queue?.waiting.remove(waiting)) return;
    this.count -= 1;
    if (queue.waiting.size === 0) this.active.remove(queue);
    this.removeIdleWorkspaces();
  }

  /** Returns the request to serve next, of one workspace if it is given; undefined if there is none. */
  getFirst(workspace?: string): WaitingRequest | undefined {
    const queue = workspace === undefined ? this.active.getFirst() : this.workspaces.get(workspace);
    return queue?.waiting.getFirst();
  }

  /** Charges a workspace for a request that was served. */
  charge(workspace: string): void {
    const queue = this.workspaces.get(workspace);
    if (!queue) return;
    // A preferred request may belong to a workspace that is not next; virtual time follows the one that is.
    const leastTag = Math.min(queue.tag, this.active.getFirst()?.tag ?? queue.tag);
    this.virtualTime = Math.max(this.virtualTime, leastTag);
    queue.tag += 1;
    this.active.update(queue);
  }

  /** Removes workspaces that nothing waits for and that have no debt; its cost is spread over as many removals. */
  private removeIdleWorkspaces(): void {
    if (this.count === 0) return this.workspaces.clear();
    this.removals += 1;
    if (this.removals < Math.max(minRemovalsBetweenSweeps, this.workspaces.size)) return;
    this.removals = 0;
    for (const queue of this.workspaces.values()) {
      if (queue.waiting.size === 0 && queue.tag <= this.virtualTime) this.workspaces.delete(queue.workspace);
    }
  }
}
