/**
 * Encodes failures for messages between entries: as a code and its values, without text.
 * @module
 */
import { Failure, FailureCode } from "@gladewall/kernel";
import type { WireFailure } from "./peerKinds.js";

/** Encodes a failure for a message to a peer. */
export function encodeFailure(failure: Failure): WireFailure {
  return {
    code: failure.code,
    values: failure.values,
    outcome: failure.outcome,
    retryAfter: failure.retryAfterMs,
  };
}

/** Decodes a failure from a peer. A code that this version does not know becomes `Internal`. */
export function decodeFailure(wire: WireFailure): Failure {
  const isKnown = FailureCode[wire.code] !== undefined;
  const code = isKnown ? wire.code : FailureCode.Internal;
  return Failure.create(code, wire.values, wire.retryAfter).withOutcome(wire.outcome);
}
