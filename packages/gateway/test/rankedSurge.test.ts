/*
 * Guards against a surge of one workspace in which large requests of the least urgent rank crowd out small ones of the most urgent
 * rank: without an order inside the limit, all three ranks were admitted about half of their units, and 0.8 of the refused callers
 * that returned were refused again.
 */
import t from "tap";
import { guaranteedShare } from "@gladewall/policy";
import {
  baselineRankedSurge,
  runRankedSurge,
  type SurgeResult,
  type SurgeScenario,
  surgeMs,
} from "./rankedSurge.js";

const seeds = [1, 2, 3];
/** Seeds of the scenarios without a fault, enough for a mean. */
const meanSeeds = [1, 2, 3, 4, 5, 6];

/** Plays a scenario without and with the order, with the same random numbers. */
async function compare(change: Partial<SurgeScenario>): Promise<{
  readonly scenario: SurgeScenario;
  readonly before: SurgeResult;
  readonly after: SurgeResult;
  readonly summary: string;
}> {
  const scenario = { ...baselineRankedSurge, ...change };
  const before = await runRankedSurge({ ...scenario, mode: "off" });
  const after = await runRankedSurge({ ...scenario, mode: "on" });
  const format = (result: SurgeResult): string =>
    [
      ...result.ranks.map((_, index) => getAdmittedShare(result, index)),
      result.ranUnits / before.ranUnits,
      result.refusedAgainShare,
      result.maxShare,
    ]
      .map((value) => value.toFixed(3))
      .join(" ");
  return { scenario, before, after, summary: `seed ${scenario.seed}: ${format(before)}; ${format(after)}` };
}

function getAdmittedShare({ ranks }: SurgeResult, index: number): number {
  return ranks[index]!.admittedUnits / ranks[index]!.requestedUnits;
}

/** Whether every rank was admitted its quarter of its proportional share of the limit's rate. */
function hasGuaranteedShares({ ratePerSecond }: SurgeScenario, { ranks }: SurgeResult): boolean {
  const total = ranks.reduce((sum, { requestedUnits }) => sum + requestedUnits, 0);
  const rateUnits = (ratePerSecond * surgeMs) / 1_000;
  return ranks.every(
    ({ admittedUnits, requestedUnits }) =>
      admittedUnits >= guaranteedShare * Math.min(1, rateUnits / total) * requestedUnits,
  );
}

for (const [name, change] of [
  ["24 instances", {}],
  ["77 instances and a larger limit", { instances: 77, ratePerSecond: 900_000 }],
  ["a small limit", { ratePerSecond: 60_000 }],
  ["callers of which few return", { returnShare: 0.3 }],
  ["requests that all have the size of their rank", { sizeSpread: 0 }],
] as const) {
  const title = `in a surge, urgent requests are admitted nearly all, and the others their share: ${name}`;
  const urgent: number[] = [];
  for (const seed of meanSeeds) {
    t.test(`${title}, seed ${seed}`, async (t) => {
      const { scenario, before, after, summary } = await compare({ ...change, seed });
      urgent.push(getAdmittedShare(after, 0));
      t.ok(getAdmittedShare(after, 0) >= 0.93, summary);
      t.ok(hasGuaranteedShares(scenario, after), summary);
      t.ok(after.ranUnits >= 0.95 * before.ranUnits, summary);
      t.ok(after.maxShare <= 1, summary);
      t.ok(after.refusedAgainShare < before.refusedAgainShare, summary);
      t.ok(after.refusedBefore <= before.refusedBefore, summary);
    });
  }
  t.test(`${title}, on the mean`, async (t) => {
    t.equal(urgent.length, meanSeeds.length);
    const mean = urgent.reduce((sum, share) => sum + share, 0) / urgent.length;
    t.ok(mean >= 0.95, `mean of the most urgent rank: ${mean.toFixed(3)}`);
  });
}

t.test("an arbiter that is lost in the surge does not end the order, nor exceeds the limit", async (t) => {
  for (const seed of seeds) {
    const { scenario, before, after, summary } = await compare({ readerKills: [5_500, 7_000], seed });
    t.ok(getAdmittedShare(after, 0) >= getAdmittedShare(before, 0) + 0.1, summary);
    t.ok(hasGuaranteedShares(scenario, after), summary);
    t.ok(after.maxShare <= 1, summary);
  }
});

t.test("arbiters that all start in the surge, without knowledge, never exceed the limit", async (t) => {
  for (const seed of seeds) {
    const { before, after, summary } = await compare({ fleetKills: [6_000], seed });
    t.ok(after.maxShare <= 1, summary);
    t.ok(after.ranUnits >= 0.9 * before.ranUnits, summary);
    t.ok(getAdmittedShare(after, 0) >= getAdmittedShare(before, 0), summary);
  }
});

t.test(
  "a third of the instances without an arbiter neither exceeds the limit nor ends the order",
  async (t) => {
    for (const seed of seeds) {
      const { scenario, before, after, summary } = await compare({ cutShare: 1 / 3, seed });
      t.ok(getAdmittedShare(after, 0) >= getAdmittedShare(before, 0) + 0.1, summary);
      t.ok(hasGuaranteedShares(scenario, after), summary);
      t.ok(after.maxShare <= 1, summary);
    }
  },
);

t.test("instances of an earlier build, whose calls have no rank, are served beside the others", async (t) => {
  for (const seed of seeds) {
    const { before, after, summary } = await compare({ olderShare: 0.5, seed });
    t.ok(getAdmittedShare(after, 0) >= getAdmittedShare(before, 0), summary);
    t.ok(after.ranUnits >= 0.95 * before.ranUnits, summary);
    t.ok(after.maxShare <= 1, summary);
  }
});

t.test("calls without a rank alone are decided as without the order", async (t) => {
  const { before, after } = await compare({ olderShare: 1 });
  t.same(after, before);
});

t.test("the mode `observe` counts what the order would refuse, and refuses nothing for it", async (t) => {
  const { before } = await compare({});
  const { orderRefusals, ...observed } = await runRankedSurge({ ...baselineRankedSurge, mode: "observe" });
  t.same({ ...observed, orderRefusals: 0 }, before);
  t.ok(orderRefusals > 50, String(orderRefusals));
});

t.test("a workspace that stays within its limit is refused nothing by the order", async (t) => {
  for (const seed of seeds) {
    const { after, summary } = await compare({ baseLoadShare: 0.7, surgeLoadShare: 0.8, seed });
    t.equal(after.orderRefusals, 0, summary);
  }
});
