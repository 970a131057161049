/*
 * Guards against a workspace that exceeds its limit. A request was charged when it was admitted, but its retries were not: with a
 * limit of four requests and every response lost, twelve runs reached an endpoint while gladewall_quota_units_total counted four
 * charged.
 */
import t from "tap";
import { getAllowances, restartsPerWindow } from "@gladewall/gateway";
import { createRoute, createWorkspace, GatewayTestBench, ScriptedEndpoint } from "@gladewall/standins";
import { runLimitScenario } from "./limitedFleet.js";
import { baselineSurge } from "./limitScenarios.js";

t.test("each run of a request is charged to its workspace's limit", async (t) => {
  const bench = GatewayTestBench.create();
  const workspace = createWorkspace({ ratePerSecond: 0.001, burst: 4 });
  bench.platform.configure({ routes: [createRoute({ attempts: 3 })], workspaces: [workspace] });
  const lose = await ScriptedEndpoint.create("lose", ({ socket }) => socket.destroy());
  for (const id of ["a", "b", "c"]) bench.platform.putEndpoint({ id, address: lose.address });
  const instance = await bench.startReady(3, "web", ["retries.slack=100"]);
  t.teardown(() => Promise.all([bench.close(), lose.close()]));
  const statuses: number[] = [];
  for (let index = 0; index < 6; index++) statuses.push((await bench.call(instance, { key: "key" })).status);
  t.equal(lose.requests.length, 4, `runs; callers saw ${statuses.join()}`);
  t.equal(statuses.at(-1), 429);
});

/*
 * Guards against instances that take the same capacity at the same time. Each decided by views that were at least a quarter of a
 * second old, so that all of them took it when a surge began. With views that took 150 ms to arrive, 1.11 of what a limit of
 * 900,000 a second allows ran in a window, then nothing was admitted for seconds. On a busy machine, 77 instances that charged
 * each run admitted 8,410,397 units in 8 s from the beginning of a surge, of 8,321,439 that are allowed.
 */
t.test("late messages cause refusals, and never let more run than a limit allows", async (t) => {
  for (const [instances, ratePerSecond, delayMs] of [
    [8, 200_000, 150],
    [77, 900_000, 150],
    [77, 400_000, 400],
    [320, 900_000, 15],
  ] as const) {
    const scenario = { ...baselineSurge, instances, ratePerSecond, delayMs };
    const { maxShare, admittedShare } = await runLimitScenario(scenario);
    const summary = `${instances} instances, ${ratePerSecond}/s, ${delayMs} ms: ${maxShare.toFixed(3)}, admitted share ${admittedShare.toFixed(2)}`;
    t.ok(maxShare <= 1, summary);
    t.ok(delayMs > 150 || admittedShare >= 0.95, summary);
  }
});

t.test("the same surge exceeds the limit if each instance decides for itself", async (t) => {
  const scenario = {
    ...baselineSurge,
    instances: 77,
    ratePerSecond: 900_000,
    delayMs: 150,
    hasArbiters: false,
  };
  const { maxShare } = await runLimitScenario(scenario);
  t.ok(maxShare > 1, String(maxShare));
});

t.test("nothing is refused to a workspace that stays within its limit", async (t) => {
  for (const ratePerSecond of [36_000, 900_000]) {
    const scenario = {
      ...baselineSurge,
      instances: 77,
      ratePerSecond,
      baseLoadShare: 0.7,
      surgeLoadShare: 0.7,
    };
    const { refusedBeforeSurge, admittedShare } = await runLimitScenario(scenario);
    t.equal(refusedBeforeSurge, 0);
    t.ok(admittedShare >= 0.6, String(admittedShare));
  }
});

t.test("a surge refuses long requests no more than short ones", async (t) => {
  for (const ratePerSecond of [36_000, 200_000, 900_000]) {
    const scenario = { ...baselineSurge, instances: 77, ratePerSecond, sizes: [12_000, 826, 2_368] };
    const { admittedBySize, maxShare, admittedShare } = await runLimitScenario(scenario);
    const [long = 0, short = 0, middle = 0] = admittedBySize;
    const summary = `${ratePerSecond}/s: admitted ${admittedBySize.map((share) => share.toFixed(3)).join()}, maxShare ${maxShare.toFixed(3)}`;
    t.ok(long >= 0.5 * Math.max(short, middle), summary);
    t.ok(maxShare <= 1 && admittedShare >= 0.9, `${summary}, admitted share ${admittedShare.toFixed(2)}`);
  }
});

t.test("the allowances for errors add up to what operators tolerate over a limit", async (t) => {
  for (const ratePerSecond of [10, 36_000, 900_000]) {
    for (const overshoot of [0, 0.1]) {
      const workspace = { ratePerSecond, burst: ratePerSecond };
      const tolerance = { slack: 140_000, overshoot, windowMs: 8_000 };
      const { extraBurst, restart, retries, unreported, arbiterOverlap } = getAllowances(
        workspace,
        tolerance,
      );
      const sum = extraBurst + restart * restartsPerWindow + retries + unreported + arbiterOverlap;
      const tolerated = tolerance.slack + overshoot * (ratePerSecond * 8 + ratePerSecond);
      t.ok(sum <= tolerated * 1.000_001, `${sum} of ${tolerated}`);
    }
  }
});
