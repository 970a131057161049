/**
 * Follows all items under a prefix of the store: it lists them, then watches from the revision of the listing.
 * After any failure of the watch it lists again.
 *
 * The changes that a follower knows can be sent to the follower of another instance. Revisions count for the
 * whole store, so that a follower which knows all changes up to one revision needs only the later ones, from
 * any follower that knows them.
 * @module
 */
import { type Clock, type Closeable, Failure, FailureCode, type Logger, waitFor } from "@gladewall/kernel";
import { type StorePosition, initialEra } from "./storeEras.js";
import type { MetadataStore, StoreEvent, StoreItem } from "../types.js";

/** Why an item is no longer listed. */
export enum RemovalCause {
  Removed = 1,
  /** The store was restored from a snapshot that lacks the item; its writer may write it again. */
  Lost = 2,
}

/** How an item was removed. */
export interface Removal {
  readonly cause: RemovalCause;
  /**
   * Milliseconds since a call to the store last failed at the instance that sent the removal; undefined if this
   * instance read it from the store itself.
   */
  readonly troubleAgeMs: number | undefined;
}

/** Receives the changes of a prefix, in the order of the store's revisions. */
export interface PrefixListener {
  /**
   * `isRestored`: the item may come from the snapshot that the store was restored from, and be older than what was
   * known before.
   */
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
   * Maximum duration of a watch, in milliseconds. A watch whose connection is broken without an error receives
   * nothing for at most twice that time.
   */
  readonly watchWaitMs?: number;
  /**
   * Time between the first listing and the first watch, in milliseconds; 0 by default. An instance that a
   * reader begins to feed in that time needs no watch.
   */
  readonly firstWatchPauseMs?: number;
  /** Whether a first listing is required even if a reader sends the items; true by default. */
  readonly isListingNeeded?: boolean;
}

/** The changes under a prefix after some revision, or a complete listing. */
export interface PrefixChanges {
  /** Era of all revisions; earlier builds leave it out. */
  readonly era?: number;
  /** Revision up to which the changes are complete. */
  readonly revision: number;
  readonly items: readonly StoreItem[];
  /** Removed keys; empty in a listing. */
  readonly removed: readonly { readonly key: string; readonly revision: number }[];
  /** Whether `items` is the complete content of the prefix. */
  readonly isListing: boolean;
  /** Milliseconds for which the sender may not have heard of changes; earlier builds leave it out. */
  readonly ageMs?: number;
}

/** Default duration of a watch, for content that is also proven by reads or that is not needed soon. */
const defaultWatchWaitMs = 15_000;
/** Pause between two watches, so that changes which come close together cost one call. */
const batchMs = 120;
const minRetryPauseMs = 50;
const maxRetryPauseMs = 800;
/** Number of removed keys that are kept, to be sent to other followers. */
const maxKeptRemovals = 500;

/** Follows one prefix. */
export class PrefixFollower implements Closeable {
  /** Whether a listing has ever been applied. */
  isListed = false;
  /**
   * Time for which changes may not have been known before the last message from the store or a reader arrived, in
   * milliseconds. The changes in that message may have been acknowledged that long before its arrival.
   */
  silenceMs = Infinity;
  /** Boot time at which the store had sent no change that is not known here. */
  private completeAt = -Infinity;

  /** Milliseconds for which changes of the store may not be known here; infinite before the first message. */
  get ageMs(): number {
    return this.options.clock.getBootTime() - this.completeAt;
  }

  /** Era of all revisions in this follower. */
  private era = initialEra;
  /** Revision up to which all changes are known. */
  private revision = 0;
  private readonly items = new Map<string, StoreItem>();
  /** Removed keys and the revisions of their removal, oldest first. */
  private readonly removed = new Map<string, number>();
  /** Removals are known completely only from this revision on. */
  private removalsCompleteFrom = 0;
  private readonly stop = new AbortController();
  private attempt = new AbortController();
  private isPassive = false;
  private hasPaused = false;
  private wake: () => void = () => undefined;
  private task: Promise<void> = Promise.resolve();

  private constructor(private readonly options: PrefixFollowerOptions) {}

  static create(options: PrefixFollowerOptions): PrefixFollower {
    return new PrefixFollower(options);
  }

  start(): void {
    this.task = this.follow();
  }

  /** Aborts the pending watch and lists again; called when the store answers again after a failure. */
  restart(): void {
    this.attempt.abort();
  }

  /**
   * Makes the follower passive or active. A passive follower that needs no listing does not call the store,
   * because a reader sends the changes.
   */
  setPassive(isPassive: boolean): void {
    if (isPassive === this.isPassive) return;
    this.isPassive = isPassive;
    if (isPassive) this.attempt.abort();
    else this.wake();
  }

  /**
   * Position up to which all changes are known; undefined before the first listing of the store's current era.
   */
  getPosition(): StorePosition | undefined {
    const { era, revision } = this;
    return this.isListed && era === this.options.store.eras.current ? { era, revision } : undefined;
  }

  /** Returns an item in its last known state. */
  getItem(key: string): StoreItem | undefined {
    return this.items.get(key);
  }

  /**
   * Returns the changes after a position, or a listing if they are not known completely; undefined if nothing
   * is known of the current era.
   */
  getChanges(since: StorePosition | undefined): PrefixChanges | undefined {
    const position = this.getPosition();
    if (!position) return undefined;
    const isComparable = since?.era === position.era && since.revision >= this.removalsCompleteFrom;
    const known = { ...position, ageMs: Math.round(this.ageMs) };
    if (!isComparable) return { ...known, items: [...this.items.values()], removed: [], isListing: true };
    const items = [...this.items.values()].filter((item) => item.revision > since.revision);
    const removed = [...this.removed]
      .filter(([, removalRevision]) => removalRevision > since.revision)
      .map(([key, removalRevision]) => ({ key, revision: removalRevision }));
    return { ...known, items, removed, isListing: false };
  }

