/**
 * Follows all items under a prefix of the store: a listing, then a watch from its revision on. Whatever goes wrong
 * with the watch, the next step is a new listing.
 *
 * What a follower knows can be handed on to another one: revisions count for the whole store, so a follower that knows
 * all changes up to one revision needs only what came after it, from whoever knows that.
 * @module
 */
import { type Clock, type Closeable, Failure, FailureCode, type Logger, waitFor } from "@gladewall/kernel";
import { type StorePosition, initialEra } from "./storeEras.js";
import type { MetadataStore, StoreEvent, StoreItem } from "./types.js";

/** Why an item is no longer there. */
export enum RemovalCause {
  Removed = 1,
  /** The store came back from a copy that does not have it; whoever wrote it may write it again. */
  Lost = 2,
}

/** How an item went. */
export interface Removal {
  readonly cause: RemovalCause;
  /** How long ago the store last failed whoever told of it; undefined where nobody did. */
  readonly troubleAgeMs: number | undefined;
}

/** What a follower tells. Calls come in the order of the store's revisions. */
export interface PrefixListener {
  /** `isRestored`: the item may stand in the copy that the store came back from, older than what was heard before. */
  handlePut(item: StoreItem, isRestored: boolean): void;
  handleRemoved(key: string, removal: Removal): void;
}

/** Options of a follower. */
export interface PrefixFollowerOptions {
  readonly store: MetadataStore;
  readonly prefix: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly listener: PrefixListener;
  /**
   * Longest time of a watch; milliseconds. One whose connection has fallen silent hears nothing for twice as long at
   * the most, and no error tells of it.
   */
  readonly watchWaitMs?: number;
  /**
   * Time between the first listing of a life and its first watch, none unless given; milliseconds. An instance that is
   * told meanwhile what changes needs no watch.
   */
  readonly firstWatchPauseMs?: number;
  /** Whether a first listing is needed even where others tell what there is; it is, unless said otherwise. */
  readonly isListingNeeded?: boolean;
}

/** What changed under a prefix after some revision. */
export interface PrefixChanges {
  /** Era of all revisions; earlier builds leave it out. */
  readonly era?: number;
  /** Revision up to which this tells everything. */
  readonly revision: number;
  readonly items: readonly StoreItem[];
  /** Keys that went; not told where this is a listing. */
  readonly removed: readonly { readonly key: string; readonly revision: number }[];
  /** Whether the items are all there are. */
  readonly isListing: boolean;
}

/** Longest time of a watch of what is proven in another way, or need not be known soon. */
const defaultWatchWaitMs = 15_000;
/** Time between two watches: changes that come close together cost one call. */
const batchMs = 120;
const minRetryPauseMs = 50;
const maxRetryPauseMs = 800;
/** Keys that went, kept to be handed on. */
const maxKeptRemovals = 500;

/** Follows one prefix. */
export class PrefixFollower implements Closeable {
  /** Whether a listing has ever been had. */
  isListed = false;
  /**
   * For how long nothing had been heard, of whoever tells, when the last word came; milliseconds. What that word brought
   * may have been acknowledged so long before.
   */
  silenceMs = Infinity;
  private receivedAt = -Infinity;
  /** Era of all revisions that are kept here. */
  private era = initialEra;
  /** Revision up to which everything is known. */
  private revision = 0;
  private readonly items = new Map<string, StoreItem>();
  /** Keys that went, by when they did; the oldest first. */
  private readonly removed = new Map<string, number>();
  /** Revision up to which it is not known of all keys that went. */
  private removalsCompleteFrom = 0;
  private readonly stop = new AbortController();
  private round = new AbortController();
  private isPassive = false;
  private hasWatched = false;
  private wake: () => void = () => undefined;
  private task: Promise<void> = Promise.resolve();

  private constructor(private readonly options: PrefixFollowerOptions) {}

  static create(options: PrefixFollowerOptions): PrefixFollower {
    return new PrefixFollower(options);
  }

  start(): void {
    this.task = this.follow();
  }

  /** Gives the watch under way up and lists anew; for when the store comes back. */
  restart(): void {
    this.round.abort();
  }

  /** While it is passive, a follower that needs no listing asks the store nothing: others tell it what changes. */
  setPassive(isPassive: boolean): void {
    if (isPassive === this.isPassive) return;
    this.isPassive = isPassive;
    if (isPassive) this.round.abort();
    else this.wake();
  }

