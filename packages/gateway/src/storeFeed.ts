/**
 * How an instance that is no reader of the store comes by what the store holds: from the reader that it asks, or from
 * the store itself while no reader tells it.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import { ReaderSelection } from "./readerSelection.js";
import { type ConfigurationFollower, StoreRole } from "./configurationFollower.js";
import type { FeedTimings } from "./feedTimings.js";
import { type FeedMessage, type FeedState, FeedReplication } from "./feedReplication.js";
import type { PrefixFollower } from "./prefixFollower.js";
import type { StoreEras } from "./storeEras.js";

/** Options of a feed. */
export interface StoreFeedOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Name of this instance. */
  readonly own: string;
  readonly timings: FeedTimings;
  readonly eras: StoreEras;
  readonly configuration: ConfigurationFollower;
  /** Followers of what is handed on, by prefix. */
  readonly followers: Readonly<Record<string, PrefixFollower>>;
}

/** What the store holds, as readers tell it and are told. */
export class StoreFeed {
  private readonly feed: FeedReplication;
  private readonly selection: ReaderSelection;
  /** When a reader that the store serves last answered. */
  private lastFedAt = -Infinity;

  private constructor(private readonly options: StoreFeedOptions) {
    const { own, timings: times, configuration, followers } = options;
    this.feed = FeedReplication.create(options.eras, configuration, followers, times.maxStoreAgeMs);
    this.selection = ReaderSelection.create(own, times.patienceMs);
  }

  static create(options: StoreFeedOptions): StoreFeed {
    return new StoreFeed(options);
  }

  /** Whether a reader told this instance a moment ago what the store holds. */
  get isActive(): boolean {
    return this.options.clock.getTime() - this.lastFedAt < this.options.timings.feedLifetimeMs;
  }

  /**
   * Whether this instance asks the readers. One that is a reader itself does so while the store turns it away: it would go
   * on using endpoints that have left.
   */
  isAsking(isReader: boolean): boolean {
    return !isReader || this.options.configuration.isStoreLost;
  }

  /** Chooses the reader to be asked now; undefined where this instance asks none, or none is linked. */
  chooseReader(isReader: boolean, linked: readonly string[]): string | undefined {
    if (!this.isAsking(isReader)) return undefined;
    return this.selection.choose(linked, this.options.clock.getTime());
  }

  /** What this instance knows already, for the reader that it asks. */
  getState(): FeedState {
    return this.feed.getState();
  }

  /** What this instance knows and the one that asks does not. */
  createMessage(state: FeedState): FeedMessage {
    return this.feed.createMessage(state);
  }

  /** Takes a reader's answer to a question asked at a time; one that the store does not serve is passed over. */
  apply(message: FeedMessage, askedAt: number): void {
    const time = this.options.clock.getTime();
    this.selection.recordAnswer(time);
    if (this.feed.apply(message, askedAt)) {
      this.lastFedAt = time;
      return;
    }
    // The store may have turned away more readers than this one: this instance asks it itself until another tells more.
    this.lastFedAt = -Infinity;
    this.selection.skip(time);
    const { era, storeAgeMs } = message;
    this.options.logger.info("feed.passed-over", { era, storeAgeMs: Math.round(storeAgeMs) });
  }

  /** Takes up the role that follows from whether this instance is a reader, and from what it was told. */
  setRole(isReader: boolean): void {
    const ownRole = this.isActive ? StoreRole.ViaReader : StoreRole.Direct;
    this.feed.setRole(isReader ? StoreRole.Reader : ownRole);
  }
}
