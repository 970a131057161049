// Plays endpoints that name how many requests a second they take before real processes, each seed with its own events.
// `node scripts/needSoak.mjs --seeds 50 [--former DAEMON]`; broken is where all instances together sent more than is borne. With
// a daemon of an earlier build, every second instance runs it until it is started again.
import { importTest, playSeeds } from "./playSeeds.mjs";

const { runEndpointLimitSoak } = await importTest("endpointLimitSoak");

await playSeeds(6, async (play) => {
  const { maxShare, notices, statuses } = await runEndpointLimitSoak(play);
  const seen = JSON.stringify(Object.fromEntries(statuses));
  return { isBroken: maxShare > 1, text: `worst ${maxShare.toFixed(2)} after ${notices} words ${seen}` };
});
