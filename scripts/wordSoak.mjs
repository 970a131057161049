// Plays endpoints that leave, shed and say so before real processes, each seed with its own events.
// `node scripts/wordSoak.mjs --seeds 50 [--from 1] [--instances 6] [--seconds 12] [--logs FOLDER]`; exits with 1 where requests
// reached an endpoint that had said that it leaves, or that it wants nothing.
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";

const root = fileURLToPath(new URL("..", import.meta.url));
const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "10" },
    from: { type: "string", default: "1" },
    instances: { type: "string", default: "6" },
    seconds: { type: "string", default: "12" },
    logs: { type: "string" },
  },
});
const from = Number(values.from);
const built = spawnSync(process.execPath, [`${root}scripts/bundle.mjs`], { stdio: "inherit" });
if (built.status !== 0) process.exit(1);
const { playWords } = await import(`${root}platform/dist/test/wordSoak.js`);

let broken = 0;
for (let seed = from; seed < from + Number(values.seeds); seed++) {
  const { late, pressed, words, times, statuses } = await playWords({
    seed,
    instances: Number(values.instances),
    lengthMs: Number(values.seconds) * 1_000,
    logFolder: values.logs,
  });
  const isBroken = late + pressed > 0;
  broken += isBroken ? 1 : 0;
  const seen = JSON.stringify(Object.fromEntries(statuses));
  console.log(
    `${isBroken ? "BROKEN" : "ok"} seed ${seed} late ${late} of ${words} words, pressed ${pressed} of ${times} times ${seen}`,
  );
}
console.log(`${values.seeds} seeds, ${broken} broken`);
process.exit(broken === 0 ? 0 : 1);
