// Plays a store that comes back from copies before real processes, each seed with its own events.
// `node scripts/storeSoak.mjs --seeds 50`; broken is where a removed key ran, a new one was refused, a version fell, an endpoint
// that left was used, or duties were done twice.
import { importTest, playSeeds } from "./playSeeds.mjs";

const { runStoreSoak } = await importTest("storeSoak");

await playSeeds(6, async (play) => {
  const { violations, restores, versions, statuses } = await runStoreSoak(play);
  const seen = JSON.stringify(Object.fromEntries(statuses));
  const text = `${restores} returns, ${versions} versions ${seen} ${violations.join("; ")}`;
  return { isBroken: violations.length > 0, text };
});
