/**
 * Estimates the prefill rate of engines, the rate at which they process prompts, from the number of prompt
 * tokens and the time to the first event of each request.
 *
 * The rate is the inverse of the median slope between pairs of observations (Theil-Sen estimator). A constant
 * part of every observation (network latency, the first decoding steps) cancels out in a slope. The median
 * stays close to the true slope as long as less than about three tenths of the observations are off in either
 * direction, for example because of a slow endpoint or a prompt that was cached without this entry knowing.
 * @module
 */

/** The first event of one request. */
export interface PrefillObservation {
  /** Prompt tokens that the endpoint had to process. */
  readonly tokens: number;
  /** Milliseconds from sending the request to its first event. */
  readonly elapsedMs: number;
}

/** Plausible range of the rate, in tokens per millisecond. Estimates outside are clamped. */
export const prefillRateBounds = { min: 2, max: 2_000 };

/** Minimum number of observations for an estimate; fewer have too few pairs for a median. */
export const minPrefillObservations = 16;

/**
 * Minimum difference in tokens between the prompts of a pair: 300 tokens take 2 to 10 ms, and less is lost in
 * noise.
 */
const minTokenDifference = 300;
/** Minimum number of pairs for an estimate. */
const minPairs = 30;

/**
 * Estimates the rate in tokens per millisecond; undefined if there are too few observations or too few usable
 * pairs.
 */
export function estimatePrefillRate(observations: readonly PrefillObservation[]): number | undefined {
  if (observations.length < minPrefillObservations) return undefined;
  const slopes = getSlopes(observations);
  if (slopes.length < minPairs) return undefined;
  const slope = getMedian(slopes);
  const { min, max } = prefillRateBounds;
  return slope <= 1 / max ? max : Math.max(min, 1 / slope);
}

/** Returns the median of a non-empty list; for an even length, the mean of the two middle values. */
export function getMedian(values: readonly number[]): number {
  const sorted = Float64Array.from(values).sort();
  const upper = sorted.length >> 1;
  const lower = (sorted.length - 1) >> 1;
  return (sorted[lower]! + sorted[upper]!) / 2;
}

/**
 * Returns the slopes, in milliseconds per token, between all pairs of observations whose token counts differ
 * enough.
 */
function getSlopes(observations: readonly PrefillObservation[]): readonly number[] {
  const slopes: number[] = [];
  for (const [index, left] of observations.entries()) {
    for (const right of observations.slice(index + 1)) {
      const difference = right.tokens - left.tokens;
      if (Math.abs(difference) < minTokenDifference) continue;
      slopes.push((right.elapsedMs - left.elapsedMs) / difference);
    }
  }
  return slopes;
}
