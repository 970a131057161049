/**
 * Settings code that the daemons share: parses the log level and prints failures.
 * @module
 */
import type { Failure } from "./failures.js";
import { LogLevel, logLevelNames } from "./logs.js";

/** Returns the log level for a name from the settings; `Info` if the name is unknown. */
export function parseLogLevel(name: string): LogLevel {
  const found = Object.entries(logLevelNames).find(([, known]) => known === name);
  return found ? Number(found[0]) : LogLevel.Info;
}

/** Writes one line per failure to standard error. */
export function printFailures(failures: readonly Failure[]): void {
  for (const failure of failures) process.stderr.write(`gladewalld: ${failure.code} ${failure.text}\n`);
}
