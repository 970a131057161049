/**
 * Structured logs: one logfmt line of key=value pairs per event, written through consola.
 *
 * A value is written unquoted if it contains only printable ASCII characters other than space, `"`, `=` and backslash.
 * Otherwise it is quoted as a JSON string, so that control characters from a caller never reach a terminal.
 * @module
 */
import { LogRateLimiter } from "./logRateLimiter.js";
import { createConsola, type ConsolaInstance, type LogObject } from "consola";

/** Severity of an event. */
export enum LogLevel {
  Error = 0,
  Warn = 1,
  Info = 3,
  Debug = 4,
}

/** Names of the levels in settings and log lines. */
export const logLevelNames: Readonly<Record<LogLevel, string>> = {
  [LogLevel.Error]: "error",
  [LogLevel.Warn]: "warn",
  [LogLevel.Info]: "info",
  [LogLevel.Debug]: "debug",
};

/** Fields of one event; undefined fields are omitted. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

const unquotedValue = /^[\x21\x23-\x3c\x3e-\x5b\x5d-\x7e]+$/;
// Characters that JSON does not escape, but that a terminal may interpret.

const unsafeInJson = /[\x7f-\x9f\u2028\u2029\u200e\u200f\u202a-\u202e\u2066-\u2069]/g;

function formatEscape(character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`;
}

/** Formats a value for logfmt. */
export function formatValue(value: string | number | boolean): string {
  const text = String(value);
  if (unquotedValue.test(text)) return text;
  return JSON.stringify(text).replace(unsafeInJson, formatEscape);
}

/** Formats fields as one line of `key=value` pairs. */
export function formatLine(fields: LogFields): string {
  const parts: string[] = [];
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) parts.push(`${key}=${formatValue(value)}`);
  }
  return parts.join(" ");
}

/** Writes events, each of which has a fixed name and typed fields. */
export class Logger {
  private constructor(
    private readonly sink: ConsolaInstance,
    private readonly base: LogFields,
    private readonly limiter: LogRateLimiter,
  ) {}

  /**
   * Creates a logger that passes lines to `write` (standard error by default), as far as the rate limiter
   * admits them.
   */
  static create(
    level: LogLevel,
    base: LogFields = {},
    write: (line: string) => void = writeToStderr,
    limiter: LogRateLimiter = LogRateLimiter.createUnlimited(),
  ): Logger {
    const reporter = { log: (event: LogObject) => write(String(event.args[0])) };
    return new Logger(createConsola({ level, reporters: [reporter] }), base, limiter);
  }

  /** Creates a logger that writes nothing, for tests and embedders. */
  static createSilent(): Logger {
    return Logger.create(LogLevel.Error, {}, () => undefined);
  }

  /** Returns a logger that adds fields to each line. */
  with(fields: LogFields): Logger {
    return new Logger(this.sink, { ...this.base, ...fields }, this.limiter);
  }

  error(event: string, fields: LogFields = {}): void {
    if (this.limiter.tryAcquire(event)) this.sink.error(this.format(LogLevel.Error, event, fields));
  }

  warn(event: string, fields: LogFields = {}): void {
    if (this.shouldWrite(LogLevel.Warn, event)) this.sink.warn(this.format(LogLevel.Warn, event, fields));
  }

  info(event: string, fields: LogFields = {}): void {
    if (this.shouldWrite(LogLevel.Info, event)) this.sink.info(this.format(LogLevel.Info, event, fields));
  }

  debug(event: string, fields: LogFields = {}): void {
    if (this.shouldWrite(LogLevel.Debug, event)) this.sink.debug(this.format(LogLevel.Debug, event, fields));
  }

  /** Checked before a line is formatted, so that lines which are not written cost almost nothing. */
  private shouldWrite(level: LogLevel, event: string): boolean {
    return this.sink.level >= Number(level) && this.limiter.tryAcquire(event);
  }

  /** Changes the level of this logger and of all loggers that share its sink through `with`. */
  setLevel(level: LogLevel): void {
    this.sink.level = level;
  }

  private format(level: LogLevel, event: string, fields: LogFields): string {
    return formatLine({
      ts: new Date().toISOString(),
      level: logLevelNames[level],
      event,
      ...this.base,
      ...fields,
    });
  }
}

function writeToStderr(line: string): void {
  process.stderr.write(`${line}\n`);
}
