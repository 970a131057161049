// Runs the soak of paths: real processes lose their paths to all endpoints, in all ways to fail and overlapping, while others are
// stopped, killed and reloaded. `node scripts/pathSoak.mjs --seeds 50`. A seed is broken if first tries at instances that are cut off
// are served far less often than elsewhere, a request ran twice or was refused although it ran, or an endpoint was accused.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runPathSoak } = await importTest("pathSoak");

await runSeeds(6, async (options) => {
  const { violations, cutOff, others, quiet, events } = await runPathSoak(options);
  const served = [cutOff, others, quiet].map((count) => `${count.served} of ${count.sent}`);
  const [there, elsewhere, otherwise] = served;
  const seen = JSON.stringify(Object.fromEntries(events));
  const text = `${there} served where cut off, ${elsewhere} elsewhere, ${otherwise} without a cut ${seen}`;
  return { isViolated: violations.length > 0, text: [text, ...violations].join("; ") };
});
