// Plays a store that comes back from copies before real processes, each seed with its own events.
// `node scripts/storeSoak.mjs --seeds 50`; broken is where a removed key ran, a new one was refused, a version fell, an endpoint
// that left was used, or duties were done twice. Every fourth seed has a store that tells no era.
import { importTest, playSeeds } from "./playSeeds.mjs";

const { playStore } = await importTest("storeSoak");

const untoldEvery = 4;

await playSeeds(6, async (play) => {
  const tellsEra = play.seed % untoldEvery !== 0;
  const { broken, returns, versions, statuses } = await playStore({ ...play, tellsEra });
  const seen = JSON.stringify(Object.fromEntries(statuses));
  const text = `${returns} returns, ${versions} versions ${seen} ${broken.join("; ")}`;
  return { isBroken: broken.length > 0, text };
});
