/**
 * Results of one request's attempts: how many may have run, and the failure to respond with if no attempt succeeds.
 * @module
 */
import type { Failure } from "@gladewall/kernel";
import { RetryCause } from "../limits/retries/creditPool.js";

/** Number of attempts that did not run the request, after which the request is refused. */
const maxNotRunAttempts = 4;

/** Results of the attempts of one request. */
export class AttemptHistory {
  /** Attempts that may have run. */
  runs = 0;
  /** Attempts that reached an endpoint. */
  arrivals = 0;
  /** Why the next attempt would be a retry. */
  retryCause = RetryCause.Interrupted;
  private notRunAttempts = 0;
  /** Why the last attempt did not run; undefined if none was refused. */
  private refusal: Failure | undefined;
  /** Failure of the last attempt that may have run; once set, no response may claim that the request did not run. */
  private runFailure: Failure | undefined;

  private constructor() {}

  static create(): AttemptHistory {
    return new AttemptHistory();
  }

  /** Whether too many attempts did not run for another one to be made. */
  get isExhausted(): boolean {
    return this.notRunAttempts >= maxNotRunAttempts;
  }

  recordArrival(): void {
    this.arrivals += 1;
  }

  recordRun(): void {
    this.runs += 1;
  }

  recordRunFailure(failure: Failure): void {
    this.runFailure = failure;
    this.retryCause = RetryCause.Interrupted;
  }

  /**
   * Records that a stream has ended without saying whether it is complete. What the retry budget reserves for interrupted requests is not
   * for asking: a service whose endpoints never say would use it up.
   */
  recordUnconfirmed(failure: Failure): void {
    this.recordRunFailure(failure);
    this.retryCause = RetryCause.Refused;
  }

  /** Records an attempt that did not run the request. */
  recordNotRun(failure: Failure): void {
    this.refusal = failure;
    this.retryCause = RetryCause.Refused;
    this.notRunAttempts += 1;
  }

  /** Records that no endpoint is available; the reason why an earlier attempt did not run takes precedence. */
  recordNoEndpoint(failure: Failure): void {
    this.refusal ??= failure;
  }

  /** Returns the failure of a request that no attempt has served; undefined if no attempt was made. */
  findFailure(): Failure | undefined {
    return this.runFailure ?? this.refusal;
  }
}
