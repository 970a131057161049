/**
 * Estimates the load and the speed of one endpoint, as seen from one entry. The entry's own dispatches and
 * responses update the estimate at once; the endpoint's load reports, which lag behind, cover the requests of
 * the other entries.
 * @module
 */
import type { InstanceRecord } from "@gladewall/coordination";
import { type Clock, hashText } from "@gladewall/kernel";

/** Load that an endpoint reports about itself. */
export interface LoadReport {
  readonly running: number;
  readonly queued: number;
  /** Number of requests that the endpoint runs concurrently. */
  readonly width: number;
}

const smoothing = 0.2;
const initialRunTime = 300;
const initialPrefillRate = 5_000;
const initialWorkRate = 5;
const defaultWidth = 8;
const millisecondsPerSecond = 1000;

/** Load estimate of one endpoint. Times are in milliseconds; the prefill rate is in tokens per second. */
export class EndpointLoadEstimate {
  /** Hash of the endpoint's id, used for rendezvous hashing. */
  readonly hash: number;
  /** True while the endpoint shuts down and accepts no new requests. */
  isLeaving = false;
  private width = defaultWidth;
  private reported = 0;
  private sinceReport = 0;
  private own = 0;
  private pendingPrefill = 0;
  private runTime = initialRunTime;
  private prefillRate = initialPrefillRate;
  private workRate = initialWorkRate;
  private failedUntil = 0;
  private failures = 0;

  private constructor(
    private readonly clock: Clock,
    public record: InstanceRecord,
  ) {
    this.hash = hashText(record.id);
  }

  static create(clock: Clock, record: InstanceRecord): EndpointLoadEstimate {
    return new EndpointLoadEstimate(clock, record);
  }

  /** Returns the number of requests that this entry has running on the endpoint. */
  getOwnActiveCount(): number {
    return this.own;
  }

  /** Returns the estimated number of requests of all entries on the endpoint, running or queued. */
  getActiveCount(): number {
    return Math.max(this.own, this.reported + this.sinceReport);
  }

  /** Returns the number of requests that the endpoint runs concurrently. */
  getWidth(): number {
    return this.width;
  }

  /** Applies a load report. Dispatches and ends after it adjust the estimate until the next report. */
  applyReport(report: LoadReport): void {
    this.reported = report.running + report.queued;
    this.width = Math.max(1, report.width);
    this.sinceReport = 0;
  }

  /** Records the dispatch of a request with `prefillTokens` uncached prompt tokens. */
  recordDispatch(prefillTokens: number): void {
    this.own += 1;
    this.sinceReport += 1;
    this.pendingPrefill += prefillTokens;
  }

  /**
   * Records the first token of a request, which shows that its prompt has been processed after `elapsed`
   * milliseconds.
   */
  recordFirstToken(prefillTokens: number, elapsed: number): void {
    this.pendingPrefill = Math.max(0, this.pendingPrefill - prefillTokens);
    if (prefillTokens < 1 || elapsed <= 0) return;
    const rate = (prefillTokens / elapsed) * millisecondsPerSecond;
    // Time spent in the endpoint's queue makes a request look slow, although the endpoint is not. A lower rate
    // therefore gets a quarter of the weight of a higher one.
    const share = rate > this.prefillRate ? smoothing : smoothing / 4;
    this.prefillRate += (rate - this.prefillRate) * share;
  }

  /** Reverts a recorded dispatch that was never sent. */
  cancelDispatch(prefillTokens: number): void {
    this.own -= 1;
    this.sinceReport -= 1;
    this.pendingPrefill = Math.max(0, this.pendingPrefill - prefillTokens);
  }

  /** Records the end of a request that took `elapsed` milliseconds for `tokens` of work. */
  recordEnd(elapsed: number, tokens: number, isGood: boolean): void {
    this.own -= 1;
    this.sinceReport -= 1;
    if (!isGood) return;
    this.failures = 0;
    this.runTime += (elapsed - this.runTime) * smoothing;
    const rate = (tokens / Math.max(1, elapsed)) * this.width;
    this.workRate += (rate - this.workRate) * smoothing;
  }

  /**
   * Records a failure and starts a backoff that doubles with each consecutive failure, up to `highest`
   * milliseconds.
   */
  recordFailure(backoff: number, highest: number): void {
    this.failures += 1;
    this.failedUntil = this.clock.getTime() + Math.min(highest, backoff * 2 ** (this.failures - 1));
  }

  /** Returns whether the endpoint is in backoff after failures. */
  isInBackoff(): boolean {
    return this.failedUntil > this.clock.getTime();
  }

  /** Estimates the milliseconds to the first token of a new request with `prefillTokens` uncached prompt tokens. */
  estimateWaitMs(prefillTokens: number): number {
    const reading = ((this.pendingPrefill + prefillTokens) / this.prefillRate) * millisecondsPerSecond;
    const ahead = this.getActiveCount() + 1 - this.width;
    if (ahead <= 0) return reading;
    return reading + (ahead / this.width) * this.runTime;
  }

  /** Returns the throughput of the fully loaded endpoint in tokens of work per millisecond. */
  getWorkRate(): number {
    return this.workRate;
  }
}
