/**
 * Creates the failures of requests that certainly did not run.
 * @module
 */
import { Failure, type FailureCode } from "@gladewall/kernel";
import type { Service } from "../types.js";

const retryAfterMs = 300;

/** Creates a failure that promises that the request did not run, with a time to return after. */
export function createRefusal(code: FailureCode, service: Service): Failure {
  return Failure.create(code, { service: service.name }, retryAfterMs);
}
