/**
 * What the daemons do alike with their settings: find the log level, and say what is wrong.
 * @module
 */
import type { Failure } from "./failures.js";
import { LogLevel, logLevelNames } from "./logs.js";

/** Returns the level of a name as settings give it; `Info` where there is none of that name. */
export function parseLogLevel(name: string): LogLevel {
  const found = Object.entries(logLevelNames).find(([, known]) => known === name);
  return found ? Number(found[0]) : LogLevel.Info;
}

/** Writes one line a failure to standard error. */
export function printFailures(failures: readonly Failure[]): void {
  for (const failure of failures) process.stderr.write(`gladewalld: ${failure.code} ${failure.text}\n`);
}
