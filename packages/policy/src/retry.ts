/**
 * Decides whether a failed request is retried: only if its failure and outcome allow it, and within a budget that is a
 * fraction of the successful requests. There is no fixed number of retries per request.
 * @module
 */
import { type Failure, FailureCode, Outcome } from "@gladewall/kernel";
import { RepeatRule } from "./types.js";

const initialBalance = 10;
const maxBalance = 100;

/** Retry budget. Each success deposits a fraction of a retry; each retry withdraws one. */
export class RetryBudget {
  private balance = initialBalance;

  private constructor(private readonly fraction: number) {}

  /** `fraction`: retries allowed per success, such as 0.1. */
  static create(fraction: number): RetryBudget {
    return new RetryBudget(fraction);
  }

  /** Deposits the fraction earned by one success. */
  deposit(): void {
    this.balance = Math.min(maxBalance, this.balance + this.fraction);
  }

  /** Withdraws one retry; returns false if the budget does not cover one. */
  tryWithdraw(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}

/** Decision after a failed attempt. */
export enum RetryDecision {
  /** Send the request to another endpoint. */
  Retry = 1,
  /** Return the failure to the caller. */
  GiveUp = 2,
}

/** Failures after which another endpoint may succeed. */
const retryableCodes: ReadonlySet<FailureCode> = new Set([
  FailureCode.EndpointRefused,
  FailureCode.EndpointUnreachable,
  FailureCode.EndpointCut,
  FailureCode.EndpointBadAnswer,
  FailureCode.EndpointFailed,
]);

/** Inputs of a retry decision. */
export interface RetryContext {
  readonly failure: Failure;
  readonly repeat: RepeatRule;
  /** Milliseconds until the deadline. */
  readonly remaining: number;
  readonly budget: RetryBudget;
}

/**
 * Decides whether to make another attempt, and withdraws it from the budget. A request that must not run twice is sent
 * again only if it is certain that it did not run.
 */
export function decideRetry(input: RetryContext): RetryDecision {
  if (!retryableCodes.has(input.failure.code)) return RetryDecision.GiveUp;
  if (input.repeat === RepeatRule.Never && input.failure.outcome !== Outcome.NotRun)
    return RetryDecision.GiveUp;
  if (input.remaining <= 0) return RetryDecision.GiveUp;
  return input.budget.tryWithdraw() ? RetryDecision.Retry : RetryDecision.GiveUp;
}
