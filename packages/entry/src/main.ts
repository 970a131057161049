#!/usr/bin/env node
/**
 * The daemon `gladewalld`, which runs one entry. SIGTERM and SIGINT start a planned stop; a second one logs the
 * requests that have not ended. SIGHUP reloads the settings.
 * @module
 */
import {
  DaemonLogs,
  ExitCode,
  type Failure,
  parseLogLevel,
  formatSettings,
  printFailures,
  readSettings,
  startDaemon,
  SystemClock,
} from "@gladewall/kernel";
import { type DaemonArguments, parseArguments } from "@gladewall/kernel/commandLine";
import type { Result } from "ts-results-es";
import { entrySchema, type EntrySettings, formatSettingsPage } from "./entrySettings.js";
import { Entry } from "./index.js";

function readDaemonSettings(options: DaemonArguments): Result<EntrySettings, Failure[]> {
  return readSettings(entrySchema, {
    file: options.settings,
    environment: process.env,
    overrides: options.set,
  });
}

function handleSignals(entry: Entry, logs: DaemonLogs, options: DaemonArguments): void {
  const { logger } = logs;
  let isStopping = false;
  const stop = (): void => {
    if (isStopping) {
      logger.warn("entry.waiting", { requests: entry.getOpenRequests().join(",") });
      return;
    }
    isStopping = true;
    void entry
      .stop()
      .then(() => logs.close())
      .then(() => process.exit(ExitCode.Success));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  process.on("SIGHUP", () => {
    const settings = readDaemonSettings(options);
    if (settings.isErr()) {
      for (const failure of settings.error)
        logger.error("settings.refused", { failure: failure.name, text: failure.text });
      return;
    }
    logger.setLevel(parseLogLevel(settings.value.logs.level));
    entry.reload(settings.value);
    logger.info("settings.reloaded", {});
  });
}

async function main(): Promise<void> {
  const options = await parseArguments(process.argv.slice(2));
  if (options.reference) {
    process.stdout.write(formatSettingsPage());
    process.exit(ExitCode.Success);
  }
  const settings = readDaemonSettings(options);
  if (settings.isErr()) {
    printFailures(settings.error);
    process.exit(ExitCode.InvalidSettings);
  }
  const logs = DaemonLogs.create(SystemClock.create(), parseLogLevel(settings.value.logs.level), {});
  const entry = Entry.create(settings.value, logs.logger);
  if (entry.isErr()) {
    printFailures([entry.error]);
    process.exit(ExitCode.InvalidSettings);
  }
  if (options.print) process.stdout.write(formatSettings(entrySchema, settings.value));
  if (options.check || options.print) process.exit(ExitCode.Success);
  handleSignals(entry.value, logs, options);
  await startDaemon(() => entry.value.start());
}

await main();
