/**
 * How long a try may be silent before another one elsewhere is worth more than waiting on.
 *
 * Answers the load in which an endpoint takes requests and gives nothing back: it has gone dark, hangs, or its answers are
 * lost on the way. Nothing tells so but the silence, and until the caller's own time is over nothing else would end it.
 *
 * What a first event took beyond the time expected of it is much the same for short and long expectations (99 in 100
 * within 360 to 450 ms for expectations of 5 to 250 ms, log of a day with trouble), so one quantile of it serves all. Tries
 * that were given up do not count, or lost answers would make patience grow; where everything is late, second tries, which
 * are not given up, show it.
 * @module
 */

/** Share of the tries that end by themselves within the patience: the others cost a repeat each. */
const quietShare = 0.99;
/**
 * Times that quantile. Answers that would have come later are given up and not seen, so the quantile itself would shrink:
 * at 1, nine in a hundred of drawn tries were given up where everything took 2 s; at 1.25, none of 400.
 */
const margin = 1.25;
/** Observations below which the start value holds: the quantile of fewer is the worst of them, or nearly. */
const leastObservations = 64;
/** Observations that are kept: at five requests a second, those of the last 50 s. */
const keptObservations = 256;
/** Milliseconds beyond the expected time, before enough has been seen; what was measured of the quantile. */
const startExcessMs = 500;
/** Bounds of what is believed: below, a pause of a process would be taken for silence; above, callers have left. */
const excessBounds = { leastMs: 150, mostMs: 4_000 };
/** Observations between two looks at the quantile: sorting is not worth it for each. */
const refreshEvery = 8;

/** Patience with one service, learned from its answers. */
export class Patience {
  /** Milliseconds beyond the expected time, the oldest overwritten by the newest. */
  private readonly excesses: number[] = [];
  private next = 0;
  private excessMs = startExcessMs;

  private constructor() {}

  static create(): Patience {
    return new Patience();
  }

  /** Takes note of a try that gave a first event, or its whole answer, so long after it was sent. */
  note(expectedMs: number, elapsedMs: number): void {
    this.excesses[this.next % keptObservations] = Math.max(0, elapsedMs - expectedMs);
    this.next += 1;
    if (this.next % refreshEvery === 0) this.refresh();
  }

  /** Returns the milliseconds after which a try that is expected to take so long has been silent for too long. */
  get(expectedMs: number): number {
    return expectedMs + this.excessMs;
  }

  private refresh(): void {
    if (this.excesses.length < leastObservations) return;
    const sorted = Float64Array.from(this.excesses).sort();
    const quantile = sorted[Math.floor(quietShare * (sorted.length - 1))]!;
    const { leastMs, mostMs } = excessBounds;
    this.excessMs = Math.min(mostMs, Math.max(leastMs, quantile * margin));
  }
}
