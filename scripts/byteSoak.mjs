// Runs the soak of drawn bytes: endpoints spoil a part of their responses by drawn heads, framings and ends, and by bytes without end.
// `node scripts/byteSoak.mjs --seeds 50 [--every 35] [--spoiling 2] [--kind endlessSmallChunks] [--trouble one]`; without a kind, each is drawn.
// Troubles: none, one, half, all. A seed is broken if anything but the spoilt requests fails.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runByteSoak } = await importTest("byteSoak");

const usualEvery = 20;

await runSeeds(
  4,
  async ({ every, spoiling, ...options }) => {
    // Half of the seeds have two endpoints that spoil each response, the others six that spoil one of some.
    const isEach = every === undefined && options.seed % 2 === 0;
    const spoiltEvery = isEach ? 1 : Number(every ?? usualEvery);
    const spoilingEndpoints = Number(spoiling ?? (isEach ? 2 : 6));
    const { violations, requests, spoilt, sound, served, peakMegabytes, p99Ms } = await runByteSoak({
      ...options,
      spoiltEvery,
      spoilingEndpoints,
    });
    const text = `every ${spoiltEvery}: ${requests} requests, ${spoilt} spoilt, ${served} of ${sound} sound ones served, ${Math.round(peakMegabytes)} MB, p99 ${Math.round(p99Ms)} ms`;
    return { isViolated: violations.length > 0, text: [text, ...violations].join("; ") };
  },
  {
    every: { type: "string" },
    spoiling: { type: "string" },
    kind: { type: "string" },
    trouble: { type: "string" },
  },
);
