/*
 * Guards against streams that go on at another software version after versions changed while all instances were down, or around other ends
 * of the fleet.
 */
import t from "tap";
import { checkRollOuts } from "./rejoinedPlays.js";
import { everyRollOut } from "./rollOutPlays.js";

for (const [instances, seeds] of [
  [6, 5],
  [8, 3],
  [24, 3],
] as const) {
  t.test(`streams of ${instances} instances are of one version, whatever versions and instances do`, (t) =>
    checkRollOuts(t, instances, everyRollOut, seeds),
  );
}
