/*
 * Guards against streams that go on at another software version, whatever befalls a fleet of 6 to 24 instances.
 */
import t from "tap";
import { checkVersions } from "./originPlays.js";

for (const instances of [6, 10, 24]) {
  t.test(`streams of ${instances} instances are of one version, for drawn troubles`, (t) =>
    checkVersions(t, instances),
  );
}
