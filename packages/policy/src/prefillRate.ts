/**
 * How fast engines read prompts, learned from what they do: the tokens that a prompt made an engine read, against the
 * time until its first event.
 *
 * The rate is the inverse of the median slope between pairs of observations. Whatever is added to every observation
 * (the way there, the first decoding steps) falls out of a slope, and the median stands as long as less than about
 * three tenths of the observations are off, whichever way: a slow endpoint, or a prompt that was cached unknown to us.
 * @module
 */

/** One first event. */
export interface PrefillObservation {
  /** Prompt tokens that the endpoint had to read. */
  readonly tokens: number;
  /** Milliseconds from the sending of the request until its first event. */
  readonly elapsedMs: number;
}

/** Rates in tokens a millisecond outside of which no engine is believed to work. */
export const prefillRateBounds = { least: 2, most: 2_000 };

/** Observations below which nothing is said: their pairs would be too few for a median. */
export const minPrefillObservations = 16;

/** Two prompts that differ by less say more about chance than about reading: 300 tokens are 2 to 10 ms. */
const leastDifference = 300;
/** Pairs below which nothing is said. */
const leastPairs = 30;

/** Estimates the rate, tokens a millisecond; undefined where the observations do not tell. */
export function estimatePrefillRate(observations: readonly PrefillObservation[]): number | undefined {
  if (observations.length < minPrefillObservations) return undefined;
  const slopes = getSlopes(observations);
  if (slopes.length < leastPairs) return undefined;
  const slope = getMedian(slopes);
  const { least, most } = prefillRateBounds;
  return slope <= 1 / most ? most : Math.max(least, 1 / slope);
}

/** Median of a list that is not empty; the mean of the two in the middle of an even one. */
export function getMedian(values: readonly number[]): number {
  const sorted = Float64Array.from(values).sort();
  const upper = sorted.length >> 1;
  const lower = (sorted.length - 1) >> 1;
  return (sorted[lower]! + sorted[upper]!) / 2;
}

/** Milliseconds a token between each two observations that differ enough. */
function getSlopes(observations: readonly PrefillObservation[]): readonly number[] {
  const slopes: number[] = [];
  for (const [index, one] of observations.entries()) {
    for (const other of observations.slice(index + 1)) {
      const difference = other.tokens - one.tokens;
      if (Math.abs(difference) < leastDifference) continue;
      slopes.push((other.elapsedMs - one.elapsedMs) / difference);
    }
  }
  return slopes;
}
