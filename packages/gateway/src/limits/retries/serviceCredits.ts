/**
 * The retries of a service that this instance has earned itself: by the requests that it serves, and by time, as its part of the
 * retries that are allowed in addition.
 * @module
 */
import { SlidingWindow } from "../../counters/slidingWindow.js";
import { type CreditBatch, RetryCredits } from "./retryCredits.js";

/**
 * Part of the budget that is earned. What a window's requests earn may still be taken in the next window, so that two windows'
 * earnings meet in one: half of the budget, less a twentieth for the time between taking a retry and its arrival at the endpoint.
 */
export const earnedShare = 0.475;
/** Part of the earnings of a window that is kept for this instance; the rest is lent to the arbiter. */
const keptShare = 1 / 4;
/** What time earns is added in this many parts of a window. */
const partsPerWindow = 40;
/** Windows without a request after which nothing is lent any more: instances of large fleets have one of a rare service now and then. */
const keptWindows = 10;
/** Smallest amount that is lent. */
const minLoan = 0.05;

/** Options of one service's credits. */
export interface ServiceCreditsOptions {
  readonly windowMs: number;
  /** Retries allowed for each request of a window. */
  readonly ratio: number;
  /** Monotonic time from which on time earns retries. */
  readonly startedAt: number;
}

/** Earned retries of one service. */
export class ServiceCredits {
  private readonly credits = RetryCredits.create();
  private readonly earned: SlidingWindow;
  private usedAt = -Infinity;
  /** Time up to which the part that is earned by time has been added. */
  private addedUntil: number;

  private constructor(private readonly options: ServiceCreditsOptions) {
    this.earned = SlidingWindow.create(options.windowMs);
    this.addedUntil = options.startedAt;
  }

  static create(options: ServiceCreditsOptions): ServiceCredits {
    return new ServiceCredits(options);
  }

  /** Whether the service was used here within the last windows. */
  isUsed(time: number): boolean {
    return time - this.usedAt <= this.options.windowMs * keptWindows;
  }

  /** Adds what a request earns. */
  addRequest(time: number): void {
    this.usedAt = time;
    this.add(this.options.ratio * earnedShare, time, time);
  }

  /** Adds what has been earned by time; `slackPerWindow` is this instance's part of the retries allowed in addition. */
  refresh(slackPerWindow: number, time: number): void {
    const { windowMs } = this.options;
    const partMs = windowMs / partsPerWindow;
    const amount = (slackPerWindow * earnedShare) / partsPerWindow;
    this.addedUntil = Math.max(this.addedUntil, time - windowMs);
    for (; this.addedUntil + partMs <= time; this.addedUntil += partMs)
      this.add(amount, this.addedUntil, time);
  }

  tryTake(time: number): boolean {
    this.usedAt = time;
    return this.credits.tryTake(time);
  }

  /** Removes what can be lent to the arbiter; undefined if it is too little. */
  takeLoan(time: number): CreditBatch | undefined {
    const kept = Math.floor(keptShare * this.earned.getSum(time));
    const spare = this.credits.getTotal(time) - kept;
    if (spare < minLoan) return undefined;
    const loan = this.credits.takeLast(spare, time + this.options.windowMs / 2);
    return loan.amount < minLoan ? undefined : loan;
  }

  private add(amount: number, earnedAt: number, time: number): void {
    this.credits.add({ amount, lapsesAt: earnedAt + this.options.windowMs });
    this.earned.add(time, amount);
  }
}
