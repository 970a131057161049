/**
 * Command line of the daemons. A separate module, so that a daemon without arguments does not
 * load yargs.
 * @module
 */
import yargs from "yargs";
import { ExitCode } from "./exitCodes.js";

/** Parsed command line. */
export interface DaemonArguments {
  readonly settings: string;
  readonly check: boolean;
  readonly print: boolean;
  readonly reference: boolean;
  readonly set: readonly string[];
}

/** Settings file that is used if neither the command line nor the environment names one. */
export const defaultSettingsFile = "gladewall.ini";

/** Parses the command line; ends the process with `InvalidSettings` if it is invalid. */
export async function parseArguments(
  args: readonly string[],
  settingsFile: string = defaultSettingsFile,
): Promise<DaemonArguments> {
  const parsed = await yargs([...args])
    .scriptName("gladewalld")
    .usage("$0 [options]\n\nRuns one entry of gladewall.")
    .option("settings", { type: "string", default: settingsFile, describe: "INI file with the settings" })
    .option("check", { type: "boolean", default: false, describe: "check the settings and exit" })
    .option("print", {
      type: "boolean",
      default: false,
      describe: "print the settings in force, without secrets, and exit",
    })
    .option("reference", {
      type: "boolean",
      default: false,
      describe: "print every setting as Markdown and exit",
    })
    .option("set", { type: "string", array: true, default: [], describe: "override: section.key=value" })
    .strict()
    .fail((message, error) => {
      process.stderr.write(`gladewalld: ${message || error.message}\n`);
      process.exit(ExitCode.InvalidSettings);
    })
    .version("0.1.0")
    .help()
    .parseAsync();
  const { settings, check, print, reference, set } = parsed;
  return { settings, check, print, reference, set };
}
