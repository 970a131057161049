/**
 * Logging of a daemon: writes to standard output, limits the lines per second, and never waits for the reader.
 * @module
 */
import type { Clock, Timer } from "./clock.js";
import { LineWriter } from "./lineWriter.js";
import { LogRateLimiter } from "./logRateLimiter.js";
import { type LogFields, Logger, type LogLevel } from "./logs.js";

/** Maximum lines per second of one event. */
const maxLinesPerSecond = 60;
const reportIntervalMs = 1_000;
const flushMs = 60;

/** The logger of a daemon, with its rate limiter and its writer. Reports dropped lines once per second. */
export class DaemonLogs {
  readonly logger: Logger;
  private timer: Timer | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly writer: LineWriter,
    private readonly limiter: LogRateLimiter,
    level: LogLevel,
    base: LogFields,
  ) {
    this.logger = Logger.create(level, base, (line) => writer.write(line), limiter);
    this.scheduleReport();
  }

  static create(
    clock: Clock,
    level: LogLevel,
    base: LogFields,
    writer: LineWriter = LineWriter.createStandardOutput(),
  ): DaemonLogs {
    const limiter = LogRateLimiter.create(clock, maxLinesPerSecond);
    return new DaemonLogs(clock, writer, limiter, level, base);
  }

  /** Logs the counts of dropped lines, and waits up to `flushMs` milliseconds for pending lines. */
  async close(): Promise<void> {
    this.timer?.cancel();
    this.reportDropped();
    await this.writer.flush(flushMs);
  }

  private scheduleReport(): void {
    this.timer = this.clock.startTimer(reportIntervalMs, () => {
      this.reportDropped();
      this.scheduleReport();
    });
  }

  private reportDropped(): void {
    for (const [what, lines] of this.limiter.takeDroppedCounts())
      this.logger.warn("logs.thinned", { what, lines });
    const lines = this.writer.takeDroppedCount();
    if (lines > 0) this.logger.warn("logs.dropped", { lines });
  }
}
