/**
 * Retries that were earned and are not taken yet. Each part lapses at a fixed time.
 * @module
 */

interface Batch {
  readonly lapsesAt: number;
  amount: number;
}

/** An amount of retries, possibly a fraction, and the monotonic time at which it lapses. */
export type CreditBatch = Readonly<Batch>;

/** Batches that lapse within this time of each other are kept as one, milliseconds. */
const mergeMs = 100;
/** Absorbs rounding: ten requests of a tenth of a retry each must pay for one. */
const epsilon = 1e-9;

/** Retries that may be taken, in the order in which they lapse. */
export class RetryCredits {
  private readonly batches: Batch[] = [];
  private total = 0;

  private constructor() {}

  static create(): RetryCredits {
    return new RetryCredits();
  }

  add({ amount, lapsesAt }: CreditBatch): void {
    let index = this.batches.length;
    while (index > 0 && this.batches[index - 1]!.lapsesAt > lapsesAt) index -= 1;
    this.total += amount;
    const previous = this.batches[index - 1];
    if (previous && lapsesAt - previous.lapsesAt < mergeMs) previous.amount += amount;
    else this.batches.splice(index, 0, { amount, lapsesAt });
  }

  /** Returns the retries that have not lapsed. */
  getTotal(time: number): number {
    while (this.batches[0] && this.batches[0].lapsesAt <= time) this.total -= this.batches.shift()!.amount;
    if (this.batches.length === 0) this.total = 0;
    return this.total;
  }

  /** Takes one retry, from what lapses first; returns false if less than one is left. */
  tryTake(time: number): boolean {
    if (this.getTotal(time) < 1 - epsilon) return false;
    let missing = 1;
    while (missing > epsilon && this.batches[0]) missing -= this.removeFrom(0, missing);
    return true;
  }

  /** Removes at most an amount, from what lapses last and not before a time; returns it with the earliest time at which it lapses. */
  takeLast(amount: number, lapsesAfter: number): CreditBatch {
    let taken = 0;
    let lapsesAt = Infinity;
    for (let last = this.batches.at(-1); last && amount - taken > epsilon; last = this.batches.at(-1)) {
      if (last.lapsesAt <= lapsesAfter) break;
      lapsesAt = last.lapsesAt;
      taken += this.removeFrom(this.batches.length - 1, amount - taken);
    }
    return { amount: taken, lapsesAt };
  }

  private removeFrom(index: number, amount: number): number {
    const batch = this.batches[index]!;
    const removed = Math.min(amount, batch.amount);
    batch.amount -= removed;
    this.total -= removed;
    if (batch.amount <= epsilon) this.batches.splice(index, 1);
    return removed;
  }
}
