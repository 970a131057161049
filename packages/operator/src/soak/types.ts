/**
 * Types of the soak test: callers' requests, their results, and the counted violations.
 * @module
 */
import type { Outcome } from "@gladewall/kernel";

/** Kind of a request of the soak test. */
export enum CallerRequestKind {
  /** A streamed model response; may be retried. */
  Stream = 1,
  /** A model response in one document, with an idempotency key; may be retried. */
  Whole = 2,
  /** A model response in one document, with an idempotency key, that may run only once (a citation draft). */
  Draft = 3,
  /** A POST to a web service, with an idempotency key, that may run only once. */
  Booking = 4,
  /** A GET of a page of a web service. */
  Page = 5,
}

/** A request that a caller makes. */
export interface CallerRequest {
  readonly kind: CallerRequestKind;
  /** Unique text by which the request is found in the endpoints' records. */
  readonly mark: string;
  readonly outputTokens: number;
  readonly requestClass: string;
}

/** Kind of a request's final result at its caller. */
export enum ResultKind {
  /** A response that the caller takes as complete. */
  Complete = 1,
  /** A refusal or failure with an outcome. */
  Problem = 2,
  /** No final response before the caller's timeout. */
  TimedOut = 3,
}

/** Final result of a request as its caller saw it. */
export interface CallerResult {
  readonly ask: CallerRequest;
  readonly verdict: ResultKind;
  /** Text of the response, as far as it was received. */
  readonly text: string;
  /** Outcome of a problem; with `code`, undefined for a complete response. */
  readonly outcome: Outcome | undefined;
  readonly code: number | undefined;
  /** Request ids that the caller received, the latest last. */
  readonly requests: readonly string[];
  /** Number of times that the caller reconnected or retried. */
  readonly returns: number;
  /** Milliseconds until the first response head; undefined without one. */
  readonly firstMs: number | undefined;
}

/** Number of violations of each guarantee. All must be zero. */
export interface ViolationCounts {
  /** The caller got no final response. */
  lost: number;
  /** A request that may run only once ran more than once. */
  doubled: number;
  /** The caller got the response to another request. */
  foreign: number;
  /** A truncated response was presented as complete. */
  cut: number;
  /** The outcome was "not run", but the request ran. */
  notRunButRan: number;
}
