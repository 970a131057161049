/*
 * Guards against take-ups that are refused although their version serves, in fleets of 6 and 8 instances.
 */
import t from "tap";
import { checkTakeUps, describe, leastShare } from "./originPlays.js";
import { playTroubles } from "./originTroubles.js";

for (const instances of [6, 8]) {
  t.test(`streams go on after half of ${instances} instances were killed`, (t) => checkTakeUps(t, instances));
}

t.test("with one version nothing is told, called or refused", async (t) => {
  const fleet = await playTroubles({ instances: 8, endpoints: 8, seed: 5, versions: ["v1"] }, 12_000, {
    killedShares: [0.5, 1],
  });
  t.equal(fleet.messages, 0);
  t.ok(fleet.callers.takenUp > 0);
  t.ok(
    fleet.callers.wentOn / fleet.callers.takenUp >= (leastShare * fleet.callers.served) / fleet.callers.begun,
    describe(fleet),
  );
});
