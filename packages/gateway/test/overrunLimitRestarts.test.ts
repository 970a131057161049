/*
 * Guards against instances that take what they have not heard since their start for what there is not. An instance that started
 * without a link to the others took them for ended and granted the whole limit beside them: with 900,000 units a second and eight
 * instances, 1.17 of what the limit allows ran in a window.
 */
import t from "tap";
import { runLimitScenario } from "./limitedFleet.js";
import { baselineSurge } from "./limitScenarios.js";

const linkMs = 200;
const cutMs = 4_000;
/** An instance watches its first listing of the members for changes after 0.4 s. */
const listMs = 450;

t.test("instances that are cut off after their restart leave the others their part of a limit", async (t) => {
  for (const instances of [8, 24]) {
    for (const ratePerSecond of [36_000, 200_000, 900_000]) {
      for (const readerKills of [[9_000], [9_000, 9_900, 10_800]]) {
        const surge = { ...baselineSurge, instances, ratePerSecond, delayMs: 1 };
        const { maxShare, admittedShare } = await runLimitScenario({
          ...surge,
          readerKills,
          unlinkedMs: cutMs,
        });
        const summary = `${instances} instances, ${ratePerSecond}/s, ${readerKills.length} restarted: ${maxShare.toFixed(3)}`;
        t.ok(maxShare <= 1, summary);
        t.ok(admittedShare >= 0.9, `${summary}, admitted share ${admittedShare.toFixed(2)}`);
      }
    }
  }
});

t.test("a limit holds while the links of a fleet that was killed are established", async (t) => {
  for (const ratePerSecond of [36_000, 900_000]) {
    for (const fleetKills of [[9_000], [9_000, 12_500], [9_000, 10_500, 12_000, 13_500]]) {
      const scenario = { ...baselineSurge, instances: 8, ratePerSecond, fleetKills, unlinkedMs: linkMs };
      const { maxShare, admittedShare } = await runLimitScenario(scenario);
      t.ok(maxShare <= 1, `${ratePerSecond}/s: ${maxShare.toFixed(3)}`);
      t.ok(admittedShare >= 0.75, `${ratePerSecond}/s: admitted share ${admittedShare.toFixed(2)}`);
    }
  }
});

// If the leases of all member records have run out, instances that start together list nobody until the others have written theirs.
t.test("a limit holds while a fleet that was killed lists its members again", async (t) => {
  for (const { ratePerSecond, surgeLoadShare } of [
    { ratePerSecond: 36_000, surgeLoadShare: 16 },
    { ratePerSecond: 900_000, surgeLoadShare: 8 },
  ]) {
    const surge = { ...baselineSurge, instances: 8, ratePerSecond, surgeLoadShare, sizes: [2_000] };
    const restart = { fleetKills: [9_000], unlinkedMs: listMs, unlistedMs: listMs };
    const { maxShare } = await runLimitScenario({ ...surge, ...restart });
    t.ok(maxShare <= 1, `${ratePerSecond}/s, surge ${surgeLoadShare}: ${maxShare.toFixed(3)}`);
  }
});
