// Runs the soak of the retry budget: real processes before endpoints that refuse most requests in waves, while instances are killed,
// stopped and suspended in series. `node scripts/retrySoak.mjs --seeds 50 --instances 20`. A seed is broken if endpoints receive more
// retries in some window than the budget allows.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runRetrySoak } = await importTest("retrySoak");

await runSeeds(9, async (options) => {
  const { retries, allowed, retriesInAll, sent, served, isExceeded } = await runRetrySoak(options);
  const share = (retries / allowed).toFixed(2);
  const text = `${retries} of ${allowed.toFixed(0)} (${share}), ${retriesInAll} in all; ${served} of ${sent} served`;
  return { isViolated: isExceeded, text };
});