  /** Position up to which everything is known; undefined before the first listing of the store's present era. */
  getPosition(): StorePosition | undefined {
    const { era, revision } = this;
    return this.isListed && era === this.options.store.eras.current ? { era, revision } : undefined;
  }

  /** Returns an item as last heard of. */
  getItem(key: string): StoreItem | undefined {
    return this.items.get(key);
  }

  /** Returns what changed after a position; undefined where nothing is known here of the present era. */
  getChanges(since: StorePosition | undefined): PrefixChanges | undefined {
    const position = this.getPosition();
    if (!position) return undefined;
    const isComparable = since?.era === position.era && since.revision >= this.removalsCompleteFrom;
    if (!isComparable) return { ...position, items: [...this.items.values()], removed: [], isListing: true };
    const items = [...this.items.values()].filter((item) => item.revision > since.revision);
    const removed = [...this.removed]
      .filter(([, removedAt]) => removedAt > since.revision)
      .map(([key, removedAt]) => ({ key, revision: removedAt }));
    return { ...position, items, removed, isListing: false };
  }

  /**
   * Takes what another follower handed on, whom the store last failed so many milliseconds ago. Of another era than the
   * present one it is passed over, and so are changes of an era of which no listing is known here.
   */
  applyChanges(changes: PrefixChanges, troubleAgeMs: number): void {
    const { era = initialEra, revision, items, removed, isListing } = changes;
    const isOwnEra = era === this.era;
    if (era !== this.options.store.eras.current || (!isListing && !isOwnEra)) return;
    if (isListing && isOwnEra && revision < this.revision) return;
    this.recordReceived();
    if (isListing) {
      this.applyListing(items, { era, revision }, troubleAgeMs);
      return;
    }
    for (const item of items) this.put(item);
    for (const entry of removed) this.applyRemoval(entry.key, entry.revision, troubleAgeMs);
    this.revision = Math.max(this.revision, revision);
  }

  async close(): Promise<void> {
    this.stop.abort();
    this.round.abort();
    this.wake();
    await this.task;
  }

  private async follow(): Promise<void> {
    const { clock, logger, prefix } = this.options;
    let pause = minRetryPauseMs;
    while (!this.stop.signal.aborted) {
      await this.waitWhilePassive();
      if (this.stop.signal.aborted) return;
      this.round = new AbortController();
      const startedAt = clock.getTime();
      const failure = await this.followOnce(this.round.signal);
      if (this.stop.signal.aborted) return;
      if (this.isIdle) continue;
      const hasLasted = clock.getTime() - startedAt > maxRetryPauseMs;
      pause = hasLasted || this.round.signal.aborted ? minRetryPauseMs : Math.min(maxRetryPauseMs, pause * 2);
      logger.info("store.follow", { prefix, outcome: "relist", failure: failure.name, pauseMs: pause });
      await waitFor(clock, pause, this.round.signal.aborted ? this.stop.signal : this.round.signal);
    }
  }

  private async waitWhilePassive(): Promise<void> {
    while (this.isIdle && !this.stop.signal.aborted) {
      await new Promise<void>((resolve) => (this.wake = resolve));
    }
  }

  private get isIdle(): boolean {
    const { isListingNeeded = true } = this.options;
    return this.isPassive && (this.isListed || !isListingNeeded);
  }

  /** Lists, then watches until something fails. */
  private async followOnce(signal: AbortSignal): Promise<Failure> {
    const { store, prefix, clock, watchWaitMs = defaultWatchWaitMs } = this.options;
    const listing = await store.list(prefix);
    if (listing.isErr()) return listing.error;
    this.recordReceived();
    this.applyListing(listing.value.items, listing.value.position);
    await this.pauseOnce(signal);
    while (!signal.aborted) {
      const { era, revision: since } = this;
      const changes = await store.watch(prefix, { era, revision: since }, watchWaitMs, signal);
      if (changes.isErr()) return changes.error;
      // Another follower may have handed on a later era meanwhile.
      if (changes.value.position.era !== this.era) {
        return Failure.create(FailureCode.HistoryLost, { revision: since });
      }
      this.recordReceived();
      const { events, position } = changes.value;
      // A watch that was deaf for a moment ends without events as well: gone on from its revision, what changed meanwhile
      // would never be heard of. From the old one the store tells it, or that its history is gone.
      if (events.length === 0) continue;
      for (const event of events) this.applyEvent(event);
      this.revision = Math.max(this.revision, position.revision);
      await waitFor(clock, batchMs, signal);
    }
    return Failure.create(FailureCode.ServiceUnavailable, { detail: "given up" });
  }

