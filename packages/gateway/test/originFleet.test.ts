/*
 * Guards against streams that go on at another software version, whatever befalls a fleet of 6 to 78 instances, and against take-ups
 * that are refused although their version serves.
 */
import t from "tap";
import { type OriginFleet, playTroubles } from "./originFleet.js";

/** Share of the take-ups that go on, of the share of new streams that begin. */
const leastShare = 0.95;

function describe({ begun, served, takenUp, wentOn }: OriginFleet): string {
  return `${begun} streams, ${served} served, ${wentOn} of ${takenUp} taken up went on`;
}

for (const instances of [6, 10, 24, 78]) {
  t.test(`streams of ${instances} instances are of one version, for drawn troubles`, async (t) => {
    for (let seed = 1; seed <= 6; seed++) {
      const fleet = await playTroubles(
        {
          instances,
          endpoints: 8,
          seed,
          versions: seed % 3 === 0 ? ["v1", "v2", undefined] : ["v1", "v2"],
          delayMs: seed % 2 === 0 ? 4 : 30,
          recordDelayMs: 300,
        },
        12_000,
        { killedShares: [0.1, 0.3, 0.5, 1], hasPauses: true, hasCuts: true },
      );
      t.same(fleet.violations, [], `seed ${seed}: ${describe(fleet)}`);
      t.ok(fleet.takenUp > 0);
    }
  });
}

for (const instances of [6, 8, 24, 78]) {
  t.test(`streams go on after half of ${instances} instances were killed`, async (t) => {
    let takenUp = 0;
    let wentOn = 0;
    let begun = 0;
    let served = 0;
    for (let seed = 1; seed <= 8; seed++) {
      const fleet = await playTroubles({ instances, endpoints: 10, seed, versions: ["v1", "v2"] }, 12_000, {
        killedShares: [0.5],
      });
      t.same(fleet.violations, []);
      takenUp += fleet.takenUp;
      wentOn += fleet.wentOn;
      begun += fleet.begun;
      served += fleet.served;
    }
    const share = wentOn / takenUp / (served / begun);
    t.ok(share >= leastShare, `${share.toFixed(3)}: ${wentOn} of ${takenUp}, new ones ${served} of ${begun}`);
  });
}

t.test("with one version nothing is told, called or refused", async (t) => {
  const fleet = await playTroubles({ instances: 8, endpoints: 8, seed: 5, versions: ["v1"] }, 12_000, {
    killedShares: [0.5, 1],
  });
  t.equal(fleet.messages, 0);
  t.ok(fleet.takenUp > 0);
  t.ok(fleet.wentOn / fleet.takenUp >= (leastShare * fleet.served) / fleet.begun, describe(fleet));
});
