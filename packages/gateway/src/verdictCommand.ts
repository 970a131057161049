/**
 * `gladewalld verdicts`: lists and clears what the store holds on requests and parts of prompts under which endpoints crashed. It reads
 * the settings of an instance for the address of the store, and opens no port.
 * @module
 */
import { createFromPlugin, ExitCode, type Failure, PluginKind } from "@gladewall/kernel";
import type { Result } from "ts-results-es";
import yargs from "yargs";
import {
  ClearResult,
  type ClearedVerdict,
  clearVerdict,
  listCleared,
  listVerdicts,
  type Verdict,
} from "./crashes/verdicts.js";
import type { GatewaySettings } from "./gatewaySettings.js";
import type { MetadataStore, PlatformAdapter, PlatformOptions } from "./types.js";

/** Options of the command. */
export interface VerdictCommandOptions {
  /** Arguments after `verdicts`. */
  readonly argv: readonly string[];
  readonly settingsFile: string;
  readonly readSettings: (file: string, overrides: readonly string[]) => Result<GatewaySettings, Failure[]>;
  readonly print: (line: string) => void;
  readonly getTimeOfDay: () => number;
}

/** Runs the command; resolves with the exit code. */
export async function runVerdictCommand(options: VerdictCommandOptions): Promise<ExitCode> {
  const { argv, settingsFile, print, getTimeOfDay } = options;
  let run: ((store: MetadataStore) => Promise<ExitCode>) | undefined;
  let failure: string | undefined;
  const parsed = await yargs([...argv])
    .scriptName("gladewalld verdicts")
    .usage(
      "$0 <command>\n\nShows and clears verdicts on requests and parts of prompts under which endpoints crashed.",
    )
    .option("settings", { type: "string", default: settingsFile, describe: "INI file with the settings" })
    .option("set", { type: "string", array: true, default: [], describe: "override: section.key=value" })
    .command("list", "list verdicts, suspicions, and what was cleared", {}, () => {
      run = (store) => printVerdicts(store, print);
    })
    .command(
      "clear <id>",
      "clear one, so that such requests run again",
      (command) =>
        command
          .positional("id", { type: "string", demandOption: true, describe: "id as listed" })
          .option("by", { type: "string", demandOption: true, describe: "who clears it; kept in the store" }),
      ({ id, by }) => {
        run = (store) => printClearing(store, id, { by, at: getTimeOfDay() }, print);
      },
    )
    .demandCommand(1, "name a command: list or clear")
    .strict()
    .exitProcess(false)
    .fail((message, error) => {
      failure = message || error.message;
    })
    .version(false)
    .help()
    .parseAsync();
  if (failure !== undefined) {
    print(`gladewalld verdicts: ${failure}`);
    return ExitCode.InvalidSettings;
  }
  if (!run) return ExitCode.Success;
  const settings = options.readSettings(parsed.settings, parsed.set);
  if (settings.isErr()) return printFailure(settings.error, print, ExitCode.InvalidSettings);
  const { adapter, store_address, orders_address, timeout } = settings.value.platform;
  const platform = createFromPlugin<PlatformOptions, PlatformAdapter>(PluginKind.Platform, adapter, {
    storeAddress: store_address,
    ordersAddress: orders_address,
    timeoutMs: timeout,
  });
  if (platform.isErr()) return printFailure([platform.error], print, ExitCode.InvalidSettings);
  const code = await run(platform.value.store);
  await Promise.all([platform.value.store.close(), platform.value.orders.close()]);
  return code;
}

async function printVerdicts(store: MetadataStore, print: (line: string) => void): Promise<ExitCode> {
  const [verdicts, cleared] = [await listVerdicts(store), await listCleared(store)];
  if (verdicts.isErr()) return printFailure([verdicts.error], print, ExitCode.Failed);
  if (cleared.isErr()) return printFailure([cleared.error], print, ExitCode.Failed);
  for (const verdict of verdicts.value) print(formatVerdict(verdict));
  for (const one of cleared.value) print(formatCleared(one));
  if (verdicts.value.length + cleared.value.length === 0) print("no verdicts");
  return ExitCode.Success;
}

async function printClearing(
  store: MetadataStore,
  id: string,
  who: Pick<ClearedVerdict, "by" | "at">,
  print: (line: string) => void,
): Promise<ExitCode> {
  const result = await clearVerdict(store, id, who);
  if (result.isErr()) return printFailure([result.error], print, ExitCode.Failed);
  const isCleared = result.value === ClearResult.Cleared;
  print(isCleared ? `${id} cleared by ${who.by}` : `${id} is not listed`);
  return isCleared ? ExitCode.Success : ExitCode.Failed;
}

/** Formats `id state kind subject`, then what it is based on. */
function formatVerdict({
  id,
  kind,
  subject,
  isConvicted,
  workspaces,
  companions,
  lives,
  since,
}: Verdict): string {
  const fields = [
    id,
    isConvicted ? "refused" : "suspected",
    kind,
    subject,
    ...(companions.length > 0 ? [`only with ${companions.join()}`] : []),
    `workspaces ${workspaces.join() || "-"}`,
    `crashed ${lives.join() || "-"}`,
    ...(since === undefined ? [] : [`since ${formatTime(since)}`]),
  ];
  return fields.join("  ");
}

function formatCleared({ id, subject, by, at }: ClearedVerdict): string {
  return `${id}  cleared  ${subject}  by ${by}  at ${formatTime(at)}`;
}

function formatTime(unixMs: number): string {
  return new Date(unixMs).toISOString();
}

function printFailure(failures: readonly Failure[], print: (line: string) => void, code: ExitCode): ExitCode {
  for (const { name, text } of failures) print(`${name}: ${text}`);
  return code;
}