  /** Leaves time, once in a life, for others to begin to tell what changes. */
  private async pauseOnce(signal: AbortSignal): Promise<void> {
    if (this.hasWatched) return;
    this.hasWatched = true;
    await waitFor(this.options.clock, this.options.firstWatchPauseMs ?? 0, signal);
  }

  private recordReceived(): void {
    const time = this.options.clock.getTime();
    this.silenceMs = time - this.receivedAt;
    this.receivedAt = time;
  }

  private applyListing(
    items: readonly StoreItem[],
    { era, revision }: StorePosition,
    troubleAgeMs?: number,
  ): void {
    if (era < this.era) return;
    if (era > this.era && this.isListed)
      return this.applyRestoredListing(items, { era, revision }, troubleAgeMs);
    this.era = era;
    const listed = new Set(items.map(({ key }) => key));
    for (const { key, revision: putAt } of [...this.items.values()]) {
      // What was put after the listing was taken is not missing from it.
      if (listed.has(key) || putAt > revision) continue;
      this.remove(key, revision, { cause: RemovalCause.Removed, troubleAgeMs });
    }
    for (const item of items) this.put(item);
    this.revision = Math.max(this.revision, revision);
    // A listing shows no removal of what this follower never saw. Asked for changes since an older revision it gives all it
    // has: without that, an instance fed by a reader that had just started used endpoints that were gone, with no end.
    this.removalsCompleteFrom = Math.max(this.removalsCompleteFrom, revision);
    this.isListed = true;
  }

  /** Takes the first listing of a new era: what was known is no order for it, and what is missing may be written again. */
  private applyRestoredListing(
    items: readonly StoreItem[],
    { era, revision }: StorePosition,
    troubleAgeMs: number | undefined,
  ): void {
    const { logger, prefix, listener } = this.options;
    const known = new Map(this.items);
    logger.info("store.restored", {
      prefix,
      era,
      revision,
      revisionBefore: this.revision,
      items: items.length,
    });
    this.era = era;
    this.revision = revision;
    this.removalsCompleteFrom = revision;
    this.items.clear();
    this.removed.clear();
    for (const item of items) this.items.set(item.key, item);
    for (const key of known.keys()) {
      if (!this.items.has(key)) listener.handleRemoved(key, { cause: RemovalCause.Lost, troubleAgeMs });
    }
    for (const item of items) if (!isSameItem(item, known.get(item.key))) listener.handlePut(item, true);
  }

  private applyEvent({ key, revision, value }: StoreEvent): void {
    if (value) this.put({ key, revision, value });
    else this.applyRemoval(key, revision);
  }

  private applyRemoval(key: string, revision: number, troubleAgeMs?: number): void {
    const item = this.items.get(key);
    if (!item || item.revision >= revision) return;
    this.remove(key, revision, { cause: RemovalCause.Removed, troubleAgeMs });
  }

  private put(item: StoreItem): void {
    // A listing may be older than a removal that another follower handed on: an endpoint put back by it would stay.
    const knownAt = this.items.get(item.key)?.revision ?? this.removed.get(item.key) ?? -1;
    if (knownAt >= item.revision) return;
    this.items.set(item.key, item);
    this.options.listener.handlePut(item, false);
  }

  private evictOldestRemoval(): void {
    if (this.removed.size <= maxKeptRemovals) return;
    for (const [key, removedAt] of this.removed) {
      this.removed.delete(key);
      this.removalsCompleteFrom = Math.max(this.removalsCompleteFrom, removedAt);
      return;
    }
  }

  private remove(key: string, revision: number, removal: Removal): void {
    if (!this.items.delete(key)) return;
    // Deleted first, so that the map stays in the order of revisions.
    this.removed.delete(key);
    this.removed.set(key, revision);
    this.evictOldestRemoval();
    this.options.listener.handleRemoved(key, removal);
  }
}

function isSameItem(one: StoreItem, other: StoreItem | undefined): boolean {
  return other?.revision === one.revision && Buffer.compare(one.value, other.value) === 0;
}
