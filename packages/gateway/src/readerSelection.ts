/**
 * The reader that an instance asks what the store holds. Instances spread over the readers by a hash of their names,
 * and pass over one that does not answer.
 * @module
 */
import { hashText } from "@gladewall/kernel";

/** Which reader is asked, and when it last answered. */
export class ReaderSelection {
  /** How often the reader that is asked was passed over for the next. */
  private skipCount = 0;
  private selectedAt = 0;
  private answeredAt = -Infinity;

  private constructor(
    private readonly own: string,
    private readonly patienceMs: number,
  ) {}

  /** `patienceMs`: time without an answer after which a reader is passed over. */
  static create(own: string, patienceMs: number): ReaderSelection {
    return new ReaderSelection(own, patienceMs);
  }

  /** Chooses the reader to be asked now; undefined where none is linked. */
  choose(linked: readonly string[], time: number): string | undefined {
    if (time - Math.max(this.answeredAt, this.selectedAt) > this.patienceMs) this.skip(time);
    return linked[(hashText(this.own) + this.skipCount) % Math.max(1, linked.length)];
  }

  recordAnswer(time: number): void {
    this.answeredAt = time;
  }

  /** Asks the next reader from now on. */
  skip(time: number): void {
    this.skipCount += 1;
    this.selectedAt = time;
  }
}
