// Plays a store that comes back from copies before real processes, each seed with its own events.
// `node scripts/storeSoak.mjs --seeds 50`; broken is where a removed key ran, a new one was refused, a version fell, an endpoint
// that left was used, or duties were done twice.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runStoreSoak } = await importTest("storeSoak");

await runSeeds(6, async (options) => {
  const { violations, restores, versions, statuses } = await runStoreSoak(options);
  const seen = JSON.stringify(Object.fromEntries(statuses));
  const text = `${restores} returns, ${versions} versions ${seen} ${violations.join("; ")}`;
  return { isViolated: violations.length > 0, text };
});
