/**
 * Retries: only where the outcome allows one, within a budget that is a fraction of successes, never by count alone.
 * @module
 */
import { type Failure, FailureCode, Outcome } from "@gladewall/kernel";
import { RepeatRule } from "./types.js";

const initialBudget = 10;
const highestBudget = 100;

/** Earns a fraction of a retry with each success and spends one with each retry. */
export class RetryBudget {
  private level = initialBudget;

  private constructor(private readonly fraction: number) {}

  /** `fraction`: retries allowed for one success, such as 0.1. */
  static create(fraction: number): RetryBudget {
    return new RetryBudget(fraction);
  }

  /** Counts a success. */
  deposit(): void {
    this.level = Math.min(highestBudget, this.level + this.fraction);
  }

  /** Spends one retry if there is one. */
  tryWithdraw(): boolean {
    if (this.level < 1) return false;
    this.level -= 1;
    return true;
  }
}

/** What may be done after a failed attempt. */
export enum RetryDecision {
  /** Send again, elsewhere. */
  Retry = 1,
  /** Tell the caller. */
  GiveUp = 2,
}

/** Failures after which another endpoint may do better. */
const retriableCodes: ReadonlySet<FailureCode> = new Set([
  FailureCode.EndpointRefused,
  FailureCode.EndpointUnreachable,
  FailureCode.EndpointCut,
  FailureCode.EndpointBadAnswer,
  FailureCode.EndpointFailed,
]);

/** What a retry decision rests on. */
export interface RetryContext {
  readonly failure: Failure;
  readonly repeat: RepeatRule;
  /** Milliseconds left to the deadline. */
  readonly remaining: number;
  readonly budget: RetryBudget;
}

/** Decides about another attempt. A request not to be repeated goes out again only when it surely did not run. */
export function decideRetry(input: RetryContext): RetryDecision {
  if (!retriableCodes.has(input.failure.code)) return RetryDecision.GiveUp;
  if (input.repeat === RepeatRule.Never && input.failure.outcome !== Outcome.NotRun)
    return RetryDecision.GiveUp;
  if (input.remaining <= 0) return RetryDecision.GiveUp;
  return input.budget.tryWithdraw() ? RetryDecision.Retry : RetryDecision.GiveUp;
}
