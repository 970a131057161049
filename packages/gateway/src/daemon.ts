/**
 * Runs a gateway instance as a daemon. SIGTERM and SIGINT shut it down gracefully. SIGHUP reads the settings again and applies
 * the reloadable settings; the file is also polled, because it may change without a signal.
 * @module
 */
import { statSync } from "node:fs";
import {
  DaemonLogs,
  ExitCode,
  type Failure,
  Logger,
  LogLevel,
  parseLogLevel,
  formatSettingsReference,
  formatSettings,
  listChangedSettings,
  printFailures,
  readSettings,
  startDaemon,
  SystemClock,
} from "@gladewall/kernel";
import type { DaemonArguments } from "@gladewall/kernel/commandLine";
import type { Result } from "ts-results-es";
import { Gateway } from "./gateway.js";
import { gatewaySchema, type GatewaySettings, renamedGatewaySettings } from "./gatewaySettings.js";

/** Environment variable that names the settings file. */
const fileVariable = "GLADEWALL_CONFIG";
const filePollMs = 2_000;
/** First argument of the command that shows and clears verdicts instead of running an instance. */
const verdictsArgument = "verdicts";

/** Runs one instance until a signal stops it; `argv` are the command-line arguments. */
export async function runGatewayDaemon(argv: readonly string[]): Promise<void> {
  if (argv[0] === verdictsArgument) return runVerdicts(argv.slice(1));
  const options = await readArguments(argv);
  if (options.reference) {
    process.stdout.write(formatSettingsReference(gatewaySchema));
    return;
  }
  const settings = readDaemonSettings(options);
  if (settings.isErr()) return exitWith(settings.error);
  if (options.print) process.stdout.write(formatSettings(gatewaySchema, settings.value));
  const { instance, logs: logSettings } = settings.value;
  const clock = SystemClock.create();
  const logs = DaemonLogs.create(clock, parseLogLevel(logSettings.level), { instance: instance.name });
  logFatalErrors(instance.name);
  const gateway = Gateway.create(settings.value, logs.logger, clock);
  if (gateway.isErr()) exitWith([gateway.error]);
  if (gateway.isErr() || options.check || options.print) return logs.close();
  logs.logger.info("settings.read", {
    file: options.settings,
    ...listChangedSettings(gatewaySchema, settings.value),
  });
  handleSignals(gateway.value, logs, options);
  await startDaemon(() => gateway.value.start());
}

/** Runs `gladewalld verdicts`, whose arguments follow. */
async function runVerdicts(argv: readonly string[]): Promise<void> {
  const { runVerdictCommand } = await import("./verdictCommand.js");
  const { defaultSettingsFile } = await import("@gladewall/kernel/commandLine");
  process.exitCode = await runVerdictCommand({
    argv,
    settingsFile: process.env[fileVariable] ?? defaultSettingsFile,
    readSettings: (settings, set) => readDaemonSettings({ settings, set }),
    print: (line) => process.stdout.write(`${line}\n`),
    getTimeOfDay: Date.now,
  });
}

async function readArguments(argv: readonly string[]): Promise<DaemonArguments> {
  const defaultFile = process.env[fileVariable];
  if (argv.length === 0 && defaultFile !== undefined) {
    return { settings: defaultFile, check: false, print: false, reference: false, set: [] };
  }
  const { parseArguments } = await import("@gladewall/kernel/commandLine");
  return parseArguments(argv, defaultFile);
}

function readDaemonSettings(
  options: Pick<DaemonArguments, "settings" | "set">,
): Result<GatewaySettings, Failure[]> {
  return readSettings(gatewaySchema, {
    renamed: renamedGatewaySettings,
    file: options.settings,
    environment: process.env,
    overrides: options.set,
  });
}

function exitWith(failures: readonly Failure[]): void {
  printFailures(failures);
  process.exitCode = ExitCode.InvalidSettings;
}

/** Logs the error that ends the process, to standard error: the lines of standard output may not be written any more. */
function logFatalErrors(instance: string): void {
  const logger = Logger.create(LogLevel.Error, { instance });
  process.on("uncaughtExceptionMonitor", (error: Error, origin) =>
    logger.error("instance.failed", { origin, cause: error.stack }),
  );
}

function handleSignals(gateway: Gateway, logs: DaemonLogs, options: DaemonArguments): void {
  const { logger } = logs;
  const leave = async (): Promise<void> => {
    await gateway.leave();
    await logs.close();
    process.exit(0);
  };
  const stop = (): void => void leave();
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  const reload = (): void => {
    const settings = readDaemonSettings(options);
    if (settings.isErr()) {
      for (const { name, text } of settings.error) logger.error("settings.refused", { failure: name, text });
      return;
    }
    logger.setLevel(parseLogLevel(settings.value.logs.level));
    gateway.applySettings(settings.value);
    logger.info("settings.reloaded", { file: options.settings });
  };
  process.on("SIGHUP", reload);
  let modifiedAt = getModifiedAt(options.settings);
  setInterval(() => {
    const latest = getModifiedAt(options.settings);
    if (latest === modifiedAt) return;
    modifiedAt = latest;
    reload();
  }, filePollMs).unref();
}

function getModifiedAt(file: string): number {
  return statSync(file, { throwIfNoEntry: false })?.mtimeMs ?? 0;
}
