/**
 * Divides the rate of a workspace's limit among the ranks of its requests: a quarter of the proportional share for each rank
 * first, then the remainder in order of urgency.
 * @module
 */

/** Units a second that a rank requests; rank 0 is the most urgent. */
export interface RankDemand {
  readonly rank: number;
  readonly unitsPerSecond: number;
}

/**
 * Share of a rank's proportional part that it gets before the remainder is divided by urgency. With it, the least urgent rank
 * makes progress throughout a shortage; a larger share would take units from urgent requests, which are worth more to callers.
 */
export const guaranteedShare = 0.25;

/**
 * Returns the units a second of each rank, in the order of the demands, which must be sorted by rank. No rank gets more than its
 * demand, and all together get at most `available`, unless all demand is within the rate. `available` is at least the guaranteed
 * share of the rate; it differs from the rate while the level of the limit is moved up or down.
 */
export function computeLimitShares(
  demands: readonly RankDemand[],
  ratePerSecond: number,
  available = ratePerSecond,
): readonly number[] {
  const total = demands.reduce((sum, { unitsPerSecond }) => sum + unitsPerSecond, 0);
  if (total <= ratePerSecond) return demands.map(({ unitsPerSecond }) => unitsPerSecond);
  const guarantee = (ratePerSecond * guaranteedShare) / total;
  let remainder = available - ratePerSecond * guaranteedShare;
  return demands.map(({ unitsPerSecond }) => {
    const guaranteed = unitsPerSecond * guarantee;
    const added = Math.min(remainder, unitsPerSecond - guaranteed);
    remainder -= added;
    return guaranteed + added;
  });
}
