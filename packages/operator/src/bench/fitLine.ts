/**
 * Linear regression by least squares, from which the benchmarks read slopes.
 * @module
 */

/** The line `value = base + slope * x` with its goodness of fit. */
export interface Fit {
  readonly base: number;
  readonly slope: number;
  /** Coefficient of determination, 0 to 1. */
  readonly r2: number;
}

/** Fits a line to points `[x, value]` by least squares. */
export function fitLine(points: readonly (readonly [x: number, value: number])[]): Fit {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanValue = points.reduce((sum, [, value]) => sum + value, 0) / count;
  let covariance = 0;
  let varianceX = 0;
  let varianceValue = 0;
  for (const [x, value] of points) {
    covariance += (x - meanX) * (value - meanValue);
    varianceX += (x - meanX) ** 2;
    varianceValue += (value - meanValue) ** 2;
  }
  const slope = varianceX === 0 ? 0 : covariance / varianceX;
  const r2 = varianceX === 0 || varianceValue === 0 ? 1 : covariance ** 2 / (varianceX * varianceValue);
  return { base: meanValue - slope * meanX, slope, r2 };
}
