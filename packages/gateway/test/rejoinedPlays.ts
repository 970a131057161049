/**
 * Drawn plays of roll-outs around the end of all instances, with their checks.
 * @module
 */
import type { Test } from "tap";
import type { OriginFleet } from "./originFleet.js";
import { describePlay, playRollOuts, type RollOutChoices } from "./rollOutPlays.js";

const rounds = 3;
const streamIntervalMs = 16;

/** Plays seeds from 1 on, and checks that no stream has events of two versions. */
export async function checkRollOuts(
  t: Test,
  instances: number,
  choices: RollOutChoices,
  seeds: number,
): Promise<readonly OriginFleet[]> {
  const fleets: OriginFleet[] = [];
  for (let seed = 1; seed <= seeds; seed++) {
    const fleet = await playRollOuts({ instances, seed, rounds, choices, streamIntervalMs });
    t.same(fleet.violations, [], `seed ${seed}: ${describePlay(fleet)}`);
    fleets.push(fleet);
  }
  return fleets;
}
