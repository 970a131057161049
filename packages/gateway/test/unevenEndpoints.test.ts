/*
 * Guards against placement that sends requests to endpoints that are slow or full at the moment, although they report it. The loads
 * are those of docs/design/hard-load.md: some 15 % of the endpoints take 2.5 times as long, and which ones changes several times a
 * second. Each load is played with the former placement (`mode = off`) and with the present one, with the same seeds.
 */
import t from "tap";
import { UnevenLoadReplay, type UnevenLoad, type UnevenLoadResult } from "./unevenLoad.js";

const seeds = [1, 2, 3, 4];
const first = { slots: 6, queue: 24, workMs: 57, objectiveMs: 306, durationMs: 15_000 };
const second = { slots: 6, queue: 24, workMs: 21, objectiveMs: 148, durationMs: 15_000 };

type Pattern = Omit<UnevenLoad, "seed" | "usesReportedLoad">;

function play(pattern: Pattern, usesReportedLoad: boolean): readonly UnevenLoadResult[] {
  return seeds.map((seed) => UnevenLoadReplay.create({ ...pattern, seed, usesReportedLoad }).run());
}

/** Share of the requests of all plays that missed the objective. */
function getMissedShare(results: readonly UnevenLoadResult[]): number {
  return 1 - results.reduce((sum, { inTime }) => sum + inTime, 0) / results.length;
}

/** Loads at which the former placement misses objectives although the endpoints have room. */
const uneven: Readonly<Record<string, Pattern>> = {
  "usual load, 86 instances": { ...first, instances: 86, endpoints: 4, perSecond: 162 },
  "an endpoint lost, 86 instances": { ...first, instances: 86, endpoints: 3, perSecond: 162 },
  "burst of 1.7, 86 instances": { ...first, instances: 86, endpoints: 4, perSecond: 275 },
  "burst of 1.7, 12 instances": { ...first, instances: 12, endpoints: 4, perSecond: 275 },
  "more endpoints": { ...first, instances: 12, endpoints: 12, perSecond: 800 },
};

for (const [name, pattern] of Object.entries(uneven)) {
  t.test(`at most half as many requests miss their objective: ${name}`, async (t) => {
    const former = play(pattern, false);
    const present = play(pattern, true);
    for (const [index, { inTime, meanMs }] of present.entries()) {
      t.ok(inTime >= former[index]!.inTime, `${inTime.toFixed(4)} instead of ${former[index]!.inTime}`);
      t.ok(meanMs < former[index]!.meanMs, "requests are served sooner in the mean");
    }
    t.ok(
      getMissedShare(present) <= getMissedShare(former) / 2,
      `${getMissedShare(present).toFixed(4)} instead of ${getMissedShare(former).toFixed(4)}`,
    );
  });
}

t.test("a service with much room is served no worse", async (t) => {
  const pattern = { ...second, instances: 73, endpoints: 3, perSecond: 96 };
  t.ok(getMissedShare(play(pattern, true)) <= getMissedShare(play(pattern, false)));
});

t.test("endpoints whose pace does not change are served no worse", async (t) => {
  const pattern = { ...first, instances: 86, endpoints: 4, perSecond: 275, slowShare: 0 };
  t.ok(getMissedShare(play(pattern, true)) <= getMissedShare(play(pattern, false)));
});

/** What endpoint 0 reports instead of its true load, or what all report. */
const falseReports: Readonly<Record<string, UnevenLoad["falsify"]>> = {
  "always idle": (load, endpoint) =>
    endpoint === 0 ? { ...load, running: 0, waiting: 0, pacePercent: 100 } : load,
  "always idle and fast": (load, endpoint) =>
    endpoint === 0 ? { ...load, running: 0, waiting: 0, pacePercent: 10 } : load,
  "always full and slow": (load, endpoint) =>
    endpoint === 0 ? { ...load, running: 6, waiting: 24, pacePercent: 10_000 } : load,
  "impossible values": (load, endpoint) =>
    endpoint === 0 ? { running: -5, waiting: NaN, slots: Infinity, pacePercent: 1e9 } : load,
  "one endpoint's reports stop": (load, endpoint, time) =>
    endpoint === 0 && time > 5_000 ? undefined : load,
  "all reports stop": (load, _, time) => (time > 5_000 ? undefined : load),
};

for (const [name, falsify] of Object.entries(falseReports)) {
  t.test(`false or absent reports serve callers no worse than none did: ${name}`, async (t) => {
    const pattern = { ...first, instances: 12, endpoints: 4, perSecond: 162 };
    const former = play(pattern, false);
    const present = play({ ...pattern, ...(falsify && { falsify }) }, true);
    t.ok(
      getMissedShare(present) <= getMissedShare(former),
      `${getMissedShare(present).toFixed(4)} instead of ${getMissedShare(former).toFixed(4)}`,
    );
    for (const { served, requests } of present)
      t.ok(served[0]! < requests / 2, `the endpoint got ${served[0]} of ${requests}`);
  });
}
