// Plays requests of all kinds before real processes that are stopped, killed and cut off, and endpoints that answer as each
// seed draws. `node scripts/answerSoak.mjs --seeds 50`; broken is where one ran too often, was refused although it ran, got what is
// not its own, or was cut by a planned stop.
import { importTest, playSeeds } from "./playSeeds.mjs";

const { playAnswers } = await importTest("answerSoak");

await playSeeds(6, async (play) => {
  const { broken, requests, quiet, repeats, stops, troubles, statuses } = await playAnswers(play);
  const seen = JSON.stringify(Object.fromEntries(statuses));
  const text = `${requests} requests, ${quiet} of them quiet, ${repeats} repeats, ${stops} stops, ${troubles} troubles ${seen}`;
  return { isBroken: broken.length > 0, text: [text, ...broken].join("; ") };
});
