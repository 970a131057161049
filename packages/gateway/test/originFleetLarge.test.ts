/*
 * Guards against streams that go on at another software version in a fleet of 78 instances.
 */
import t from "tap";
import { checkVersions } from "./originPlays.js";

t.test("streams of 78 instances are of one version, for drawn troubles", (t) => checkVersions(t, 78));
