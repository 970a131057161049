/**
 * Selects the reader from which an instance requests the store's content. A hash of their names spreads the
 * instances over the readers, and a reader that does not reply in time is skipped.
 * @module
 */
import { hashText } from "@gladewall/kernel";

/** The selected reader, and the time of its last reply. */
export class ReaderSelection {
  /** How often the selected reader was skipped for the next. */
  private skipCount = 0;
  private selectedAt = 0;
  private repliedAt = -Infinity;

  private constructor(
    private readonly ownName: string,
    private readonly timeoutMs: number,
  ) {}

  /** `timeoutMs`: time without a reply after which a reader is skipped. */
  static create(ownName: string, timeoutMs: number): ReaderSelection {
    return new ReaderSelection(ownName, timeoutMs);
  }

  /** Returns the reader to send requests to now; undefined if none is linked. */
  choose(linked: readonly string[], time: number): string | undefined {
    if (time - Math.max(this.repliedAt, this.selectedAt) > this.timeoutMs) this.skip(time);
    return linked[(hashText(this.ownName) + this.skipCount) % Math.max(1, linked.length)];
  }

  recordReply(time: number): void {
    this.repliedAt = time;
  }

  /** Selects the next reader. */
  skip(time: number): void {
    this.skipCount += 1;
    this.selectedAt = time;
  }
}
