// Runs the soak of advertised limits: endpoints name how many requests a second they accept, with random events for each seed.
// `node scripts/needSoak.mjs --seeds 50 [--former DAEMON]`. A seed is broken if all instances together sent more than is allowed.
// With `--former`, every second instance runs that daemon of an earlier build until its first restart.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runEndpointLimitSoak } = await importTest("endpointLimitSoak");

await runSeeds(6, async (options) => {
  const { maxShare, notices, statuses } = await runEndpointLimitSoak(options);
  const seen = JSON.stringify(Object.fromEntries(statuses));
  return { isViolated: maxShare > 1, text: `worst ${maxShare.toFixed(2)} after ${notices} words ${seen}` };
});
