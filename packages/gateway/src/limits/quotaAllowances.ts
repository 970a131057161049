/**
 * Divides the excess over a limit that operators tolerate: the slack, once, and a share of the limit itself. Each source of
 * error has its own allowance, defined only here, so that all of them together stay within the tolerance.
 *
 * | source of error                                                | allowance             | taken from           |
 * | -------------------------------------------------------------- | --------------------- | -------------------- |
 * | grants beyond the burst, so that less is refused               | `extraBurstShare`     | slack                |
 * | restarts of the whole fleet (two in a window): the usage       | `restartShare`,       | slack,               |
 * | before them is unknown                                         | `restartLimitShare`   | share of the limit   |
 * | retries of runs while the limit is exhausted                   | `retryShare`          | slack                |
 * | units that instances took and have not reported yet, split     | `unreportedShare`     | share of the limit   |
 * | over the fleet                                                 |                       |                      |
 * | two arbiters at once: grants not yet reported to the other     | `arbiterOverlapShare` | share of the limit   |
 *
 * @module
 */
import type { Workspace } from "../types.js";

/** Excess over a limit that operators tolerate. */
export interface QuotaTolerance {
  /** Units that may be exceeded once. */
  readonly slack: number;
  /** Share of the units that the limit allows in a window. */
  readonly overshoot: number;
  /** Length of the window that limits are counted over. */
  readonly windowMs: number;
}

/** Units that each source of error may add to a workspace's limit, over the whole fleet. */
export interface QuotaAllowances {
  readonly extraBurst: number;
  /** Units for one restart of the whole fleet. */
  readonly restart: number;
  readonly retries: number;
  readonly unreported: number;
  readonly arbiterOverlap: number;
}

/** Restarts of the whole fleet in one window that the allowances cover. */
export const restartsPerWindow = 2;

const extraBurstShare = 0.35;
/** After a restart, the smallest limits (36,000 a second with a slack of 140,000) can grant one second's units at once. */
const restartShare = 0.26;
const restartLimitShare = 0.1;
/** Covers one of the longest prompts (12,000 tokens with a slack of 140,000). */
const retryShare = 0.13;
const unreportedShare = 0.4;
/**
 * Covers 0.36 s of another arbiter's grants in a window of 8 s: one report interval of a large fleet and the report's
 * transmission.
 */
const arbiterOverlapShare = 0.4;

const millisecondsPerSecond = 1_000;

/** Returns the allowances for a workspace's limit, in units over the whole fleet. */
export function getAllowances(
  { ratePerSecond, burst }: Pick<Workspace, "ratePerSecond" | "burst">,
  { slack, overshoot, windowMs }: QuotaTolerance,
): QuotaAllowances {
  const tolerated = overshoot * ((ratePerSecond * windowMs) / millisecondsPerSecond + burst);
  return {
    extraBurst: slack * extraBurstShare,
    restart: slack * restartShare + tolerated * restartLimitShare,
    retries: slack * retryShare,
    unreported: tolerated * unreportedShare,
    arbiterOverlap: tolerated * arbiterOverlapShare,
  };
}
