/**
 * Shapes of the soak: what callers ask, what they are told, and what is counted.
 * @module
 */
import type { Outcome } from "@gladewall/kernel";

/** Kinds of request that the soak makes. */
export enum CallerRequestKind {
  /** A model's answer, streamed; may be repeated. */
  Stream = 1,
  /** A model's answer in one document; may be repeated; with a key. */
  Whole = 2,
  /** A citation draft: a model's answer that may run only once; with a key. */
  Draft = 3,
  /** A booking at a web service that may run only once; with a key. */
  Booking = 4,
  /** A page of a web service. */
  Page = 5,
}

/** One request that a caller makes. */
export interface CallerRequest {
  readonly kind: CallerRequestKind;
  /** Unique text that the endpoint's record shows. */
  readonly mark: string;
  readonly outputTokens: number;
  readonly requestClass: string;
}

/** What a caller was told in the end. */
export enum ResultKind {
  /** A whole answer. */
  Complete = 1,
  /** A refusal or failure with an outcome. */
  Problem = 2,
  /** Nothing in all the time it had. */
  TimedOut = 3,
}

/** What became of one request, as its caller saw it. */
export interface CallerResult {
  readonly ask: CallerRequest;
  readonly verdict: ResultKind;
  /** Text of a whole answer. */
  readonly text: string;
  /** Outcome and code of a problem. */
  readonly outcome: Outcome | undefined;
  readonly code: number | undefined;
  /** Request ids the caller has seen, the last one last. */
  readonly requests: readonly string[];
  /** Times the caller had to come back. */
  readonly returns: number;
  /** Milliseconds to the first byte of an answer; undefined without one. */
  readonly firstMs: number | undefined;
}

/** Broken promises, counted. All must be zero. */
export interface ViolationCounts {
  /** Accepted and never answered. */
  lost: number;
  /** Run twice although not to be repeated. */
  doubled: number;
  /** Another's answer. */
  foreign: number;
  /** Passed off as whole, but not. */
  cut: number;
  /** Told "not run", but it ran. */
  notRunButRan: number;
}
