/**
 * Failures between entries: a code and its values, never a text.
 * @module
 */
import { Failure, FailureCode } from "@gladewall/kernel";
import type { WireFailure } from "./peerKinds.js";

/** Returns a failure as it is sent. */
export function encodeFailure(failure: Failure): WireFailure {
  return {
    code: failure.code,
    values: failure.values,
    outcome: failure.outcome,
    retryAfter: failure.retryAfterMs,
  };
}

/** Returns a failure that was sent; a code of a newer version reads as `Internal`. */
export function decodeFailure(wire: WireFailure): Failure {
  const isKnown = FailureCode[wire.code] !== undefined;
  const code = isKnown ? wire.code : FailureCode.Internal;
  return Failure.create(code, wire.values, wire.retryAfter).withOutcome(wire.outcome);
}
