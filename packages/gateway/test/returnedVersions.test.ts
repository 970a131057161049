/*
 * Guards against take-ups that are refused although their version serves again: it was the only one when the streams began, so that nobody
 * had kept where they did, and all instances have ended since.
 */
import t from "tap";
import { OriginFleet } from "./originFleet.js";
import { leastShare } from "./originPlays.js";

const endpointsPerVersion = 4;
const streams = 40;
const settledMs = 2_500;
const streamingMs = 400;
const servingMs = 3_000;

/** Replaces all endpoints while all instances are down, and lets the new ones serve for a while. */
async function replaceWhileDown(fleet: OriginFleet, from: string, to: string): Promise<void> {
  for (const index of fleet.members.keys()) fleet.kill(index, 300 + fleet.random() * 200);
  fleet.endpoints.leave(from, 1);
  startEndpoints(fleet, to);
  await fleet.clock.advance(servingMs);
}

function startEndpoints(fleet: OriginFleet, version: string): void {
  for (let index = 0; index < endpointsPerVersion; index++) fleet.endpoints.start(version);
}

for (const instances of [3, 6, 24]) {
  t.test(`streams go on at a version that serves again, with ${instances} instances`, async (t) => {
    for (let seed = 1; seed <= 3; seed++) {
      const fleet = new OriginFleet({
        instances,
        endpoints: 0,
        seed,
        versions: ["v1", "v2"],
        recordDelayMs: 100,
        itemDelayMs: 300,
        patience: {
          maxReturns: Infinity,
          maxRefusals: Infinity,
          returnMs: 40,
          lifetimeMs: 9_000,
          lateShare: 0,
          lateMs: 0,
        },
      });
      startEndpoints(fleet, "v1");
      await fleet.clock.advance(settledMs);
      const { callers } = fleet;
      for (let index = 0; index < streams; index++) callers.begin();
      await fleet.clock.advance(streamingMs);
      await replaceWhileDown(fleet, "v1", "v2");
      t.equal(callers.takeUpAttempts.succeeded, 0, "their version has gone");
      await replaceWhileDown(fleet, "v2", "v1");
      const { made, succeeded } = callers.takeUpAttempts;
      t.same(callers.violations, []);
      t.ok(made > 0);
      t.ok(succeeded >= leastShare * made, `seed ${seed}: ${succeeded} of ${made} take-ups went on`);
    }
  });
}
