/**
 * What the tries of one request came to: how many may have run, and which failure it ends with if none is left.
 * @module
 */
import type { Failure } from "@gladewall/kernel";

/** Tries that did not run, after which a request is refused. */
const maxNotRunAttempts = 4;

/** Tries of one request. */
export class AttemptHistory {
  /** Sendings that may have run. */
  runs = 0;
  /** Sendings that reached an endpoint. */
  arrivals = 0;
  private notRunAttempts = 0;
  /** Why the last try did not run; undefined before the first that did not. */
  private refusal: Failure | undefined;
  /** What became of the last try that may have run: from then on the request can't be said not to have run. */
  private runFailure: Failure | undefined;

  private constructor() {}

  static create(): AttemptHistory {
    return new AttemptHistory();
  }

  /** Whether no further try is made after those that did not run. */
  get isExhausted(): boolean {
    return this.notRunAttempts >= maxNotRunAttempts;
  }

  noteArrival(): void {
    this.arrivals += 1;
  }

  noteRun(): void {
    this.runs += 1;
  }

  noteRunFailed(failure: Failure): void {
    this.runFailure = failure;
  }

  /** Takes note that an endpoint was reached or tried, and did not run the request. */
  noteNotRun(failure: Failure): void {
    this.refusal = failure;
    this.notRunAttempts += 1;
  }

  /** Takes note that there is no endpoint to try; why an earlier try did not run says more. */
  noteNoEndpoint(failure: Failure): void {
    this.refusal ??= failure;
  }

  /** The failure that a request ends with which no try has served; undefined where nothing was tried. */
  findFailure(): Failure | undefined {
    return this.runFailure ?? this.refusal;
  }
}
