/**
 * Learns how long a request of a service runs at an endpoint that works at its usual pace.
 * @module
 */

/** A run time before the first observation: short, so that too much rather than too little is queued. */
const initialRunMs = 50;
/** The estimate follows a change of the work within some 64 requests and does not follow single ones. */
const smoothedRequests = 64;
/** Run times outside of these bounds are errors of a clock or of a report. */
const minRunMs = 0.1;
const maxRunMs = 60_000;
/** One observation counts as at most this multiple of the estimate, since single requests hang. */
const maxMultiple = 8;

/** Mean run time of the requests of one service at usual pace. */
export class SlotRunTime {
  private meanMs = initialRunMs;
  private observations = 0;

  private constructor() {}

  static create(): SlotRunTime {
    return new SlotRunTime();
  }

  getMeanMs(): number {
    return this.meanMs;
  }

  /** Records a response that took `tookMs`, `factor` times as long as at usual pace without a wait. */
  record(tookMs: number | undefined, factor: number): void {
    if (tookMs === undefined || !Number.isFinite(tookMs) || tookMs < 0) return;
    const runMs = Math.min(maxRunMs, Math.max(minRunMs, tookMs / factor));
    const limitMs = this.observations === 0 ? runMs : this.meanMs * maxMultiple;
    this.observations = Math.min(smoothedRequests, this.observations + 1);
    this.meanMs += (Math.min(runMs, limitMs) - this.meanMs) / this.observations;
  }
}
