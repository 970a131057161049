// Plays requests of all kinds before real processes that are stopped, killed and cut off, and endpoints that answer as each
// seed draws. `node scripts/answerSoak.mjs --seeds 50`; broken is where one ran too often, was refused although it ran, got what is
// not its own, or was cut by a planned stop.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runResponseSoak } = await importTest("responseSoak");

await runSeeds(6, async (options) => {
  const { violations, requests, undisturbed, retries, stops, faults, statuses } =
    await runResponseSoak(options);
  const seen = JSON.stringify(Object.fromEntries(statuses));
  const text = `${requests} requests, ${undisturbed} of them quiet, ${retries} repeats, ${stops} stops, ${faults} troubles ${seen}`;
  return { isViolated: violations.length > 0, text: [text, ...violations].join("; ") };
});
