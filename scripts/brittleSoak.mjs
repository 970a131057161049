// Runs the soak of brittle endpoints: real processes before endpoints that crash if they refuse more than they announced, while
// instances are killed and suspended. `node scripts/brittleSoak.mjs --seeds 50`. A seed is broken if endpoints crash more often than
// two times and a tenth of their number.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runBrittleSoak } = await importTest("brittleSoak");

await runSeeds(6, async (options) => {
  const { limit, load, crashes, toleratedCrashes, sent, served } = await runBrittleSoak(options);
  const text = `N = ${limit}, load ${load}: ${crashes} crashes, ${served} of ${sent} served`;
  return { isViolated: crashes > toleratedCrashes, text };
});
