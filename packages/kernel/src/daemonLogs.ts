/**
 * Logs of a daemon: to standard output, bounded in lines a second, never waiting for the reader.
 * @module
 */
import type { Clock, Timer } from "./clock.js";
import { LineWriter } from "./lineWriter.js";
import { LogRateLimiter } from "./logRateLimiter.js";
import { type LogFields, Logger, type LogLevel } from "./logs.js";

/** Lines of one event in a second. */
const linesPerSecond = 60;
const sayIntervalMs = 1_000;
const flushMs = 60;

/** A daemon's logger, and what keeps it. */
export class DaemonLogs {
  readonly logger: Logger;
  private timer: Timer | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly writer: LineWriter,
    private readonly gate: LogRateLimiter,
    level: LogLevel,
    base: LogFields,
  ) {
    this.logger = Logger.create(level, base, (line) => writer.write(line), gate);
    this.sayLater();
  }

  static create(
    clock: Clock,
    level: LogLevel,
    base: LogFields,
    writer: LineWriter = LineWriter.createStandardOutput(),
  ): DaemonLogs {
    const gate = LogRateLimiter.create(clock, linesPerSecond);
    return new DaemonLogs(clock, writer, gate, level, base);
  }

  /** Says what was left out, and waits a moment for what is under way. */
  async close(): Promise<void> {
    this.timer?.cancel();
    this.sayDropped();
    await this.writer.flush(flushMs);
  }

  private sayLater(): void {
    this.timer = this.clock.startTimer(sayIntervalMs, () => {
      this.sayDropped();
      this.sayLater();
    });
  }

  private sayDropped(): void {
    for (const [what, lines] of this.gate.takeDroppedCounts())
      this.logger.warn("logs.thinned", { what, lines });
    const lines = this.writer.takeDroppedCount();
    if (lines > 0) this.logger.warn("logs.dropped", { lines });
  }
}
