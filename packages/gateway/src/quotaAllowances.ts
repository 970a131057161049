/**
 * How what operators bear over a limit is dealt out: the slack, once, and a share of the limit itself. Each source of error
 * has an allowance of its own here and nowhere else, so that all of them together stay within what is borne.
 *
 * | source of error                                              | bound                                | from              |
 * | ------------------------------------------------------------ | ------------------------------------ | ----------------- |
 * | given out beyond the burst, so that less is refused          | `givenShare`                         | slack             |
 * | restarts of the whole fleet: what was used before is unknown | `restartShare`, two in a window      | slack, share of the limit |
 * | runs that are repeated while the limit is spent              | `repeatShare`                        | slack             |
 * | units that instances took and have not told yet              | `untoldShare`, split over the fleet  | share of the limit |
 * | two arbiters at once: what one gives until the other hears   | `lateShare`                          | share of the limit |
 *
 * @module
 */
import type { Workspace } from "./types.js";

/** What operators bear over a limit. */
export interface QuotaTolerance {
  /** Units, once. */
  readonly slack: number;
  /** Share of what the limit allows in a window. */
  readonly overshoot: number;
  /** Window that limits are counted over. */
  readonly windowMs: number;
}

/** Units that each source of error may add to a workspace's limit, over the whole fleet. */
export interface QuotaAllowances {
  readonly extraBurst: number;
  /** Of one restart of the whole fleet. */
  readonly restart: number;
  readonly retries: number;
  readonly unreported: number;
  readonly arbiterOverlap: number;
}

/** Restarts of the whole fleet in one window that the allowances are dealt out for. */
export const restartsPerWindow = 2;

const extraBurstShare = 0.35;
/** A second's worth at once after a restart, of the smallest limits (36,000 a second beside a slack of 140,000). */
const restartShare = 0.26;
const restartLimitShare = 0.1;
/** One of the longest prompts (12,000 tokens beside a slack of 140,000). */
const retryShare = 0.13;
const unreportedShare = 0.4;
/** Another arbiter's grants of 0.36 s, in windows of 8 s: a report of a large fleet, and its way. */
const arbiterOverlapShare = 0.4;

const millisecondsPerSecond = 1_000;

/** Returns the allowances of a workspace's limit. */
export function getAllowances(
  { ratePerSecond, burst }: Pick<Workspace, "ratePerSecond" | "burst">,
  { slack, overshoot, windowMs }: QuotaTolerance,
): QuotaAllowances {
  const borne = overshoot * ((ratePerSecond * windowMs) / millisecondsPerSecond + burst);
  return {
    extraBurst: slack * extraBurstShare,
    restart: slack * restartShare + borne * restartLimitShare,
    retries: slack * retryShare,
    unreported: borne * unreportedShare,
    arbiterOverlap: borne * arbiterOverlapShare,
  };
}
