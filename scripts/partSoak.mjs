// Runs the soak of parts of prompts that crash engines: real processes, of which some are killed and suspended. `node scripts/partSoak.mjs
// --seeds 50 [--engines 6] [--place 0|1|2] [--deadly N] [--bad RATE] [--sound RATE] [--requests safe|unsafe|resumable|stream]
// [--trouble none|one|half|all] [--waves] [--from-ms N] [--own RATE] [--concentrated] [--events]`; `--deadly 0` is the control. What is
// left out is drawn by the seed. A seed is broken if more than three deadly requests of a part reach engines late.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runPartSoak } = await importTest("partSoak");
const text = { type: "string" };
const flag = { type: "boolean" };
const extraOptions = {
  engines: text,
  place: text,
  deadly: text,
  bad: text,
  sound: text,
  requests: text,
  trouble: text,
  own: text,
  waves: flag,
  concentrated: flag,
  events: flag,
  "from-ms": text,
};
const maxLateArrivals = 3;
const readNumber = (value) => (value === undefined ? undefined : Number(value));
const formatShare = (part, whole) => (whole === 0 ? "-" : (part / whole).toFixed(3));

await runSeeds(
  6,
  async ({
    engines,
    place,
    deadly,
    bad,
    sound,
    requests,
    trouble,
    own,
    waves,
    concentrated,
    events,
    ...options
  }) => {
    const result = await runPartSoak({
      ...options,
      engines: readNumber(engines),
      place: readNumber(place),
      deadlyParts: readNumber(deadly),
      badPerSecond: readNumber(bad),
      soundPerSecond: readNumber(sound),
      requests,
      trouble,
      ownCrashesPerSecond: readNumber(own),
      hasWaves: waves,
      isConcentrated: concentrated,
      sendsEventsBefore: events,
      deadlyFromMs: readNumber(options["from-ms"]),
    });
    const before = formatShare(result.servedBefore, result.sentBefore);
    const after = formatShare(result.served, result.sent);
    const line =
      `${result.play}: ends ${JSON.stringify(result.crashes)}, by themselves ${result.ownCrashes}, late ${result.lateArrivals}, ` +
      `sound ${before} before, ${after} of ${result.sent} from the second on ${JSON.stringify(result.failures)}, slow ${result.slowRefusals}`;
    return { isViolated: result.lateArrivals > maxLateArrivals, text: line };
  },
  extraOptions,
);
