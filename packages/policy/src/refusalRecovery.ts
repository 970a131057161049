/**
 * How long an endpoint is left alone after it refused a request, if it crashes when it refuses too many within a second.
 * @module
 */

/** Time over which the refusals of an endpoint are counted. */
const refusalWindowMs = 1_000;
/** Requests that may be refused together, because they were sent before the first refusal was known. */
const refusedTogether = 3;

/** Returns the milliseconds for which nothing is sent there, so that refusals stay within `limit` a second. */
export function getRefusalRecoveryMs(limit: number): number {
  return refusalWindowMs * Math.min(1, refusedTogether / Math.max(1, limit));
}
