/**
 * Logging of a daemon: writes to standard output, limits the lines per second, and never waits for the reader.
 * @module
 */
import type { Clock, Timer } from "./clock.js";
import { LineWriter } from "./lineWriter.js";
import { LogRateLimiter } from "./logRateLimiter.js";
import { type LogFields, Logger, type LogLevel } from "./logs.js";

/** Maximum lines per second of one event. */
const linesPerSecond = 60;
const sayIntervalMs = 1_000;
const flushMs = 60;

/** The logger of a daemon, with its rate limiter and its writer. Reports dropped lines once per second. */
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

  /** Logs the counts of dropped lines, and waits up to `flushMs` milliseconds for pending lines. */
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
