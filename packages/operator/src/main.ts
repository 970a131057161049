#!/usr/bin/env node
/**
 * `gladewall`: the operators' command line.
 * @module
 */
import yargs from "yargs";
import { runLocal } from "./commands/local.js";

/** Exit codes of `gladewall`. */
export enum OperatorExit {
  Good = 0,
  Failed = 1,
  BadUse = 2,
}

const leastEntries = 2;

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
        .option("entries", { type: "number", default: 3, describe: `entries, at least ${leastEntries}` })
        .option("verbose", { type: "boolean", default: false, describe: "write the entries' logs" })
        .check((options) => options.entries >= leastEntries || `at least ${leastEntries} entries`),
    async (options) => {
      process.exitCode = await runLocal(options, print);
    },
  )
  .demandCommand(1, "name a command")
  .strict()
  .fail((message, error) => {
    process.stderr.write(`gladewall: ${message || String(error)}\n`);
    process.exit(OperatorExit.BadUse);
  })
  .version("0.1.0")
  .help();

await cli.parseAsync();
