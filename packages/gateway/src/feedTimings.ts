/**
 * How old what an instance knows of the platform's store may grow, reckoned from the shortest time in which the
 * operators want a change taken in. Whatever fails on the way (a reader that the store turns away, a reader that falls
 * silent, all of them at once), an instance must have asked the store itself, and had an answer, before that time is
 * over.
 * @module
 */

/** Times of those who ask the store for others and of those who are told; milliseconds. */
export interface FeedTimings {
  /** Time between two proving reads of a reader. */
  readonly proofIntervalMs: number;
  /** A reader whose last answered read was sent longer ago is not believed. */
  readonly maxStoreAgeMs: number;
  /** An instance that no reader has answered for so long asks the store itself. */
  readonly feedLifetimeMs: number;
  /** A reader that has not answered for so long is passed over for the next. */
  readonly patienceMs: number;
  /** Longest time of a watch of endpoints. */
  readonly watchWaitMs: number;
  /** An endpoint whose record vanished, maybe by the store's trouble, is used on for so long. */
  readonly unlistedMs: number;
}

/** Two reads fit into the longest age, so that one that is lost does not end the belief in a reader. */
const proofShare = 0.3;
const storeAgeShare = 0.6;
/** What is left of the time is for one listing, its retry and the turn in which the silence is noticed. */
const lifetimeShare = 0.5;
/** Two readers can be asked within the lifetime. */
const patienceShare = 0.2;

/** A silent watch is found out within twice this, and a listing and a turn come after it. */
const watchShare = 0.3;
/** What a vanished record may add to the longest time until a change is heard of. */
const unlistedShare = 0.2;

/** Returns the times for a bound in which a change has to be taken in. */
export function createFeedTimings(boundMs: number): FeedTimings {
  return {
    proofIntervalMs: boundMs * proofShare,
    maxStoreAgeMs: boundMs * storeAgeShare,
    feedLifetimeMs: boundMs * lifetimeShare,
    patienceMs: boundMs * patienceShare,
    watchWaitMs: boundMs * watchShare,
    unlistedMs: boundMs * unlistedShare,
  };
}
