/**
 * Compares units that are to be taken from a limit with its state, and creates the failures of requests that are refused for it.
 * @module
 */
import { Failure, FailureCode } from "@gladewall/kernel";
import type { SharedCounters } from "../counters/sharedCounters.js";
import { CounterKind } from "./counterTypes.js";
import type { Workspace } from "../types.js";

/** Units that are to be taken from a limit, compared with its state. */
export interface QuotaCheck {
  readonly workspace: Workspace;
  readonly cost: number;
  /** Units that must be free. */
  readonly needed: number;
  readonly level: number;
  /** Level up to which units may be taken. */
  readonly bound: number;
  readonly share: number;
}

/** A refusal because the share of a rank is used up. */
export interface ShareRefusal {
  readonly workspace: Workspace;
  readonly rank: number | undefined;
  /** Milliseconds until the rank's share has room. */
  readonly waitMs: number;
  readonly level: number;
  readonly capacity: number;
  readonly getRandom: () => number;
}

/**
 * Share of the fleet whose counts must be known to admit a request larger than the capacity; otherwise two halves of a
 * partitioned fleet could each admit one.
 */
const minShareForOversized = 0.5;
const minRetryAfterMs = 300;
const percent = 100;

/**
 * Returns the units by which a request exceeds the bound; 0 or less if it fits. A request larger than the bound is admitted
 * while the level is 0, but not by instances that are partitioned from the fleet: each of them knows only its own level.
 */
export function getExcess({ needed, level, bound, share }: QuotaCheck): number {
  const isAlone = level === 0 && share >= minShareForOversized;
  return isAlone ? 0 : level + needed - bound;
}

/** Creates the failure of a request for which the limit has no room. */
export function createLimitFailure(
  check: QuotaCheck,
  counters: SharedCounters,
  getRandom: () => number,
): Failure {
  const { workspace, level, bound, share } = check;
  const excess = Math.max(0, getExcess(check));
  const wait = counters.getTimeUntilFreed(CounterKind.Quota, workspace.name, excess);
  const values = {
    workspace: workspace.name,
    limit: workspace.ratePerSecond,
    level: Math.round(level),
    room: Math.round(bound),
    share: Math.round(share * percent),
  };
  // Other callers wait for the same units: a random delay makes it less likely that a retry is refused again.
  const retryAfter = minRetryAfterMs + wait * (1 + getRandom());
  return Failure.create(FailureCode.QuotaSpent, values, retryAfter);
}

/** Creates the failure of a request whose rank has used up its share of the limit. */
export function createShareFailure({
  workspace,
  rank,
  waitMs,
  level,
  capacity,
  getRandom,
}: ShareRefusal): Failure {
  const values = {
    workspace: workspace.name,
    limit: workspace.ratePerSecond,
    rank: rank ?? "?",
    level: Math.round(level),
    room: Math.round(capacity),
  };
  // Spread over one more wait, so that the refused callers do not return together.
  const retryAfter = Math.max(minRetryAfterMs, waitMs) * (1 + getRandom());
  return Failure.create(FailureCode.QuotaShareSpent, values, retryAfter);
}
