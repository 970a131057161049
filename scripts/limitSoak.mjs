// Runs surges beyond one workspace's limit on real processes, with random faults for each seed: lost responses, slow links, and
// suspended, killed and restarted instances. `node scripts/limitSoak.mjs --seeds 50`. A seed is broken if more units ran than the
// limit allows.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { createRandomFaults, runLimitSoak } = await importTest("limitSoak");

await runSeeds(12, async (options) => {
  const faults = createRandomFaults(options.seed);
  const { maxShare, admittedShare, statuses } = await runLimitSoak({ ...faults, ...options });
  const seen = JSON.stringify(Object.fromEntries(statuses));
  const outcome = `worst ${maxShare.toFixed(3)} given out ${admittedShare.toFixed(2)}`;
  return { isViolated: maxShare > 1, text: `${outcome} ${seen} ${JSON.stringify(faults)}` };
});
