/**
 * Weighted fair queue with priorities. Higher priorities are served first. Within a priority, flows share the tokens of
 * work in proportion to their weights. An item that has waited longer than a limit is served before all others, so that
 * higher priorities cannot starve it.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** Properties of a queued request that decide its order. */
export interface QueueItem {
  /** Requests of one flow are served in order of arrival; flows share capacity by weight. */
  readonly flow: string;
  readonly weight: number;
  /** 0 (lowest) to 9 (highest). */
  readonly priority: number;
  /** Tokens of work. */
  readonly cost: number;
}

/** Limits of a queue. */
export interface FairQueueOptions {
  /** Maximum number of queued items. */
  readonly capacity: number;
  /** Milliseconds of waiting after which an item is served first, whatever its priority. */
  readonly starvationLimitMs: number;
}

interface Waiting<Item extends QueueItem> {
  readonly item: Item;
  readonly since: number;
  /** Virtual finish time relative to the other flows of the same priority. */
  readonly tag: number;
}

/** The items of one priority, with the virtual time of that priority and the latest finish time of each flow. */
interface Lane<Item extends QueueItem> {
  readonly waiting: Waiting<Item>[];
  readonly finishByFlow: Map<string, number>;
  virtualTime: number;
}

/** Weighted fair queue with priorities. Uses self-clocked fair queueing within each priority. */
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

  /** Number of queued items. */
  get size(): number {
    return this.count;
  }

  /** Adds an item; returns false if the queue is full. */
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

  /** Removes and returns the next item to serve that passes the filter; undefined if there is none. */
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

  /** Removes an item without serving it, for example because its caller disconnected; false if it is not queued. */
  cancel(item: Item): boolean {
    const lane = this.getLane(item.priority);
    const index = lane.waiting.findIndex((waiting) => waiting.item === item);
    if (index < 0) return false;
    lane.waiting.splice(index, 1);
    this.count -= 1;
    return true;
  }

  /** Returns the tokens of work that are served before a new item of this priority. */
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
