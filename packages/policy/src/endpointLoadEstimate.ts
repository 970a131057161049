/**
 * What one entry believes about an endpoint's load: learned from answers first, from lagging reports second.
 * @module
 */
import type { InstanceRecord } from "@gladewall/coordination";
import { type Clock, hashText } from "@gladewall/kernel";

/** A load report as an endpoint gave it. */
export interface LoadReport {
  readonly running: number;
  readonly queued: number;
  /** Requests the endpoint works on at once. */
  readonly width: number;
}

const smoothing = 0.2;
const initialRunTime = 300;
const initialPrefillRate = 5_000;
const initialWorkRate = 5;
const defaultWidth = 8;
const millisecondsPerSecond = 1000;

/** Belief about one endpoint. Times in milliseconds, rates in tokens a second. */
export class EndpointLoadEstimate {
  /** Hash of the endpoint's id, for rendezvous. */
  readonly hash: number;
  /** Endpoint takes no new work. */
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

  /** Requests of this entry that the endpoint has. */
  getOwnActiveCount(): number {
    return this.own;
  }

  /** Requests that the endpoint is believed to have, of all entries. */
  getActiveCount(): number {
    return Math.max(this.own, this.reported + this.sinceReport);
  }

  /** Requests it works on at once. */
  getWidth(): number {
    return this.width;
  }

  /** Puts a report in force; later dispatches correct it until the next. */
  applyReport(report: LoadReport): void {
    this.reported = report.running + report.queued;
    this.width = Math.max(1, report.width);
    this.sinceReport = 0;
  }

  /** Counts a dispatch of so many tokens to be read. */
  recordDispatch(prefillTokens: number): void {
    this.own += 1;
    this.sinceReport += 1;
    this.pendingPrefill += prefillTokens;
  }

  /** Counts the first token of a run: its prompt has been read. */
  recordFirstToken(prefillTokens: number, elapsed: number): void {
    this.pendingPrefill = Math.max(0, this.pendingPrefill - prefillTokens);
    if (prefillTokens < 1 || elapsed <= 0) return;
    const rate = (prefillTokens / elapsed) * millisecondsPerSecond;
    // A queued run looks slow, which is not the endpoint's speed: forget slowness slower than speed.
    const share = rate > this.prefillRate ? smoothing : smoothing / 4;
    this.prefillRate += (rate - this.prefillRate) * share;
  }

  /** Takes a dispatch back that was never sent. */
  cancelDispatch(prefillTokens: number): void {
    this.own -= 1;
    this.sinceReport -= 1;
    this.pendingPrefill = Math.max(0, this.pendingPrefill - prefillTokens);
  }

  /** Counts the end of a run that did so many tokens of work. */
  recordEnd(elapsed: number, tokens: number, isGood: boolean): void {
    this.own -= 1;
    this.sinceReport -= 1;
    if (!isGood) return;
    this.failures = 0;
    this.runTime += (elapsed - this.runTime) * smoothing;
    const rate = (tokens / Math.max(1, elapsed)) * this.width;
    this.workRate += (rate - this.workRate) * smoothing;
  }

  /** Counts a failure: the endpoint is left alone for a time that doubles with each in a row. */
  recordFailure(backoff: number, highest: number): void {
    this.failures += 1;
    this.failedUntil = this.clock.getTime() + Math.min(highest, backoff * 2 ** (this.failures - 1));
  }

  /** Tells whether the endpoint is being left alone after failures. */
  isInBackoff(): boolean {
    return this.failedUntil > this.clock.getTime();
  }

  /** Expected milliseconds until a new run of so many uncached tokens gives its first token. */
  estimateWaitMs(prefillTokens: number): number {
    const reading = ((this.pendingPrefill + prefillTokens) / this.prefillRate) * millisecondsPerSecond;
    const ahead = this.getActiveCount() + 1 - this.width;
    if (ahead <= 0) return reading;
    return reading + (ahead / this.width) * this.runTime;
  }

  /** Tokens of work a millisecond that the endpoint gets through when it is full. */
  getWorkRate(): number {
    return this.workRate;
  }
}
