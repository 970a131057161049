/*
 * Guards against parts of prompts that crash endpoint after endpoint in fleets of 24 and 83 instances, whose instances learn of crashes
 * from a few of them, and against sound requests that are refused because of them.
 */
import t from "tap";
import { playParts } from "./partPlays.js";

/** Requests with a part that may reach endpoints later than 3 s after the fifth crash under it. */
const toleratedArrivals = 3;
const sizes = [
  { instances: 24, endpoints: 12, seeds: 4 },
  { instances: 83, endpoints: 24, seeds: 2 },
];

for (const { seeds, ...size } of sizes) {
  t.test(`${size.instances} instances, drawn troubles`, async (t) => {
    for (let seed = 1; seed <= seeds; seed++) {
      const outcome = await playParts({ ...size, seed });
      t.ok(outcome.lateArrivals <= toleratedArrivals, JSON.stringify(outcome));
      t.equal(outcome.convicted, 0, JSON.stringify(outcome));
    }
  });
}
