/**
 * Checks a budget of retries as an operator sees it: arrivals at endpoints beyond the first of each request, in every window.
 * @module
 */

/** A budget of retries. */
export interface RetryBound {
  readonly windowMs: number;
  /** Retries allowed for each request of a window. */
  readonly ratio: number;
  /** Retries of a window allowed in addition. */
  readonly slack: number;
}

/** The window with the most retries beside what is allowed. */
export interface WorstRetryWindow {
  readonly retries: number;
  readonly allowed: number;
}

/**
 * Returns the worst window; times are in milliseconds and sorted. The requests that count for a window are those of itself, of the
 * window before it, or of the one half a window earlier, whichever has most.
 */
export function findWorstRetryWindow(
  requestTimes: readonly number[],
  retryTimes: readonly number[],
  { windowMs, ratio, slack }: RetryBound,
): WorstRetryWindow {
  let worst: WorstRetryWindow = { retries: 0, allowed: slack };
  for (const end of retryTimes) {
    const counts = [0, windowMs / 2, windowMs].map((offset) =>
      countBetween(requestTimes, end - offset - windowMs, end - offset),
    );
    const allowed = ratio * Math.max(...counts) + slack;
    const retries = countBetween(retryTimes, end - windowMs, end);
    if (retries * worst.allowed > worst.retries * allowed) worst = { retries, allowed };
  }
  return worst;
}

/** Counts the times in (from, to]. */
function countBetween(times: readonly number[], from: number, to: number): number {
  return findIndexAfter(times, to) - findIndexAfter(times, from);
}

function findIndexAfter(times: readonly number[], time: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (times[middle]! <= time) low = middle + 1;
    else high = middle;
  }
  return low;
}
