/*
 * Guards against a retry budget that begins anew with each start: what the instances took before they were killed still counts at the
 * endpoints, and nobody knows it any more.
 */
import t from "tap";
import { RetryingFleet } from "./retryingFleet.js";

const warmUpMs = 12_000;
const restartMs = 400;

t.test("a fleet that is killed while endpoints refuse retries no more than the budget allows", async (t) => {
  for (const [instances, requestsPerSecond] of [
    [8, 5],
    [9, 0.5],
    [77, 5],
  ] as const) {
    for (const kills of [1, 2, 4]) {
      const fleet = new RetryingFleet({ instances, requestsPerSecond, seed: kills });
      await fleet.advance(warmUpMs);
      for (let killed = 0; killed < kills; killed++) {
        await fleet.refuse(1, 1_000);
        for (let index = 0; index < instances; index++) fleet.kill(index, restartMs);
        await fleet.refuse(1, 1_500);
      }
      await fleet.refuse(1, 4_000);
      const share = fleet.getWorstShare();
      t.ok(share <= 1, `${instances} instances, killed ${kills} times: ${share.toFixed(2)}`);
    }
  }
});
