/**
 * `npm run bench -- <name>`: runs benchmarks by name. Each prints its measurements as they are made and writes its
 * result to `docs/results/<name>.json`.
 * @module
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { runCapacityBench } from "./capacityBench.js";
import { runClaimsBench } from "./claimsBench.js";
import { runDecisionsBench } from "./decisionsBench.js";
import { runFleetBench } from "./fleetBench.js";
import { runStalenessBench } from "./stalenessBench.js";

type Bench = (print: (line: string) => void) => Promise<unknown>;

const capacityWindowMs = 4_000;
const resultsFolder = fileURLToPath(new URL("../../../../../docs/results/", import.meta.url));

const claimsWindowMs = 4_000;
const fleetWindowMs = 4_000;

const benches: Readonly<Record<string, Bench>> = {
  claims: (print) => runClaimsBench(claimsWindowMs, print),
  capacity: (print) => runCapacityBench(capacityWindowMs, print),
  decisions: runDecisionsBench,
  fleet: (print) => runFleetBench(fleetWindowMs, print),
  staleness: runStalenessBench,
};

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function main(): Promise<number> {
  const names = process.argv.slice(2);
  const unknown = names.find((name) => !Object.hasOwn(benches, name));
  if (unknown !== undefined || names.length === 0) {
    process.stderr.write(`bench: name one of ${Object.keys(benches).join(", ")}\n`);
    return 2;
  }
  mkdirSync(resultsFolder, { recursive: true });
  for (const name of names) {
    print(`# ${name}`);
    const result = await benches[name]?.(print);
    writeFileSync(`${resultsFolder}${name}.json`, `${JSON.stringify(result, undefined, 2)}\n`);
  }
  return 0;
}

process.exitCode = await main();
