// Plays endpoints that leave, shed and say so before real processes, each seed with its own events.
// `node scripts/wordSoak.mjs --seeds 50`; broken is where requests reached an endpoint that had said that it leaves, or that it
// wants nothing.
import { importTest, playSeeds } from "./playSeeds.mjs";

const { playWords } = await importTest("wordSoak");

await playSeeds(6, async (play) => {
  const { late, pressed, words, times, statuses } = await playWords(play);
  const seen = JSON.stringify(Object.fromEntries(statuses));
  const text = `late ${late} of ${words} words, pressed ${pressed} of ${times} times ${seen}`;
  return { isBroken: late + pressed > 0, text };
});
