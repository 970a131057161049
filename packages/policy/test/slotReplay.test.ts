import t from "tap";
import { playService } from "./slotLoad.js";

/** Requests per second and endpoints of the rows of the table in docs/design/hard-load.md. */
const rows = [
  [162, 3],
  [230, 4],
  [230, 3],
  [300, 3],
] as const;
const seeds = [1, 2, 3];

for (const [requestsPerSecond, endpoints] of rows) {
  t.test(`${requestsPerSecond}/s at ${endpoints} endpoints: scheduled slots beat direct sends`, async (t) => {
    for (const seed of seeds) {
      const direct = playService(requestsPerSecond, endpoints, seed, true).total.getCredit();
      const scheduled = playService(requestsPerSecond, endpoints, seed, false).total.getCredit();
      const figures = `seed ${seed}: ${scheduled.toFixed(3)}, directly ${direct.toFixed(3)}`;
      t.comment(`credit with the scheduler, ${figures}`);
      t.ok(scheduled > direct, figures);
    }
  });
}

t.test("overload by less urgent requests leaves the most urgent rank in time", async (t) => {
  for (const [requestsPerSecond, minInTime] of [
    [300, 0.98],
    [400, 0.97],
  ] as const) {
    for (const seed of seeds) {
      const { byRank } = playService(requestsPerSecond, 3, seed, false);
      const urgent = byRank.get(0)!;
      const inTime = urgent.inTime / urgent.requests;
      t.ok(inTime >= minInTime, `${requestsPerSecond}/s, seed ${seed}: ${inTime.toFixed(3)} in time`);
    }
  }
});

t.test("no rank or workspace falls below a quarter of the average service, whatever the load", async (t) => {
  for (const requestsPerSecond of [300, 600, 900]) {
    const { total, byRank, byWorkspace } = playService(requestsPerSecond, 3, 1, false);
    for (const scores of [byRank, byWorkspace]) {
      for (const [key, score] of scores) {
        const share = (score.answered / total.answered) * scores.size;
        t.ok(share >= 1 / 4, `${requestsPerSecond}/s: ${key} has ${share.toFixed(2)} of the average`);
      }
    }
  }
});
