// Runs requests that crash endpoints, on instances that stop and start at random for each seed. `node scripts/crashSoak.mjs
// --seeds 50 [--from 1]`, after a build. Exits with 1 if a crashing request ran too often or other requests were not served.
import { fileURLToPath } from "node:url";
import { clearTimeout, setTimeout } from "node:timers";
import { parseArgs } from "node:util";

const root = fileURLToPath(new URL("..", import.meta.url));
const { values } = parseArgs({
  options: { seeds: { type: "string", default: "50" }, from: { type: "string", default: "1" } },
});
const { runCrashScenario } = await import(`${root}packages/gateway/dist/test/crashScenarios.js`);

/** Maximum number of runs of one request after three endpoints have crashed under it. */
const maxRuns = 3;
/** A scenario takes 2 s; one that takes this long waits for something that never happens. */
const stuckMs = 60_000;

function exitStuck(seed) {
  console.log(`FAILED seed ${seed}: an instance never received what the others know`);
  process.exit(1);
}

const from = Number(values.from);
let failed = 0;
for (let seed = from; seed < from + Number(values.seeds); seed++) {
  const closers = [];
  const watchdog = setTimeout(() => exitStuck(seed), stuckMs);
  const result = await runCrashScenario({ teardown: (close) => closers.push(close) }, seed);
  clearTimeout(watchdog);
  for (const close of closers) await close();
  const isGood = result.mostRunsAfterThird <= maxRuns && result.unserved === 0;
  failed += isGood ? 0 : 1;
  console.log(`${isGood ? "ok" : "FAILED"} seed ${seed} ${JSON.stringify(result)}`);
}
console.log(`${values.seeds} seeds, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
