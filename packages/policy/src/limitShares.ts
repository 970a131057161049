/**
 * Divides the rate of a workspace's limit among the ranks of its requests: a quarter of the proportional share for each rank
 * first, then the remainder in order of urgency. The routes of one rank divide its share by max-min fairness.
 * @module
 */

/** Units a second that a rank, or one route of it, requests; rank 0 is the most urgent. */
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

/**
 * Divides an amount by max-min fairness: nobody gets more than its demand, and whoever gets less than that gets no less than any
 * other. Returns the shares in the order of the demands; together they are the amount, or the demands if these are less.
 */
export function computeMaxMinShares(demands: readonly number[], amount: number): readonly number[] {
  const shares = demands.map(() => 0);
  const ascending = demands.map((_, index) => index).sort((left, right) => demands[left]! - demands[right]!);
  let remainder = amount;
  ascending.forEach((index, position) => {
    shares[index] = Math.min(demands[index]!, remainder / (ascending.length - position));
    remainder -= shares[index];
  });
  return shares;
}

/**
 * Returns the units a second of each route, in the order of the demands, which must be sorted by rank: the shares of the ranks by
 * `computeLimitShares`, divided among the routes of each rank by max-min fairness.
 */
export function computeRouteShares(
  demands: readonly RankDemand[],
  ratePerSecond: number,
  available = ratePerSecond,
): readonly number[] {
  const routesByRank = new Map<number, number[]>();
  for (const { rank, unitsPerSecond } of demands) {
    const routes = routesByRank.get(rank);
    if (routes) routes.push(unitsPerSecond);
    else routesByRank.set(rank, [unitsPerSecond]);
  }
  const ranks = Array.from(routesByRank, ([rank, routes]) => ({
    rank,
    unitsPerSecond: routes.reduce((sum, units) => sum + units, 0),
  }));
  const shares = computeLimitShares(ranks, ratePerSecond, available);
  return ranks.flatMap(({ rank }, index) => computeMaxMinShares(routesByRank.get(rank)!, shares[index]!));
}
