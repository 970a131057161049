#!/usr/bin/env node
/**
 * `gladewall`, the command line for operators. Its only command, `local`, runs the whole system in one process.
 * @module
 */
import yargs from "yargs";
import { runLocal } from "./commands/local.js";

/** Exit codes of `gladewall`. */
export enum OperatorExitCode {
  Success = 0,
  Failed = 1,
  InvalidUsage = 2,
}

const minEntries = 2;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const cli = yargs(process.argv.slice(2))
  .scriptName("gladewall")
  .usage("$0 <command>\n\nOperates gladewall.")
  .command(
    "local",
    "run the whole system in this process, on loopback",
    (command) =>
      command
        .option("exit", { type: "boolean", default: false, describe: "end after the sample requests" })
        .option("entries", { type: "number", default: 3, describe: `entries, at least ${minEntries}` })
        .option("verbose", { type: "boolean", default: false, describe: "write the entries' logs" })
        .check((options) => options.entries >= minEntries || `at least ${minEntries} entries`),
    async (options) => {
      process.exitCode = await runLocal(options, print);
    },
  )
  .demandCommand(1, "name a command")
  .strict()
  .fail((message, error) => {
    process.stderr.write(`gladewall: ${message || String(error)}\n`);
    process.exit(OperatorExitCode.InvalidUsage);
  })
  .version("0.1.0")
  .help();

await cli.parseAsync();
