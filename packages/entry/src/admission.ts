/**
 * Admission: the row that decides, its limits, and whether the latency target can still be met.
 * @module
 */
import { type Clock, Failure, FailureCode } from "@gladewall/kernel";
import { getRowName, RowLimiter, type RowShare, type PolicyRow } from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import type { Dispatcher } from "./dispatcher.js";
import type { EntrySettings } from "./entrySettings.js";

/** What admission needs to know of a request. */
export interface AdmissionRequest {
  readonly service: string;
  /** Prompt tokens; 0 for web services. */
  readonly promptTokens: number;
  /** Tokens charged against the row's rate. */
  readonly work: number;
}

/** An admitted request's hold on its row. */
export interface Admission {
  /** Gives the row's concurrency back, and tokens that were charged but not used. */
  release(unused: number): void;
}

/** Counts an arrival of so many tokens and returns this entry's share of its row. */
export type ShareSource = (row: PolicyRow, active: number, tokens: number) => RowShare;

const noEndpointRetryAfterMs = 1_000;
const minRetryAfterMs = 1;

/** Decides who comes in. */
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

  /** Admits a request under its row or says why not. */
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

  /** Requests of each row that are inside. */
  getActive(): ReadonlyMap<string, number> {
    return new Map([...this.limiters].map(([name, limiter]) => [name, limiter.getActiveCount()]));
  }

  /** Refuses what could only be late: the caller learns now, and when to come back. */
  private checkLatencyTarget(row: PolicyRow, request: AdmissionRequest): Failure | undefined {
    const waitMs = this.dispatcher.getExpectedWaitMs(request.service, row.priority, request.promptTokens);
    if (waitMs === Infinity) {
      return Failure.create(FailureCode.NoEndpoint, { service: request.service }, noEndpointRetryAfterMs);
    }
    if (!this.settings.refuse_late || waitMs <= row.latencyTarget) return undefined;
    // A request that would be late even on idle endpoints is not refused: coming back would not help it.
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
