// Runs the soak of endpoint notices: endpoints announce that they leave or that they accept no requests for a time, with random
// events for each seed. `node scripts/wordSoak.mjs --seeds 50`. A seed is broken if requests reached an endpoint that had
// announced that it leaves, or that it accepts none for a time.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runNoticeSoak } = await importTest("noticeSoak");

await runSeeds(6, async (options) => {
  const { lateRequests, heldOffRequests, notices, holdOffs, statuses } = await runNoticeSoak(options);
  const seen = JSON.stringify(Object.fromEntries(statuses));
  const text = `late ${lateRequests} of ${notices} words, pressed ${heldOffRequests} of ${holdOffs} times ${seen}`;
  return { isViolated: lateRequests + heldOffRequests > 0, text };
});
