/**
 * Order of service: urgent priorities first, weights shared in tokens of work within a priority, and a bound on how
 * long a lower priority can be passed over.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** What the queue knows of a waiting request. */
export interface QueueItem {
  /** Requests of one flow are served first come first served; flows share by weight. */
  readonly flow: string;
  readonly weight: number;
  /** 0 to 9, 9 most urgent. */
  readonly priority: number;
  /** Tokens of work. */
  readonly cost: number;
}

/** Bounds of a queue. */
export interface FairQueueOptions {
  /** Items that may wait. */
  readonly capacity: number;
  /** Milliseconds after which a passed-over item is served as if most urgent. */
  readonly starvationLimitMs: number;
}

interface Waiting<Item extends QueueItem> {
  readonly item: Item;
  readonly since: number;
  /** Virtual finish time among the flows of its priority. */
  readonly tag: number;
}

/** One flow's place in virtual time. */
interface Lane<Item extends QueueItem> {
  readonly waiting: Waiting<Item>[];
  readonly finishByFlow: Map<string, number>;
  virtualTime: number;
}

/** Weighted fair queue with priorities (self-clocked fair queueing within each priority). */
export class FairQueue<Item extends QueueItem> {
  private readonly lanes = new Map<number, Lane<Item>>();
  private count = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly options: FairQueueOptions,
  ) {}

  static create<Item extends QueueItem>(clock: Clock, options: FairQueueOptions): FairQueue<Item> {
    return new FairQueue<Item>(clock, options);
  }

  /** Number of waiting items. */
  get size(): number {
    return this.count;
  }

  /** Adds an item; false where the queue is full. */
  tryAdd(item: Item): boolean {
    if (this.count >= this.options.capacity) return false;
    const lane = this.getLane(item.priority);
    const start = Math.max(lane.virtualTime, lane.finishByFlow.get(item.flow) ?? 0);
    const tag = start + item.cost / item.weight;
    lane.finishByFlow.set(item.flow, tag);
    lane.waiting.push({ item, since: this.clock.getTime(), tag });
    this.count += 1;
    return true;
  }

  /** Removes and returns the item to serve next, undefined when none waits or none passes the filter. */
  take(isEligible: (item: Item) => boolean = () => true): Item | undefined {
    const starved = this.findStarved(isEligible);
    if (starved) return this.remove(starved.lane, starved.index);
    for (const priority of [...this.lanes.keys()].sort((left, right) => right - left)) {
      const lane = this.getLane(priority);
      const index = findLowestTag(lane, isEligible);
      if (index >= 0) return this.remove(lane, index);
    }
    return undefined;
  }

  /** Removes an item that no longer waits, such as one whose caller left. */
  cancel(item: Item): boolean {
    const lane = this.getLane(item.priority);
    const index = lane.waiting.findIndex((waiting) => waiting.item === item);
    if (index < 0) return false;
    lane.waiting.splice(index, 1);
    this.count -= 1;
    return true;
  }

  /** Tokens of work that would be served before a new item of this priority. */
  getWorkAhead(priority: number): number {
    let work = 0;
    for (const [other, lane] of this.lanes) {
      if (other < priority) continue;
      for (const waiting of lane.waiting) work += waiting.item.cost;
    }
    return work;
  }

  private findStarved(isEligible: (item: Item) => boolean): { lane: Lane<Item>; index: number } | undefined {
    const limit = this.clock.getTime() - this.options.starvationLimitMs;
    let found: { lane: Lane<Item>; index: number } | undefined;
    let oldest = limit;
    for (const lane of this.lanes.values()) {
      lane.waiting.forEach((waiting, index) => {
        if (waiting.since > oldest || !isEligible(waiting.item)) return;
        oldest = waiting.since;
        found = { lane, index };
      });
    }
    return found;
  }

  private remove(lane: Lane<Item>, index: number): Item | undefined {
    const [waiting] = lane.waiting.splice(index, 1);
    if (!waiting) return undefined;
    this.count -= 1;
    lane.virtualTime = Math.max(lane.virtualTime, waiting.tag);
    if (lane.waiting.length === 0) lane.finishByFlow.clear();
    return waiting.item;
  }

  private getLane(priority: number): Lane<Item> {
    let lane = this.lanes.get(priority);
    if (!lane) this.lanes.set(priority, (lane = { waiting: [], finishByFlow: new Map(), virtualTime: 0 }));
    return lane;
  }
}

function findLowestTag<Item extends QueueItem>(
  lane: Lane<Item>,
  isEligible: (item: Item) => boolean,
): number {
  let best = -1;
  let lowest = Infinity;
  lane.waiting.forEach((waiting, index) => {
    if (waiting.tag >= lowest || !isEligible(waiting.item)) return;
    lowest = waiting.tag;
    best = index;
  });
  return best;
}
