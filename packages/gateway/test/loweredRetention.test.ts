/*
 * Guards against streams that go on at another version after the time limit of their route was lowered: an instance that starts later
 * counts a version as gone by the new limit, though streams of it may still be taken up.
 */
import t from "tap";
import { OriginFleet } from "./originFleet.js";

const endpointsPerVersion = 4;
const streams = 60;
const loweredMs = 3_000;

function startEndpoints(fleet: OriginFleet, version: string): void {
  for (let index = 0; index < endpointsPerVersion; index++) fleet.endpoints.start(version);
}

t.test("streams stay at their version after the time limit of their route was lowered", async (t) => {
  let retentionMs = 15_000;
  const fleet = new OriginFleet({
    instances: 3,
    endpoints: 0,
    seed: 1,
    versions: ["v1", "v2"],
    itemDelayMs: 50,
    get retentionMs() {
      return retentionMs;
    },
    patience: {
      maxReturns: Infinity,
      maxRefusals: Infinity,
      returnMs: 4_000,
      lifetimeMs: 14_500,
      lateShare: 1,
      lateMs: 8_000,
    },
  });
  const { callers, clock, endpoints } = fleet;
  startEndpoints(fleet, "v1");
  await clock.advance(3_500);
  startEndpoints(fleet, "v2");
  await clock.advance(4_000);
  for (let index = 0; index < streams; index++) callers.begin();
  await clock.advance(400);
  for (const index of fleet.members.keys()) fleet.kill(index, 300);
  endpoints.leave("v1", 1);
  await clock.advance(1_000);
  retentionMs = loweredMs;
  await clock.advance(14_000);
  t.ok(callers.takeUpAttempts.made > 0);
  t.equal(callers.violations.length, 0, "events of another version");
});
