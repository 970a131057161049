/**
 * Logs: one line of key=value pairs an event, in logfmt, written through consola.
 *
 * Quoting rule: a value stands bare when it holds only printable characters other than space, `"`, `=` and
 * backslash; otherwise it is quoted as a JSON string, so a caller's control bytes never reach the terminal.
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

/** Names of levels, as settings and lines give them. */
export const logLevelNames: Readonly<Record<LogLevel, string>> = {
  [LogLevel.Error]: "error",
  [LogLevel.Warn]: "warn",
  [LogLevel.Info]: "info",
  [LogLevel.Debug]: "debug",
};

/** Fields of one event; undefined fields are left out. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

const bareValue = /^[\x21\x23-\x3c\x3e-\x5b\x5d-\x7e]+$/;
// JSON leaves these as they are; a terminal may act on them.

const unsafeInJson = /[\x7f-\x9f\u2028\u2029\u200e\u200f\u202a-\u202e\u2066-\u2069]/g;

function formatEscape(character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`;
}

/** Returns a value as logfmt writes it. */
export function formatValue(value: string | number | boolean): string {
  const text = String(value);
  if (bareValue.test(text)) return text;
  return JSON.stringify(text).replace(unsafeInJson, formatEscape);
}

/** Returns one line of `key=value` pairs. */
export function formatLine(fields: LogFields): string {
  const parts: string[] = [];
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) parts.push(`${key}=${formatValue(value)}`);
  }
  return parts.join(" ");
}

/** Writes events. Each has a fixed name and typed fields. */
export class Logger {
  private constructor(
    private readonly sink: ConsolaInstance,
    private readonly base: LogFields,
    private readonly gate: LogRateLimiter,
  ) {}

  /** Creates a logger that writes lines through `write`, stderr by default; the gate bounds how many. */
  static create(
    level: LogLevel,
    base: LogFields = {},
    write: (line: string) => void = writeToStderr,
    gate: LogRateLimiter = LogRateLimiter.createUnlimited(),
  ): Logger {
    const reporter = { log: (event: LogObject) => write(String(event.args[0])) };
    return new Logger(createConsola({ level, reporters: [reporter] }), base, gate);
  }

  /** A logger that writes nothing, for tests and embedders. */
  static createSilent(): Logger {
    return Logger.create(LogLevel.Error, {}, () => undefined);
  }

  /** Returns a logger whose lines carry more fields. */
  with(fields: LogFields): Logger {
    return new Logger(this.sink, { ...this.base, ...fields }, this.gate);
  }

  error(event: string, fields: LogFields = {}): void {
    if (this.gate.tryAcquire(event)) this.sink.error(this.format(LogLevel.Error, event, fields));
  }

  warn(event: string, fields: LogFields = {}): void {
    if (this.isWritten(LogLevel.Warn, event)) this.sink.warn(this.format(LogLevel.Warn, event, fields));
  }

  info(event: string, fields: LogFields = {}): void {
    if (this.isWritten(LogLevel.Info, event)) this.sink.info(this.format(LogLevel.Info, event, fields));
  }

  debug(event: string, fields: LogFields = {}): void {
    if (this.isWritten(LogLevel.Debug, event)) this.sink.debug(this.format(LogLevel.Debug, event, fields));
  }

  /** Asked before a line is made: what is left out costs next to nothing. */
  private isWritten(level: LogLevel, event: string): boolean {
    return this.sink.level >= Number(level) && this.gate.tryAcquire(event);
  }

  /** Changes the level from now on, for this logger and all made from it. */
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
