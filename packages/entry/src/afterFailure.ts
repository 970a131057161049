/**
 * Decides after a failed attempt whether the request is retried, and otherwise which outcome holds for the request as a
 * whole.
 * @module
 */
import { Failure, FailureCode, Outcome } from "@gladewall/kernel";
import { decideRetry, RepeatRule, type RetryBudget, RetryDecision } from "@gladewall/policy";
import { type ActiveRequest, StopReason } from "./requests.js";

/** Input of the retry decision. */
export interface AfterFailureInput {
  readonly request: ActiveRequest;
  readonly failure: Failure;
  readonly attempts: number;
  readonly maxAttempts: number;
  /** Time left until the deadline. */
  readonly remainingMs: number;
  readonly budget: RetryBudget;
  /** Whether the body was streamed, so that it cannot be sent again. */
  readonly isStreamedBody: boolean;
}

/** Decides whether a request is retried. */
export function decideAfterFailure(input: AfterFailureInput): RetryDecision {
  const { request, failure, budget, remainingMs: remaining } = input;
  const { repeat } = request.envelope;
  if (input.attempts >= input.maxAttempts) return RetryDecision.GiveUp;
  if (input.isStreamedBody || !canContinue(request)) return RetryDecision.GiveUp;
  // A run that this entry stopped in order to move it is no endpoint failure, so it costs no retry budget.
  const wasMoved = request.attemptStop.signal.aborted;
  if (wasMoved && repeat === RepeatRule.Allowed) return RetryDecision.Retry;
  return decideRetry({ failure, repeat, remaining, budget });
}

/** Returns whether another run can continue the response from its present end. */
export function canContinue(request: ActiveRequest): boolean {
  const { envelope, log } = request;
  if (log.count === 0 && !log.head) return true;
  return envelope.model?.isContinuable === true && log.isWhole;
}

/** Returns the failure with the outcome that holds over all attempts at the request. */
export function applyRequestOutcome(request: ActiveRequest, failure: Failure): Failure {
  if (request.log.count > 0 || request.log.head) return failure.withOutcome(Outcome.Ran);
  if (failure.outcome === Outcome.NotRun && request.mayHaveRun) return failure.withOutcome(Outcome.Unknown);
  return failure;
}

/** Returns the failure of a request that this entry stopped: it replaces the endpoint's failure, not the outcome. */
export function createStopFailure(request: ActiveRequest, failure: Failure): Failure {
  const code =
    request.stopReason === StopReason.DeadlinePassed ? FailureCode.DeadlinePassed : FailureCode.CallerGone;
  return Failure.create(code).withOutcome(applyRequestOutcome(request, failure).outcome);
}
