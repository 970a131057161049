/*
 * Guards against a pace that sends prompts the wrong way: an engine's pace is known only from this instance's last response and soon
 * out of date. The loads are those of docs/design/hard-load.md, with long prompts of 71 to 225 ms each; both placements are played
 * with the same seeds. Most of an engine's slowness already shows as prompts that wait there, so the gain is smaller than that of
 * services without an engine.
 */
import t from "tap";
import { type UnevenPrompts, UnevenPromptsReplay, type UnevenPromptsResult } from "./unevenEngines.js";

const seeds = [1, 2, 3, 4];
/** Smallest difference between shares in time that means anything with so few plays. */
const tolerance = 0.001;

type Pattern = Omit<UnevenPrompts, "seed" | "usesReportedLoad">;

function play(pattern: Pattern, usesReportedLoad: boolean): UnevenPromptsResult {
  const results = seeds.map((seed) =>
    UnevenPromptsReplay.create({ ...pattern, seed, usesReportedLoad }).run(),
  );
  const getMean = (read: (result: UnevenPromptsResult) => number): number =>
    results.reduce((sum, result) => sum + read(result), 0) / results.length;
  return { inTime: getMean(({ inTime }) => inTime), meanFirstMs: getMean(({ meanFirstMs }) => meanFirstMs) };
}

const patterns: Readonly<Record<string, Pattern>> = {
  "98 engines, 60 instances": { instances: 60, endpoints: 98, perSecond: 227 },
  "98 engines, 8 instances": { instances: 8, endpoints: 98, perSecond: 227 },
  "12 engines, 12 instances": { instances: 12, endpoints: 12, perSecond: 45 },
  "12 engines, 3 instances": { instances: 3, endpoints: 12, perSecond: 45 },
};

for (const [name, pattern] of Object.entries(patterns)) {
  t.test(`with the reported pace, first events come sooner, and no fewer in time: ${name}`, async (t) => {
    const former = play(pattern, false);
    const present = play(pattern, true);
    t.ok(
      present.inTime >= former.inTime - tolerance,
      `${present.inTime.toFixed(4)} instead of ${former.inTime.toFixed(4)}`,
    );
    t.ok(
      present.meanFirstMs < former.meanFirstMs,
      `${present.meanFirstMs.toFixed(1)} ms instead of ${former.meanFirstMs.toFixed(1)} ms`,
    );
  });
}

for (const pacePercent of [10, 10_000]) {
  t.test(`an engine that always reports a pace of ${pacePercent} % does no harm`, async (t) => {
    const pattern = { instances: 12, endpoints: 12, perSecond: 45 };
    const former = play(pattern, false);
    const falsify: UnevenPrompts["falsify"] = (load, endpoint) =>
      endpoint === 0 ? { ...load, pacePercent } : load;
    const present = play({ ...pattern, falsify }, true);
    t.ok(
      present.inTime >= former.inTime - tolerance,
      `${present.inTime.toFixed(4)} instead of ${former.inTime.toFixed(4)}`,
    );
  });
}