  /**
   * Applies the changes that another follower sent in reply to a call at a boot time; `troubleAgeMs` is the time since a
   * call of that follower's instance to the store last failed. Changes of another era than the current one are discarded,
   * and so are changes without a listing if this follower has no listing of that era.
   */
  applyChanges(
    changes: PrefixChanges,
    troubleAgeMs: number,
    calledAt = this.options.clock.getBootTime(),
  ): void {
    const { era = initialEra, revision, items, removed, isListing, ageMs = 0 } = changes;
    const isOwnEra = era === this.era;
    if (era !== this.options.store.eras.current || (!isListing && !isOwnEra)) return;
    if (isListing && isOwnEra && revision < this.revision) return;
    this.recordComplete(calledAt - Math.max(0, ageMs));
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
    this.attempt.abort();
    this.wake();
    await this.task;
  }

  private async follow(): Promise<void> {
    const { clock, logger, prefix } = this.options;
    let pause = minRetryPauseMs;
    while (!this.stop.signal.aborted) {
      await this.waitWhilePassive();
      if (this.stop.signal.aborted) return;
      this.attempt = new AbortController();
      const startedAt = clock.getTime();
      const failure = await this.followOnce(this.attempt.signal);
      if (this.stop.signal.aborted) return;
      if (this.isIdle) continue;
      const hasLasted = clock.getTime() - startedAt > maxRetryPauseMs;
      pause =
        hasLasted || this.attempt.signal.aborted ? minRetryPauseMs : Math.min(maxRetryPauseMs, pause * 2);
      logger.info("store.follow", { prefix, outcome: "relist", failure: failure.name, pauseMs: pause });
      await waitFor(clock, pause, this.attempt.signal.aborted ? this.stop.signal : this.attempt.signal);
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

  /** Lists, then watches until a call fails or the signal aborts; returns the failure. */
  private async followOnce(signal: AbortSignal): Promise<Failure> {
    const { store, prefix, clock, watchWaitMs = defaultWatchWaitMs } = this.options;
    const listedAt = clock.getBootTime();
    const listing = await store.list(prefix);
    if (listing.isErr()) return listing.error;
    this.recordComplete(listedAt);
    this.applyListing(listing.value.items, listing.value.position);
    await this.pauseOnce(signal);
    while (!signal.aborted) {
      const { era, revision: since } = this;
      const watchedAt = clock.getBootTime();
      const changes = await store.watch(prefix, { era, revision: since }, watchWaitMs, signal);
      if (changes.isErr()) return changes.error;
      // Another follower may have sent a listing of a later era in the meantime.
      if (changes.value.position.era !== this.era) {
        return Failure.create(FailureCode.HistoryLost, { revision: since });
      }
      const { events, position } = changes.value;
      // The store waits before it replies without events. With events it may have replied at once.
      this.recordComplete(watchedAt + (events.length === 0 ? watchWaitMs : 0));
      // A watch that received nothing for a while also ends without events. Continuing from its end revision
      // would lose the changes of that time, so the next watch starts from the old revision again: the store
      // then sends those changes, or reports that its history is gone.
      if (events.length === 0) continue;
      for (const event of events) this.applyEvent(event);
      this.revision = Math.max(this.revision, position.revision);
      await waitFor(clock, batchMs, signal);
    }
    return Failure.create(FailureCode.ServiceUnavailable, { detail: "the watch was aborted" });
  }

  /** Waits once before the first watch, so that a reader can begin to feed this instance. */
  private async pauseOnce(signal: AbortSignal): Promise<void> {
    if (this.hasPaused) return;
    this.hasPaused = true;
    await waitFor(this.options.clock, this.options.firstWatchPauseMs ?? 0, signal);
  }

  /**
   * Records that all changes up to a boot time are known. A message counts from the time at which it can have been sent at the earliest:
   * it may have waited in a process or a machine that was suspended.
   */
  private recordComplete(completeAt: number): void {
    const time = this.options.clock.getBootTime();
    this.silenceMs = time - this.completeAt;
    this.completeAt = Math.max(this.completeAt, Math.min(time, completeAt));
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
    for (const { key, revision: putRevision } of [...this.items.values()]) {
      // An item that was put after the listing's revision cannot be in the listing.
      if (listed.has(key) || putRevision > revision) continue;
      this.remove(key, revision, { cause: RemovalCause.Removed, troubleAgeMs });
    }
    for (const item of items) this.put(item);
    this.revision = Math.max(this.revision, revision);
    // A listing does not show removals of items that this follower never knew. If changes since an older revision
    // are requested, the follower therefore sends a complete listing. Without that, an instance fed by a reader
    // that had just started kept using removed endpoints indefinitely.
    this.removalsCompleteFrom = Math.max(this.removalsCompleteFrom, revision);
    this.isListed = true;
  }

  /**
   * Applies the first listing of a new era. Revisions known before are not comparable with it, and missing
   * items may be written again.
   */
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
    // A listing may be older than a removal that another follower sent; without this check it would add a
    // removed endpoint again permanently.
    const knownRevision = this.items.get(item.key)?.revision ?? this.removed.get(item.key) ?? -1;
    if (knownRevision >= item.revision) return;
    this.items.set(item.key, item);
    this.options.listener.handlePut(item, false);
  }

  private evictOldestRemoval(): void {
    if (this.removed.size <= maxKeptRemovals) return;
    for (const [key, removalRevision] of this.removed) {
      this.removed.delete(key);
      this.removalsCompleteFrom = Math.max(this.removalsCompleteFrom, removalRevision);
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
