// Runs the soak of store restores: the store is restored from older snapshots, with random events for each seed.
// `node scripts/storeSoak.mjs --seeds 50`. A seed is broken if a removed key ran requests, a new key was refused, a configuration
// version decreased, an endpoint that left received requests, or leader tasks were executed twice.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runStoreSoak } = await importTest("storeSoak");

await runSeeds(6, async (options) => {
  const { violations, restores, versions, statuses } = await runStoreSoak(options);
  const seen = JSON.stringify(Object.fromEntries(statuses));
  const text = `${restores} returns, ${versions} versions ${seen} ${violations.join("; ")}`;
  return { isViolated: violations.length > 0, text };
});
