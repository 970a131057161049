/**
 * Counts booked returns by time and rank, in short and in long periods, so that counting those of a long time reads few
 * counters.
 * @module
 */

/** Length of a short period. */
const periodMs = 25;
/** Number of short periods in a long one. */
const periodsPerLong = 64;

/** Numbers of bookings by period, then by rank. */
type Counters = Map<number, Map<number, number>>;

/** Counts of booked returns. Times are milliseconds; they are exact to one short period. */
export class BookingCounts {
  private readonly short: Counters = new Map();
  private readonly long: Counters = new Map();
  private last = -Infinity;

  private constructor() {}

  static create(): BookingCounts {
    return new BookingCounts();
  }

  /** Adds to the number of bookings of a rank at a time. */
  add(rank: number, at: number, difference: 1 | -1): void {
    const period = getPeriod(at);
    this.last = Math.max(this.last, period);
    addTo(this.short, period, rank, difference);
    addTo(this.long, getLongPeriod(period), rank, difference);
  }

  /** Returns the number of bookings of this rank or more urgent ones from the period of `from` to that of `until`. */
  count(rank: number, from: number, until: number): number {
    const end = Math.min(this.last, getPeriod(until));
    let bookings = 0;
    for (let period = getPeriod(from); period <= end;) {
      const isLong = period % periodsPerLong === 0 && period + periodsPerLong - 1 <= end;
      const ranks = isLong ? this.long.get(getLongPeriod(period)) : this.short.get(period);
      for (const [booked, count] of ranks ?? []) bookings += booked <= rank ? count : 0;
      period += isLong ? periodsPerLong : 1;
    }
    return bookings;
  }
}

function addTo(counters: Counters, period: number, rank: number, difference: number): void {
  const ranks = counters.get(period) ?? new Map<number, number>();
  const count = (ranks.get(rank) ?? 0) + difference;
  if (count > 0) ranks.set(rank, count);
  else ranks.delete(rank);
  if (ranks.size > 0) counters.set(period, ranks);
  else counters.delete(period);
}

function getPeriod(time: number): number {
  return Math.floor(time / periodMs);
}

function getLongPeriod(period: number): number {
  return Math.floor(period / periodsPerLong);
}
