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
  /** Cost of serving the request, in tokens of work. */
  readonly cost: number;
}

/** Limits of a queue. */
export interface FairQueueOptions {
  /** Maximum number of queued items. */
  readonly capacity: number;
  /** Milliseconds of waiting after which an item is served first, whatever its priority. */
  readonly starvationLimitMs: number;
}

interface QueuedItem<Item extends QueueItem> {
  readonly item: Item;
  readonly enqueuedAt: number;
  /** Virtual finish time relative to the other flows of the same priority. */
  readonly finishTag: number;
}

/** The items of one priority, with the virtual time of that priority and the latest finish time of each flow. */
interface PriorityLevel<Item extends QueueItem> {
  readonly queued: QueuedItem<Item>[];
  readonly finishTagByFlow: Map<string, number>;
  virtualTime: number;
}

/** Weighted fair queue with priorities. Uses self-clocked fair queueing within each priority. */
export class FairQueue<Item extends QueueItem> {
  private readonly levels = new Map<number, PriorityLevel<Item>>();
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
    const level = this.getLevel(item.priority);
    const startTag = Math.max(level.virtualTime, level.finishTagByFlow.get(item.flow) ?? 0);
    const finishTag = startTag + item.cost / item.weight;
    level.finishTagByFlow.set(item.flow, finishTag);
    level.queued.push({ item, enqueuedAt: this.clock.getTime(), finishTag });
    this.count += 1;
    return true;
  }

  /** Removes and returns the next item to serve that passes the filter; undefined if there is none. */
  take(isEligible: (item: Item) => boolean = () => true): Item | undefined {
    const starved = this.findStarved(isEligible);
    if (starved) return this.remove(starved.level, starved.index);
    for (const priority of [...this.levels.keys()].sort((left, right) => right - left)) {
      const level = this.getLevel(priority);
      const index = findLowestFinishTag(level, isEligible);
      if (index >= 0) return this.remove(level, index);
    }
    return undefined;
  }

  /** Removes an item without serving it, for example because its caller disconnected; false if it is not queued. */
  cancel(item: Item): boolean {
    const level = this.getLevel(item.priority);
    const index = level.queued.findIndex((queued) => queued.item === item);
    if (index < 0) return false;
    level.queued.splice(index, 1);
    this.count -= 1;
    return true;
  }

  /** Returns the tokens of work that are served before a new item of this priority. */
  getWorkAhead(priority: number): number {
    let work = 0;
    for (const [other, level] of this.levels) {
      if (other < priority) continue;
      for (const queued of level.queued) work += queued.item.cost;
    }
    return work;
  }

  private findStarved(
    isEligible: (item: Item) => boolean,
  ): { level: PriorityLevel<Item>; index: number } | undefined {
    const limit = this.clock.getTime() - this.options.starvationLimitMs;
    let found: { level: PriorityLevel<Item>; index: number } | undefined;
    let oldest = limit;
    for (const level of this.levels.values()) {
      level.queued.forEach((queued, index) => {
        if (queued.enqueuedAt > oldest || !isEligible(queued.item)) return;
        oldest = queued.enqueuedAt;
        found = { level, index };
      });
    }
    return found;
  }

  private remove(level: PriorityLevel<Item>, index: number): Item | undefined {
    const [queued] = level.queued.splice(index, 1);
    if (!queued) return undefined;
    this.count -= 1;
    level.virtualTime = Math.max(level.virtualTime, queued.finishTag);
    if (level.queued.length === 0) level.finishTagByFlow.clear();
    return queued.item;
  }

  private getLevel(priority: number): PriorityLevel<Item> {
    let level = this.levels.get(priority);
    if (!level)
      this.levels.set(priority, (level = { queued: [], finishTagByFlow: new Map(), virtualTime: 0 }));
    return level;
  }
}

function findLowestFinishTag<Item extends QueueItem>(
  level: PriorityLevel<Item>,
  isEligible: (item: Item) => boolean,
): number {
  let best = -1;
  let lowest = Infinity;
  level.queued.forEach((queued, index) => {
    if (queued.finishTag >= lowest || !isEligible(queued.item)) return;
    lowest = queued.finishTag;
    best = index;
  });
  return best;
}
