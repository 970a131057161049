/*
 * Guards against take-ups that are refused because the archive was not read in time: a store that replies late knows where their streams
 * began as well as one that replies at once.
 */
import t from "tap";
import type { Patience } from "./originCallers.js";
import { OriginFleet } from "./originFleet.js";
import { leastShare } from "./originPlays.js";

const versions = ["v1", "v2"];
const endpointsPerVersion = 4;
const streams = 60;
const settledMs = 4_000;
const streamingMs = 400;
const takeUpMs = 6_000;
const usualStoreDelayMs = 12;
/** A call takes half of it on average. */
const storeDelayMs = 900;
/** Callers that give up once they are refused. */
const patience: Patience = {
  maxReturns: Infinity,
  maxRefusals: 1,
  returnMs: 40,
  lifetimeMs: 9_000,
  lateShare: 0,
  lateMs: 0,
};

for (const instances of [3, 6, 24]) {
  t.test(`streams go on while the store of ${instances} instances replies late`, async (t) => {
    for (let seed = 1; seed <= 3; seed++) {
      const fleet = new OriginFleet({ instances, endpoints: 0, seed, versions, itemDelayMs: 100, patience });
      const { callers, clock, endpoints, store } = fleet;
      store.delayMs = usualStoreDelayMs;
      for (const version of versions)
        for (let index = 0; index < endpointsPerVersion; index++) endpoints.start(version);
      await clock.advance(settledMs);
      for (let index = 0; index < streams; index++) callers.begin();
      await clock.advance(streamingMs);
      for (const index of fleet.members.keys()) fleet.kill(index, 20);
      store.delayMs = storeDelayMs;
      await clock.advance(takeUpMs);
      const { made, succeeded } = callers.takeUpAttempts;
      t.same(callers.violations, []);
      t.ok(made > 0);
      t.ok(succeeded >= leastShare * made, `seed ${seed}: ${succeeded} of ${made} take-ups went on`);
    }
  });
}
