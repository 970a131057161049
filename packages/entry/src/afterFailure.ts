/**
 * After a failed attempt: whether another may follow, and what is true of the request as a whole if none does.
 * @module
 */
import { Failure, FailureCode, Outcome } from "@gladewall/kernel";
import { decideRetry, RepeatRule, type RetryBudget, RetryDecision } from "@gladewall/policy";
import { type ActiveRequest, StopReason } from "./requests.js";

/** What the decision rests on. */
export interface AfterFailureInput {
  readonly request: ActiveRequest;
  readonly failure: Failure;
  readonly attempts: number;
  readonly maxAttempts: number;
  /** Milliseconds left to the deadline. */
  readonly remainingMs: number;
  readonly budget: RetryBudget;
  /** The body was streamed and cannot be sent again. */
  readonly isStreamedBody: boolean;
}

/** Decides whether a request is sent again. */
export function decideAfterFailure(input: AfterFailureInput): RetryDecision {
  const { request, failure, budget, remainingMs: remaining } = input;
  const { repeat } = request.envelope;
  if (input.attempts >= input.maxAttempts) return RetryDecision.GiveUp;
  if (input.isStreamedBody || !canContinue(request)) return RetryDecision.GiveUp;
  // A run that was stopped here to be moved is no failure of an endpoint, and costs no budget.
  const wasMoved = request.attemptStop.signal.aborted;
  if (wasMoved && repeat === RepeatRule.Allowed) return RetryDecision.Retry;
  return decideRetry({ failure, repeat, remaining, budget });
}

/** Whether an answer that has begun can be carried on by another run. */
export function canContinue(request: ActiveRequest): boolean {
  const { envelope, log } = request;
  if (log.count === 0 && !log.head) return true;
  return envelope.model?.isContinuable === true && log.isWhole;
}

/** Returns the failure with the outcome that is true over all attempts of the request. */
export function applyRequestOutcome(request: ActiveRequest, failure: Failure): Failure {
  if (request.log.count > 0 || request.log.head) return failure.withOutcome(Outcome.Ran);
  if (failure.outcome === Outcome.NotRun && request.mayHaveRun) return failure.withOutcome(Outcome.Unknown);
  return failure;
}

/** Returns the failure of a request that was stopped from here, which hides what its endpoint said. */
export function createStopFailure(request: ActiveRequest, failure: Failure): Failure {
  const code =
    request.stopReason === StopReason.DeadlinePassed ? FailureCode.DeadlinePassed : FailureCode.CallerGone;
  return Failure.create(code).withOutcome(applyRequestOutcome(request, failure).outcome);
}
