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

const smoothingFactor = 0.2;
const initialRunTimeMs = 300;
const initialPrefillTokensPerSecond = 5_000;
const initialWorkTokensPerMs = 5;
const defaultWidth = 8;
const millisecondsPerSecond = 1000;

/** Load estimate of one endpoint. Times are in milliseconds; the prefill rate is in tokens per second. */
export class EndpointLoadEstimate {
  /** Hash of the endpoint's id, used for rendezvous hashing. */
  readonly idHash: number;
  /** True while the endpoint shuts down and accepts no new requests. */
  isLeaving = false;
  private width = defaultWidth;
  private reportedActive = 0;
  private activeSinceReport = 0;
  private ownActive = 0;
  private pendingPrefillTokens = 0;
  private meanRunTimeMs = initialRunTimeMs;
  private prefillRate = initialPrefillTokensPerSecond;
  private workRate = initialWorkTokensPerMs;
  private backoffUntil = 0;
  private consecutiveFailures = 0;

  private constructor(
    private readonly clock: Clock,
    public record: InstanceRecord,
  ) {
    this.idHash = hashText(record.id);
  }

  static create(clock: Clock, record: InstanceRecord): EndpointLoadEstimate {
    return new EndpointLoadEstimate(clock, record);
  }

  /** Returns the number of requests that this entry has running on the endpoint. */
  getOwnActiveCount(): number {
    return this.ownActive;
  }

  /** Returns the estimated number of requests of all entries on the endpoint, running or queued. */
  getActiveCount(): number {
    return Math.max(this.ownActive, this.reportedActive + this.activeSinceReport);
  }

  /** Returns the number of requests that the endpoint runs concurrently. */
  getWidth(): number {
    return this.width;
  }

  /** Applies a load report. Dispatches and ends after it adjust the estimate until the next report. */
  applyReport(report: LoadReport): void {
    this.reportedActive = report.running + report.queued;
    this.width = Math.max(1, report.width);
    this.activeSinceReport = 0;
  }

  /** Records the dispatch of a request with `prefillTokens` uncached prompt tokens. */
  recordDispatch(prefillTokens: number): void {
    this.ownActive += 1;
    this.activeSinceReport += 1;
    this.pendingPrefillTokens += prefillTokens;
  }

  /**
   * Records the first token of a request, which shows that its prompt has been processed after `elapsed`
   * milliseconds.
   */
  recordFirstToken(prefillTokens: number, elapsed: number): void {
    this.pendingPrefillTokens = Math.max(0, this.pendingPrefillTokens - prefillTokens);
    if (prefillTokens < 1 || elapsed <= 0) return;
    const rate = (prefillTokens / elapsed) * millisecondsPerSecond;
    // Time spent in the endpoint's queue makes a request look slow, although the endpoint is not. A lower rate
    // therefore gets a quarter of the weight of a higher one.
    const weight = rate > this.prefillRate ? smoothingFactor : smoothingFactor / 4;
    this.prefillRate += (rate - this.prefillRate) * weight;
  }

  /** Reverts a recorded dispatch that was never sent. */
  cancelDispatch(prefillTokens: number): void {
    this.ownActive -= 1;
    this.activeSinceReport -= 1;
    this.pendingPrefillTokens = Math.max(0, this.pendingPrefillTokens - prefillTokens);
  }

  /** Records the end of a request that took `elapsed` milliseconds for `tokens` of work. */
  recordEnd(elapsed: number, tokens: number, isSuccess: boolean): void {
    this.ownActive -= 1;
    this.activeSinceReport -= 1;
    if (!isSuccess) return;
    this.consecutiveFailures = 0;
    this.meanRunTimeMs += (elapsed - this.meanRunTimeMs) * smoothingFactor;
    const rate = (tokens / Math.max(1, elapsed)) * this.width;
    this.workRate += (rate - this.workRate) * smoothingFactor;
  }

  /**
   * Records a failure and starts a backoff that doubles with each consecutive failure, up to `maxBackoffMs`
   * milliseconds.
   */
  recordFailure(initialBackoffMs: number, maxBackoffMs: number): void {
    this.consecutiveFailures += 1;
    this.backoffUntil =
      this.clock.getTime() + Math.min(maxBackoffMs, initialBackoffMs * 2 ** (this.consecutiveFailures - 1));
  }

  /** Returns whether the endpoint is in backoff after failures. */
  isInBackoff(): boolean {
    return this.backoffUntil > this.clock.getTime();
  }

  /** Estimates the milliseconds to the first token of a new request with `prefillTokens` uncached prompt tokens. */
  estimateWaitMs(prefillTokens: number): number {
    const prefillMs =
      ((this.pendingPrefillTokens + prefillTokens) / this.prefillRate) * millisecondsPerSecond;
    const excess = this.getActiveCount() + 1 - this.width;
    if (excess <= 0) return prefillMs;
    return prefillMs + (excess / this.width) * this.meanRunTimeMs;
  }

  /** Returns the throughput of the fully loaded endpoint in tokens of work per millisecond. */
  getWorkRate(): number {
    return this.workRate;
  }
}
