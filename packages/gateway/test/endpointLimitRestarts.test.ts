/*
 * Guards against an endpoint that gets more requests than the limit it advertises because the instances that knew the limit were
 * killed: limits are kept in memory only, so that a fleet that has just started learns them from its first responses.
 */
import t from "tap";
import { runPermitScenario } from "./permitFleet.js";
import type { PermitScenario } from "./permitScenario.js";

const endsAt = 24_000;
const sizes = [
  { perSecond: 1, instances: 9 },
  { perSecond: 5, instances: 9 },
  { perSecond: 20, instances: 32 },
];

async function checkLimit(
  { perSecond, instances }: (typeof sizes)[number],
  load: number,
  fleetKills: number[],
) {
  const scenario: PermitScenario = {
    seed: 1,
    instances,
    advertised: [{ from: 0, perSecond }],
    offeredPerSecond: load * perSecond,
    endsAt,
    fleetKills,
  };
  const { maxShare } = await runPermitScenario(scenario);
  const text = `${perSecond} a second, ${instances} instances, load ${load}: ${maxShare.toFixed(2)}`;
  return { isWithin: maxShare <= 1, text };
}

t.test("a fleet that was killed sends an endpoint no more requests than it accepts", async (t) => {
  for (const size of sizes) {
    for (const [load, fleetKills] of [
      [8, [9_000, 12_000]],
      [40, [9_000]],
    ] as const) {
      const { isWithin, text } = await checkLimit(size, load, [...fleetKills]);
      t.ok(isWithin, text);
    }
  }
});

// 32 instances, a limit of 20 a second: with each restart those requests arrive that are sent before the first response.
t.test(
  "a fleet that was killed twice within one window of a limit keeps it under forty times the load",
  async (t) => {
    for (const size of sizes) {
      const { isWithin, text } = await checkLimit(size, 40, [9_000, 12_000]);
      t.ok(isWithin, text);
    }
  },
);
