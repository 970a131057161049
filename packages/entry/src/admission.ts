/**
 * Admits or refuses requests: checks the limits of the request's policy row and whether the row's latency target can
 * still be met.
 * @module
 */
import { type Clock, Failure, FailureCode } from "@gladewall/kernel";
import { getRowName, RowLimiter, type RowShare, type PolicyRow } from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import type { Dispatcher } from "./dispatcher.js";
import type { EntrySettings } from "./entrySettings.js";

/** The part of a request that admission depends on. */
export interface AdmissionRequest {
  readonly service: string;
  /** Prompt tokens; 0 for web services. */
  readonly promptTokens: number;
  /** Tokens charged against the row's rate. */
  readonly work: number;
}

/** The capacity of its row that an admitted request holds. */
export interface Admission {
  /** Releases the concurrency, once, and refunds the tokens that were charged but not used. */
  release(unused: number): void;
}

/** Counts an arriving request with its tokens and returns this entry's share of the row's limits. */
export type ShareSource = (row: PolicyRow, active: number, tokens: number) => RowShare;

const noEndpointRetryAfterMs = 1_000;
const minRetryAfterMs = 1;

/** Decides which requests are admitted. */
export class AdmissionControl {
  private readonly limiters = new Map<string, RowLimiter>();

  private constructor(
    private readonly settings: EntrySettings["requests"],
    private readonly clock: Clock,
    private readonly dispatcher: Dispatcher,
    private readonly getShare: ShareSource,
  ) {}

  static create(
    settings: EntrySettings["requests"],
    clock: Clock,
    dispatcher: Dispatcher,
    getShare: ShareSource,
  ): AdmissionControl {
    return new AdmissionControl(settings, clock, dispatcher, getShare);
  }

  /** Admits a request under its row, or returns the failure with which it is refused. */
  admit(row: PolicyRow, request: AdmissionRequest): Result<Admission, Failure> {
    const refusal = this.checkLatencyTarget(row, request);
    if (refusal) return Err(refusal);
    const limiter = this.getLimiter(row, getRowName(row), request.work);
    const entered = limiter.tryAcquire(request.work);
    if (entered.isErr()) return entered;
    let isHeld = true;
    const release = (unused: number): void => {
      if (isHeld) limiter.release(unused);
      isHeld = false;
    };
    return Ok({ release });
  }

  /** Returns the number of admitted requests by row name. */
  getActive(): ReadonlyMap<string, number> {
    return new Map([...this.limiters].map(([name, limiter]) => [name, limiter.getActiveCount()]));
  }

  /** Returns a refusal for a request that could not meet its latency target, with the time after which to retry. */
  private checkLatencyTarget(row: PolicyRow, request: AdmissionRequest): Failure | undefined {
    const waitMs = this.dispatcher.getExpectedWaitMs(request.service, row.priority, request.promptTokens);
    if (waitMs === Infinity) {
      return Failure.create(FailureCode.NoEndpoint, { service: request.service }, noEndpointRetryAfterMs);
    }
    if (!this.settings.refuse_late || waitMs <= row.latencyTarget) return undefined;
    // A request that would be late even on idle endpoints is not refused, because a retry would not help it.
    const isBacklog = this.dispatcher.hasBacklog(request.service);
    if (!isBacklog) return undefined;
    const values = { wait: Math.round(waitMs), target: row.latencyTarget };
    return Failure.create(
      FailureCode.TargetUnreachable,
      values,
      Math.max(minRetryAfterMs, waitMs - row.latencyTarget),
    );
  }

  private getLimiter(row: PolicyRow, rowName: string, tokens: number): RowLimiter {
    let limiter = this.limiters.get(rowName);
    const share = this.getShare(row, limiter?.getActiveCount() ?? 0, tokens);
    if (limiter) limiter.setShare(share);
    else this.limiters.set(rowName, (limiter = RowLimiter.create(this.clock, rowName, share)));
    return limiter;
  }
}
