/**
 * For how long streams may be taken up after they began. A stream lives by the limits that were in force when it began, so that a limit
 * which was lowered since still counts until the last of these streams has ended; what instances can't remember is in the records of
 * versions.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** Options of the retention. */
export interface StreamRetentionOptions {
  readonly clock: Clock;
  /** Returns the milliseconds for which streams that begin now may be taken up, by the configuration in force; 0 if none may. */
  readonly getInForceMs: () => number;
}

/** Time for which streams wait until the records state a limit that was raised; after it they begin all the same. */
const maxRaiseWaitMs = 2_000;

/** The time for which streams may be taken up, over all configurations under which some of them can have begun. */
export class StreamRetention {
  private inForceMs = 0;
  private raisedAt = -Infinity;
  /** By a time that was in force: the monotonic time until which it was. */
  private readonly former = new Map<number, number>();
  /** The longest time that the record of a service states, and that of all services. */
  private readonly recorded = new Map<string, number>();
  private recordedMs = 0;

  private constructor(private readonly options: StreamRetentionOptions) {}

  static create(options: StreamRetentionOptions): StreamRetention {
    return new StreamRetention(options);
  }

  /** Returns the milliseconds after its begin for which any stream may be taken up; 0 if none may. */
  getMs(): number {
    return Math.max(this.getSeenMs(), this.recordedMs);
  }

  /** Returns the same by the configurations that this instance has had in force itself. */
  getSeenMs(): number {
    this.update();
    return this.former.size === 0 ? this.inForceMs : Math.max(this.inForceMs, ...this.former.keys());
  }

  /** Notes the longest time that the record of a service states; 0 if there is no record. */
  noteRecorded(service: string, retentionMs: number): void {
    if (retentionMs > 0) this.recorded.set(service, retentionMs);
    else this.recorded.delete(service);
    this.recordedMs = Math.max(0, ...this.recorded.values());
  }

  /**
   * Whether a stream may begin at a version for which the record states a time: those that start later must know how long it may be taken
   * up.
   */
  mayBegin(recordedMs: number): boolean {
    this.update();
    return recordedMs >= this.inForceMs || this.options.clock.getTime() - this.raisedAt > maxRaiseWaitMs;
  }

  private update(): void {
    const { clock, getInForceMs } = this.options;
    const time = clock.getTime();
    const inForceMs = getInForceMs();
    if (inForceMs !== this.inForceMs) {
      if (this.inForceMs > 0) this.former.set(this.inForceMs, time);
      if (inForceMs > this.inForceMs) this.raisedAt = time;
      this.inForceMs = inForceMs;
    }
    for (const [retentionMs, until] of this.former)
      if (time - until > retentionMs) this.former.delete(retentionMs);
  }
}
