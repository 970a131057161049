/**
 * Code of the start that the daemons share: parses the log level, prints failures, and starts.
 * @module
 */
import { ExitCode } from "./exitCodes.js";
import type { Failure } from "./failures.js";
import { ListenError } from "./listen.js";
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

/** Starts a daemon. If one of its addresses is not available, prints one line that says which, and exits. */
export async function startDaemon(start: () => Promise<unknown>): Promise<void> {
  try {
    await start();
  } catch (error) {
    if (!(error instanceof ListenError)) throw error;
    printFailures([error.failure]);
    process.exit(ExitCode.AddressUnavailable);
  }
}
