// Plays endpoints that leave, shed and say so before real processes, each seed with its own events.
// `node scripts/wordSoak.mjs --seeds 50`; broken is where requests reached an endpoint that had said that it leaves, or that it
// wants nothing.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runNoticeSoak } = await importTest("noticeSoak");

await runSeeds(6, async (options) => {
  const { lateRequests, heldOffRequests, notices, holdOffs, statuses } = await runNoticeSoak(options);
  const seen = JSON.stringify(Object.fromEntries(statuses));
  const text = `late ${lateRequests} of ${notices} words, pressed ${heldOffRequests} of ${holdOffs} times ${seen}`;
  return { isViolated: lateRequests + heldOffRequests > 0, text };
});
