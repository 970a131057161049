/**
 * The budget of arrivals past the first of each request, shared by all nodes.
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
  readonly getFleetSize: () => number;
  readonly getHeardShare: () => number;
}

/** Share of the budget that is given out; the rest covers the delay between nodes. */
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
    const { counters, ratio, slack, getFleetSize, getHeardShare } = this.options;
    const allowed = (ratio * counters.getSum(CounterKind.Requests, service) + slack) * usedShare;
    const fleet = getFleetSize();
    const ownPart = allowed * ((1 + getHeardShare() * (fleet - 1)) / fleet);
    const used = counters.getSum(CounterKind.Repeats, service);
    const isOver = used + 1 > allowed || counters.getOwnSum(CounterKind.Repeats, service) + 1 > ownPart;
    if (isOver) return false;
    counters.add(CounterKind.Repeats, service, 1);
    return true;
  }
}
