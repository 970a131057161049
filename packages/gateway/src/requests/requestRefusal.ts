/**
 * Creates the failures of requests that certainly did not run.
 * @module
 */
import { Failure, FailureCode } from "@gladewall/kernel";
import type { Service } from "../types.js";

const retryAfterMs = 300;
/** A caller that comes back is sent to another instance. */
const leavingRetryAfterMs = 200;

/** Creates a failure that promises that the request did not run, with a time to return after. */
export function createRefusal(code: FailureCode, service: Service): Failure {
  return Failure.create(code, { service: service.name }, retryAfterMs);
}

/** Creates the failure of a request that could outlast an instance which leaves. */
export function createLeavingRefusal(): Failure {
  return Failure.create(FailureCode.Leaving, {}, leavingRetryAfterMs);
}
