/**
 * Drawn plays of streams in several software versions, with their checks.
 * @module
 */
import type { Test } from "tap";
import type { OriginFleet } from "./originFleet.js";
import { playTroubles } from "./originTroubles.js";

/** Share of the take-ups that go on, of the share of new streams that begin. */
export const leastShare = 0.95;

export function describe({ callers: { begun, served, takenUp, wentOn } }: OriginFleet): string {
  return `${begun} streams, ${served} served, ${wentOn} of ${takenUp} taken up went on`;
}

/** Checks that no stream has events of two versions, for drawn troubles. */
export async function checkVersions(t: Test, instances: number): Promise<void> {
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
    t.ok(fleet.callers.takenUp > 0);
  }
}

/** Checks that streams go on after half of the instances were killed. */
export async function checkTakeUps(t: Test, instances: number): Promise<void> {
  let takenUp = 0;
  let wentOn = 0;
  let begun = 0;
  let served = 0;
  for (let seed = 1; seed <= 8; seed++) {
    const fleet = await playTroubles({ instances, endpoints: 10, seed, versions: ["v1", "v2"] }, 12_000, {
      killedShares: [0.5],
    });
    t.same(fleet.violations, []);
    takenUp += fleet.callers.takenUp;
    wentOn += fleet.callers.wentOn;
    begun += fleet.callers.begun;
    served += fleet.callers.served;
  }
  const share = wentOn / takenUp / (served / begun);
  t.ok(share >= leastShare, `${share.toFixed(3)}: ${wentOn} of ${takenUp}, new ones ${served} of ${begun}`);
}
