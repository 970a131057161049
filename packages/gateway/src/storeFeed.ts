/**
 * How an instance that is no reader of the store comes by what the store holds: from the reader that it asks, or from
 * the store itself while no reader tells it.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import { AskedReader } from "./askedReader.js";
import { type ConfigurationFollower, StoreRole } from "./configurationFollower.js";
import type { FeedTimes } from "./feedTimes.js";
import { type FeedMessage, type FeedState, FleetFeed } from "./fleetFeed.js";
import type { PrefixFollower } from "./prefixFollower.js";
import type { StoreEras } from "./storeEras.js";

/** Options of a feed. */
export interface StoreFeedOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Name of this instance. */
  readonly own: string;
  readonly times: FeedTimes;
  readonly eras: StoreEras;
  readonly configuration: ConfigurationFollower;
  /** Followers of what is handed on, by prefix. */
  readonly followers: Readonly<Record<string, PrefixFollower>>;
}

/** What the store holds, as readers tell it and are told. */
export class StoreFeed {
  private readonly feed: FleetFeed;
  private readonly asked: AskedReader;
  /** When a reader that the store serves last answered. */
  private fedAt = -Infinity;

  private constructor(private readonly options: StoreFeedOptions) {
    const { own, times, configuration, followers } = options;
    this.feed = FleetFeed.create(options.eras, configuration, followers, times.longestStoreAgeMs);
    this.asked = AskedReader.create(own, times.patienceMs);
  }

  static create(options: StoreFeedOptions): StoreFeed {
    return new StoreFeed(options);
  }

  /** Whether a reader told this instance a moment ago what the store holds. */
  get isFed(): boolean {
    return this.options.clock.getTime() - this.fedAt < this.options.times.lifetimeMs;
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
    return this.asked.choose(linked, this.options.clock.getTime());
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
  take(message: FeedMessage, askedAt: number): void {
    const time = this.options.clock.getTime();
    this.asked.noteAnswered(time);
    if (this.feed.take(message, askedAt)) {
      this.fedAt = time;
      return;
    }
    // The store may have turned away more readers than this one: this instance asks it itself until another tells more.
    this.fedAt = -Infinity;
    this.asked.passOver(time);
    const { era, storeAgeMs } = message;
    this.options.logger.info("feed.passed-over", { era, storeAgeMs: Math.round(storeAgeMs) });
  }

  /** Takes up the role that follows from whether this instance is a reader, and from what it was told. */
  setRole(isReader: boolean): void {
    const ownRole = this.isFed ? StoreRole.Fed : StoreRole.Alone;
    this.feed.setRole(isReader ? StoreRole.Reader : ownRole);
  }
}
