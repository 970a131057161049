/*
 * Guards against streams that go on at another software version in a fleet of 78 instances, and against take-ups that are refused there
 * although their version serves.
 */
import t from "tap";
import { checkTakeUps, checkVersions } from "./originPlays.js";

for (const instances of [78]) {
  t.test(`streams of ${instances} instances are of one version, for drawn troubles`, (t) =>
    checkVersions(t, instances),
  );
}

for (const instances of [78]) {
  t.test(`streams go on after half of ${instances} instances were killed`, (t) => checkTakeUps(t, instances));
}
