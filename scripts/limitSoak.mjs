// Plays surges on one workspace's limit before real processes, with troubles that each seed draws: lost answers, late
// links, paused, killed and restarted instances. `node scripts/limitSoak.mjs --seeds 50 [--from 1] [--instances 12]
// [--seconds 12] [--logs FOLDER]`; exits with 1 where more ran than the limit allows.
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";

const root = fileURLToPath(new URL("..", import.meta.url));
const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "10" },
    from: { type: "string", default: "1" },
    instances: { type: "string", default: "12" },
    seconds: { type: "string", default: "12" },
    logs: { type: "string" },
  },
});
const from = Number(values.from);
const built = spawnSync(process.execPath, [`${root}scripts/bundle.mjs`], { stdio: "inherit" });
if (built.status !== 0) process.exit(1);
const { drawTroubles, playLimit } = await import(`${root}platform/dist/test/limitSoak.js`);

let overrun = 0;
for (let seed = from; seed < from + Number(values.seeds); seed++) {
  const troubles = drawTroubles(seed);
  const { worstShare, givenOut, statuses } = await playLimit({
    ...troubles,
    seed,
    instances: Number(values.instances),
    lengthMs: Number(values.seconds) * 1_000,
    logFolder: values.logs,
  });
  const isOverrun = worstShare > 1;
  overrun += isOverrun ? 1 : 0;
  const outcome = `worst ${worstShare.toFixed(3)} given out ${givenOut.toFixed(2)}`;
  const seen = JSON.stringify(Object.fromEntries(statuses));
  console.log(`${isOverrun ? "OVERRUN" : "ok"} seed ${seed} ${outcome} ${seen} ${JSON.stringify(troubles)}`);
}
console.log(`${values.seeds} seeds, ${overrun} with more than the limit allows`);
process.exit(overrun === 0 ? 0 : 1);
