/**
 * The budget of arrivals past the first of each request, shared by all instances.
 * @module
 */
import { CounterKind, type SharedCounters } from "./sharedCounters.js";

/** Options of the budget. */
export interface RetryBudgetOptions {
  readonly counters: SharedCounters;
  /** Repeats allowed for each request of a window. */
  readonly ratio: number;
  /** Repeats of a window allowed beside these. */
  readonly slack: number;
  /** Returns the share of the fleet whose counts are known. */
  readonly getKnownShare: () => number;
}

/** Share of the budget that is given out; the rest covers the delay between instances. */
const usedShare = 0.7;

/** Gives repeats out. */
export class RetryBudget {
  private constructor(private readonly options: RetryBudgetOptions) {}

  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Counts a request of a service. */
  countRequest(service: string): void {
    this.options.counters.add(CounterKind.Requests, service, 1);
  }

  /** Takes one repeat; false where the budget is spent. */
  tryTake(service: string): boolean {
    const { counters, ratio, slack, getKnownShare } = this.options;
    const allowed = (ratio * counters.getSum(CounterKind.Requests, service) + slack) * usedShare;
    if (counters.getSum(CounterKind.Repeats, service) + 1 > allowed * getKnownShare()) return false;
    counters.add(CounterKind.Repeats, service, 1);
    return true;
  }
}
