/**
 * Obtains the store's content for an instance that is not a reader: from its selected reader, or from
 * the store itself while no reader sends it.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import { ReaderSelection } from "../fleet/readerSelection.js";
import { type ConfigurationFollower, StoreRole } from "../configuration/configurationFollower.js";
import type { FeedTimings } from "./feedTimings.js";
import { type FeedMessage, type FeedState, FeedReplication } from "./feedReplication.js";
import type { PrefixFollower } from "./prefixFollower.js";
import type { StoreEras } from "./storeEras.js";

/** Options of a feed. */
export interface StoreFeedOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Name of this instance. */
  readonly ownName: string;
  readonly timings: FeedTimings;
  readonly eras: StoreEras;
  readonly configuration: ConfigurationFollower;
  /** Followers whose changes readers send, by prefix. */
  readonly followers: Readonly<Record<string, PrefixFollower>>;
}

/** Sends the store's content as a reader, and applies what another reader sends. */
export class StoreFeed {
  private readonly feed: FeedReplication;
  private readonly selection: ReaderSelection;
  /** Time of the last reply from a reader that the store serves. */
  private lastFedAt = -Infinity;

  private constructor(private readonly options: StoreFeedOptions) {
    const { ownName, timings, configuration, followers } = options;
    this.feed = FeedReplication.create(options.eras, configuration, followers, timings.maxStoreAgeMs);
    this.selection = ReaderSelection.create(ownName, timings.readerTimeoutMs);
  }

  static create(options: StoreFeedOptions): StoreFeed {
    return new StoreFeed(options);
  }

  /** Whether a reader has sent the store's content recently enough. */
  get isActive(): boolean {
    return this.options.clock.getTime() - this.lastFedAt < this.options.timings.feedLifetimeMs;
  }

  /**
   * Whether this instance requests content from readers. A reader does so too while the store refuses it,
   * because it would otherwise keep using endpoints that have left.
   */
  isRequestingContent(isReader: boolean): boolean {
    return !isReader || this.options.configuration.isStoreLost;
  }

  /** Returns the reader to send requests to now; undefined if this instance needs none or none is linked. */
  chooseReader(isReader: boolean, linked: readonly string[]): string | undefined {
    if (!this.isRequestingContent(isReader)) return undefined;
    return this.selection.choose(linked, this.options.clock.getTime());
  }

  /** Returns what this instance already has, sent with a request so that the reader can leave it out. */
  getState(): FeedState {
    return this.feed.getState();
  }

  /** Creates the message with everything that this instance has and the requester lacks. */
  createMessage(state: FeedState): FeedMessage {
    return this.feed.createMessage(state);
  }

  /**
   * Applies a reader's reply to a report that was sent at a boot time. A reply from a reader that the store
   * does not serve is discarded.
   */
  apply(message: FeedMessage, calledAt: number): void {
    const time = this.options.clock.getTime();
    this.selection.recordReply(time);
    if (this.feed.apply(message, calledAt)) {
      this.lastFedAt = time;
      return;
    }
    // The store may refuse other readers too, so this instance reads the store itself until another reader
    // sends newer content.
    this.lastFedAt = -Infinity;
    this.selection.skip(time);
    const { era, storeAgeMs } = message;
    this.options.logger.info("feed.passed-over", { era, storeAgeMs: Math.round(storeAgeMs) });
  }

  /**
   * Sets the role that follows from whether this instance is a reader and whether a reader sends it the store's
   * content.
   */
  setRole(isReader: boolean): void {
    const ownRole = this.isActive ? StoreRole.ViaReader : StoreRole.Direct;
    this.feed.setRole(isReader ? StoreRole.Reader : ownRole);
  }
}
