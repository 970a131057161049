// Runs the soak of brittle endpoints: real processes before endpoints that crash if they refuse more than they announced, while
// instances are killed and suspended. `node scripts/brittleSoak.mjs --seeds 50 [--engine] [--endpoints 6] [--limit N] [--load 0.9]
// [--trouble none|one|half|all] [--refusals]`; `--limit Infinity` is the control, whose endpoints are not brittle. A seed is broken
// if endpoints crash more often than two times and a tenth of their number.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runBrittleSoak } = await importTest("brittleSoak");
const extraOptions = {
  engine: { type: "boolean", default: false },
  endpoints: { type: "string", default: "6" },
  limit: { type: "string" },
  load: { type: "string" },
  trouble: { type: "string" },
  refusals: { type: "boolean", default: false },
};
const readNumber = (text) => (text === undefined ? undefined : Number(text));

await runSeeds(
  6,
  async ({ engine, endpoints, limit, load, trouble, refusals, ...options }) => {
    const result = await runBrittleSoak({
      ...options,
      isEngine: engine,
      endpoints: Number(endpoints),
      limit: readNumber(limit),
      load: readNumber(load),
      trouble,
      ...(refusals && { onRefused: (text) => console.log(text) }),
    });
    const { crashes, toleratedCrashes, sent, served, lateRefusals } = result;
    const place = `${engine ? "engine" : "web"} ${options.instances}/${endpoints}`;
    const played = `N = ${result.limit}, load ${result.load}, trouble ${result.trouble}`;
    const text = `${place} ${played}: ${crashes} crashes, ${result.refusals} refusals, ${served} of ${sent} served, ${lateRefusals} late`;
    return { isViolated: crashes > toleratedCrashes, text };
  },
  extraOptions,
);
