/*
 * Guards against take-ups that are refused after all instances were killed, although the version that began the stream serves.
 */
import t from "tap";
import { leastShare } from "./originPlays.js";
import { checkRollOuts } from "./rejoinedPlays.js";
import { bothServe, describePlay, getGoOnShare, oneServes, rollingOver } from "./rollOutPlays.js";

for (const instances of [6, 24]) {
  for (const [name, choices] of Object.entries({ bothServe, rollingOver })) {
    t.test(`streams go on after all of ${instances} instances were killed: ${name}`, async (t) => {
      const fleets = await checkRollOuts(t, instances, choices, 2);
      const share = getGoOnShare(fleets);
      t.ok(share >= leastShare, `${share.toFixed(3)}: ${fleets.map(describePlay).join("\n")}`);
    });
  }
}

t.test("with one version all streams go on after all instances were killed", async (t) => {
  for (const { callers } of await checkRollOuts(t, 6, oneServes, 2)) {
    t.ok(callers.takeUpAttempts.made > 0);
    t.equal(callers.takeUpAttempts.succeeded, callers.takeUpAttempts.made);
  }
});
