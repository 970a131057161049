/*
 * Guards against engines that fall over because of what they refuse: no instance counted the places that others took at an engine, so
 * that each of many saw room for one more request, and the engines of a service that bears no refusal fell one after another.
 */
import t from "tap";
import { playBrittle } from "./brittleFleet.js";

t.test("engines that fall over when they refuse too much are not overrun", async (t) => {
  for (const [load, minServedShare] of [
    [0.9, 0.8],
    [1.5, 0.5],
  ] as const) {
    await t.test(`at ${load} of the capacity`, async (t) => {
      const { crashes, sent, served } = await playBrittle(t, { limit: 0, load, isEngine: true });
      t.equal(crashes, 0, "nothing but requests happens to the fleet");
      t.ok(served >= sent * minServedShare, `${served} of ${sent} served`);
    });
  }
});
