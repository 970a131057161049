// Plays requests of all kinds before real processes that are stopped, killed and cut off, and endpoints that answer as each
// seed draws. `node scripts/answerSoak.mjs --seeds 50`; broken is where one ran too often, was refused although it ran, got what is
// not its own, or was cut by a planned stop.
import { importTest, playSeeds } from "./playSeeds.mjs";

const { runResponseSoak } = await importTest("responseSoak");

await playSeeds(6, async (play) => {
  const { violations, requests, undisturbed, retries, stops, faults, statuses } = await runResponseSoak(play);
  const seen = JSON.stringify(Object.fromEntries(statuses));
  const text = `${requests} requests, ${undisturbed} of them quiet, ${retries} repeats, ${stops} stops, ${faults} troubles ${seen}`;
  return { isBroken: violations.length > 0, text: [text, ...violations].join("; ") };
});
