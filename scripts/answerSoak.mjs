// Runs the response soak: requests of all kinds on real processes that are stopped, killed and partitioned, with endpoints whose
// responses are random for each seed. `node scripts/answerSoak.mjs --seeds 50`. A seed is broken if a request ran too often, was
// refused although it ran, got another request's response, or was interrupted by a planned stop.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runResponseSoak } = await importTest("responseSoak");

await runSeeds(6, async (options) => {
  const { violations, requests, undisturbed, retries, stops, faults, statuses } =
    await runResponseSoak(options);
  const seen = JSON.stringify(Object.fromEntries(statuses));
  const text = `${requests} requests, ${undisturbed} of them quiet, ${retries} repeats, ${stops} stops, ${faults} troubles ${seen}`;
  return { isViolated: violations.length > 0, text: [text, ...violations].join("; ") };
});
