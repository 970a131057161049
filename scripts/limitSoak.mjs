// Plays surges on one workspace's limit before real processes, with troubles that each seed draws: lost answers, late
// links, paused, killed and restarted instances. `node scripts/limitSoak.mjs --seeds 50`; broken is where more ran than the limit
// allows.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { createRandomFaults, runLimitSoak } = await importTest("limitSoak");

await runSeeds(12, async (options) => {
  const faults = createRandomFaults(options.seed);
  const { maxShare, admittedShare, statuses } = await runLimitSoak({ ...faults, ...options });
  const seen = JSON.stringify(Object.fromEntries(statuses));
  const outcome = `worst ${maxShare.toFixed(3)} given out ${admittedShare.toFixed(2)}`;
  return { isViolated: maxShare > 1, text: `${outcome} ${seen} ${JSON.stringify(faults)}` };
});
