// Plays endpoints that name how many requests a second they take before real processes, each seed with its own events.
// `node scripts/needSoak.mjs --seeds 50 [--former DAEMON]`; broken is where all instances together sent more than is borne. With
// a daemon of an earlier build, every second instance runs it until it is started again.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runEndpointLimitSoak } = await importTest("endpointLimitSoak");

await runSeeds(6, async (options) => {
  const { maxShare, notices, statuses } = await runEndpointLimitSoak(options);
  const seen = JSON.stringify(Object.fromEntries(statuses));
  return { isViolated: maxShare > 1, text: `worst ${maxShare.toFixed(2)} after ${notices} words ${seen}` };
});
