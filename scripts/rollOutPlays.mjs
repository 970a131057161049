// Plays roll-outs around the end of all instances on the step clock. `node scripts/rollOutPlays.mjs --seeds 100 [--from 1]
// [--instances 6] [--rounds 5] [--choices everyRollOut|bothServe|rollingOver|oneServes]`. Prints a line for each play whose streams hold
// events of two versions, and at the end how many streams there were and what share of those taken up went on, of that of new ones that
// began. Exits with 1 if one was broken.
import { parseArgs } from "node:util";

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "100" },
    from: { type: "string", default: "1" },
    instances: { type: "string", default: "6" },
    rounds: { type: "string", default: "5" },
    choices: { type: "string", default: "everyRollOut" },
  },
});
const plays = await import(new URL("../packages/gateway/dist/test/rollOutPlays.js", import.meta.url).href);
const { describePlay, getGoOnShare, playRollOuts } = plays;
const choices = plays[values.choices];
if (!choices?.orders) throw new Error(`--choices names no drawn plays: ${values.choices}`);

const instances = Number(values.instances);
const from = Number(values.from);
let streams = 0;
let broken = 0;
const fleets = [];
for (let seed = from; seed < from + Number(values.seeds); seed++) {
  const fleet = await playRollOuts({
    instances,
    seed,
    rounds: Number(values.rounds),
    choices,
    streamIntervalMs: 8,
  });
  streams += fleet.callers.begun;
  const { callers } = fleet;
  fleets.push({ callers: { takeUpAttempts: callers.takeUpAttempts, newAttempts: callers.newAttempts } });
  if (fleet.violations.length === 0) continue;
  broken += 1;
  console.log(`BROKEN seed ${seed}: ${describePlay(fleet)}`);
}
const share = getGoOnShare(fleets).toFixed(3);
console.log(
  `${instances} instances, ${values.choices}: ${values.seeds} seeds, ${broken} broken, ${streams} streams, share ${share}`,
);
process.exit(broken === 0 ? 0 : 1);
