/**
 * Counts the grants of ranks or workspaces over a recent period and finds one that is served too little. It handles
 * the load where an urgent rank or a workspace with much traffic would otherwise take all slots.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { IndexedHeap } from "./indexedHeap.js";

/** Period over which grants are counted. */
const periodMs = 2_000;
/** Part of the average service below which a key is served first. */
const minShareOfAverage = 1 / 4;

interface Tally<Key> {
  readonly key: Key;
  grants: number;
  waiting: number;
  lastGrantAt: number;
}

interface RecordedGrant<Key> {
  readonly tally: Tally<Key>;
  readonly at: number;
  /** Whether the key was served first because its share was too low. */
  readonly isPreferred: boolean;
}

/** Shares of service of the keys (ranks or workspaces) of one service. */
export class ServiceShares<Key> {
  private readonly tallies = new Map<Key, Tally<Key>>();
  private readonly waiting = IndexedHeap.create<Tally<Key>>(
    (left, right) =>
      left.grants < right.grants || (left.grants === right.grants && left.lastGrantAt < right.lastGrantAt),
  );
  private recorded: RecordedGrant<Key>[] = [];
  private firstRecorded = 0;
  private preferred = 0;

  private constructor(private readonly clock: Clock) {}

  static create<Key>(clock: Clock): ServiceShares<Key> {
    return new ServiceShares<Key>(clock);
  }

  /** Records that one more request of the key waits. */
  addWaiting(key: Key): void {
    const tally = this.getTally(key);
    tally.waiting += 1;
    if (tally.waiting === 1) this.waiting.add(tally);
  }

  /** Records that one request of the key no longer waits. */
  removeWaiting(key: Key): void {
    const tally = this.getTally(key);
    tally.waiting -= 1;
    if (tally.waiting > 0) return;
    this.waiting.remove(tally);
    this.removeUnused(tally);
  }

  /** Records a grant, and forgets those before the period: `findStarved` is not called while nothing waits. */
  recordGrant(key: Key, isPreferred: boolean): void {
    this.removeOld();
    const tally = this.getTally(key);
    tally.grants += 1;
    tally.lastGrantAt = this.clock.getTime();
    this.waiting.update(tally);
    this.recorded.push({ tally, at: tally.lastGrantAt, isPreferred });
    if (isPreferred) this.preferred += 1;
  }

  /**
   * Returns the least served key with waiting requests if its grants are below a quarter of the average. All minimum
   * shares together are a quarter of the grants; the limit on preferred grants keeps that so when there are more keys
   * than grants, where rounding up to one grant each would displace all urgent requests.
   */
  findStarved(): Key | undefined {
    this.removeOld();
    const least = this.waiting.getFirst();
    if (!least) return undefined;
    const total = this.recorded.length - this.firstRecorded;
    if (this.preferred > total * minShareOfAverage) return undefined;
    const average = total / this.tallies.size;
    return least.grants < average * minShareOfAverage ? least.key : undefined;
  }

  /** Returns the least part of the grants that a key with waiting requests gets. */
  getMinShare(): number {
    return minShareOfAverage / Math.max(1, this.tallies.size);
  }

  private removeOld(): void {
    const oldest = this.clock.getTime() - periodMs;
    for (;;) {
      const record = this.recorded[this.firstRecorded];
      if (!record || record.at > oldest) break;
      this.firstRecorded += 1;
      if (record.isPreferred) this.preferred -= 1;
      record.tally.grants -= 1;
      this.waiting.update(record.tally);
      this.removeUnused(record.tally);
    }
    if (this.firstRecorded * 2 <= this.recorded.length) return;
    this.recorded = this.recorded.slice(this.firstRecorded);
    this.firstRecorded = 0;
  }

  private removeUnused(tally: Tally<Key>): void {
    if (tally.grants === 0 && tally.waiting === 0) this.tallies.delete(tally.key);
  }

  private getTally(key: Key): Tally<Key> {
    let tally = this.tallies.get(key);
    if (!tally) this.tallies.set(key, (tally = { key, grants: 0, waiting: 0, lastGrantAt: -Infinity }));
    return tally;
  }
}
