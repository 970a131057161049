/*
 * Guards against take-ups that are refused although their version serves, in a fleet of 78 instances.
 */
import t from "tap";
import { checkTakeUps } from "./originPlays.js";

t.test("streams go on after half of 78 instances were killed", (t) => checkTakeUps(t, 78));
