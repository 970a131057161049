/**
 * Computes the time limits of the store feed from the shortest time in which operators require a change to be
 * applied. Whatever fails on the way (the store refuses a reader, a reader falls silent, or all of them do at
 * once), an instance must have read the store itself and received a response before that time is over.
 * @module
 */

/** Time limits of readers and of the instances that they feed, in milliseconds. */
export interface FeedTimings {
  /** Time between two proving reads of a reader. */
  readonly proofIntervalMs: number;
  /** Messages of a reader whose last answered read was sent longer ago are discarded. */
  readonly maxStoreAgeMs: number;
  /** An instance that has received no reply from a reader for this time reads the store itself. */
  readonly feedLifetimeMs: number;
  /** A reader that has not replied for this time is skipped for the next. */
  readonly readerTimeoutMs: number;
  /** Maximum duration of a watch of endpoints. */
  readonly watchWaitMs: number;
  /**
   * An endpoint whose record is gone, perhaps because of a failure of the store, remains in use for this time.
   */
  readonly unlistedMs: number;
}

/** Two reads fit into the maximum age, so that a reader's messages are still applied if one read is lost. */
const proofShare = 0.3;
const storeAgeShare = 0.6;
/** The rest of the time is for one listing, its retry, and the interval until the missing response is noticed. */
const lifetimeShare = 0.5;
/** Two readers can be tried, one after the other, within the feed's lifetime. */
const readerTimeoutShare = 0.2;

/** A broken watch is detected within twice this share, and a listing and one report interval follow. */
const watchShare = 0.3;
/** Share that a missing record may add to the longest time until a change is applied. */
const unlistedShare = 0.2;

/** Returns the time limits for a bound within which a change has to be applied. */
export function createFeedTimings(boundMs: number): FeedTimings {
  return {
    proofIntervalMs: boundMs * proofShare,
    maxStoreAgeMs: boundMs * storeAgeShare,
    feedLifetimeMs: boundMs * lifetimeShare,
    readerTimeoutMs: boundMs * readerTimeoutShare,
    watchWaitMs: boundMs * watchShare,
    unlistedMs: boundMs * unlistedShare,
  };
}
