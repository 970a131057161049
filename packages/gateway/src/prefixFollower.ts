/**
 * Follows all items under a prefix of the store: a listing, then a watch from its revision on. Whatever goes wrong
 * with the watch, the next step is a new listing.
 * @module
 */
import { type Clock, type Closeable, type Failure, type Logger, waitFor } from "@gladewall/kernel";
import type { MetadataStore, StoreEvent, StoreItem } from "./types.js";

/** What a follower tells. Calls come in the order of the store's revisions. */
export interface PrefixListener {
  handlePut(item: StoreItem): void;
  handleRemoved(key: string): void;
}

/** Options of a follower. */
export interface PrefixFollowerOptions {
  readonly store: MetadataStore;
  readonly prefix: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly listener: PrefixListener;
}

const watchWaitMs = 15_000;
const firstPauseMs = 50;
const longestPauseMs = 400;

/** Follows one prefix. */
export class PrefixFollower implements Closeable {
  /** Whether a listing has ever been had. */
  isListed = false;
  private readonly revisions = new Map<string, number>();
  private readonly stop = new AbortController();
  private round = new AbortController();
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

  async close(): Promise<void> {
    this.stop.abort();
    this.round.abort();
    await this.task;
  }

  private async follow(): Promise<void> {
    const { clock, logger, prefix } = this.options;
    let pause = firstPauseMs;
    while (!this.stop.signal.aborted) {
      this.round = new AbortController();
      const startedAt = clock.getTime();
      const failure = await this.followOnce(this.round.signal);
      if (this.stop.signal.aborted) return;
      const hasLasted = clock.getTime() - startedAt > longestPauseMs;
      pause = hasLasted ? firstPauseMs : Math.min(longestPauseMs, pause * 2);
      logger.info("store.follow", { prefix, outcome: "relist", failure: failure.name, pauseMs: pause });
      await waitFor(clock, pause, this.stop.signal);
    }
  }

  /** Lists, then watches until something fails. */
  private async followOnce(signal: AbortSignal): Promise<Failure> {
    const { store, prefix } = this.options;
    const listing = await store.list(prefix);
    if (listing.isErr()) return listing.error;
    this.takeListing(listing.value.items);
    let { revision } = listing.value;
    for (;;) {
      const changes = await store.watch(prefix, revision, watchWaitMs, signal);
      if (changes.isErr()) return changes.error;
      for (const event of changes.value.events) this.takeEvent(event);
      revision = Math.max(revision, changes.value.revision);
    }
  }

  private takeListing(items: readonly StoreItem[]): void {
    const listed = new Set(items.map(({ key }) => key));
    for (const key of [...this.revisions.keys()]) {
      if (!listed.has(key)) this.remove(key);
    }
    for (const item of items) this.put(item);
    this.isListed = true;
  }

  private takeEvent({ key, revision, value }: StoreEvent): void {
    if (value) this.put({ key, revision, value });
    else if ((this.revisions.get(key) ?? 0) < revision) this.remove(key);
  }

  private put(item: StoreItem): void {
    if ((this.revisions.get(item.key) ?? -1) >= item.revision) return;
    this.revisions.set(item.key, item.revision);
    this.options.listener.handlePut(item);
  }

  private remove(key: string): void {
    if (this.revisions.delete(key)) this.options.listener.handleRemoved(key);
  }
}
