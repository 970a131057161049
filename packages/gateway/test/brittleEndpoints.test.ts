/*
 * Guards against endpoints that fall over because of what they refuse: while a service announced that more than N refusals a second
 * bring one of its endpoints down, what one could not take fell on the others, and the whole service was lost at nine tenths of its
 * capacity.
 */
import t from "tap";
import { playBrittle, toleratedCrashes } from "./brittleFleet.js";

t.test("endpoints that fall over when they refuse too much are not overrun", async (t) => {
  for (const [load, minServedShare] of [
    [0.9, 0.8],
    [1.5, 0.5],
  ] as const) {
    await t.test(`at ${load} of the capacity`, async (t) => {
      const { crashes, sent, served } = await playBrittle(t, { limit: 1, load, isEngine: false });
      t.ok(crashes <= toleratedCrashes, `${crashes} crashes`);
      t.ok(served >= sent * minServedShare, `${served} of ${sent} served`);
    });
  }
});
