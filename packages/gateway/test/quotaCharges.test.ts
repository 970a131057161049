import t from "tap";
import {
  respondSuccess,
  respondNotRun,
  createWorkspace,
  GatewayTestBench,
  RunUnitLog,
  ScriptedEndpoint,
} from "@gladewall/standins";

t.test("units of a limit are counted by workspace and by outcome", async (t) => {
  const bench = GatewayTestBench.create();
  bench.platform.configure({ workspaces: [createWorkspace({ ratePerSecond: 0.001, burst: 2 })] });
  const endpoint = await ScriptedEndpoint.create("b", respondSuccess);
  bench.platform.putEndpoint({ id: "b", address: endpoint.address });
  const instance = await bench.startReady(1);
  t.teardown(() => Promise.all([bench.close(), endpoint.close()]));
  const statuses = [];
  for (let index = 0; index < 3; index++) statuses.push((await bench.call(instance, { key: "key" })).status);
  t.same(statuses, [200, 200, 429]);
  // A charge is settled after its response was sent, so the caller may read the metrics before that.
  const series = (event: string): string =>
    `gladewall_quota_units_total{workspace="workspace",event="${event}"}`;
  while (!(await bench.readMetrics(instance)).includes(`${series("run")} 2\n`)) continue;
  const page = await bench.readMetrics(instance);
  t.ok(page.includes(`${series("charged")} 2\n`));
  t.ok(page.includes(`${series("refused")} 1\n`));
  t.match(page, /gladewall_quota_level\{workspace="workspace"\} 1\.99/);
  t.ok(page.includes('gladewall_quota_room{workspace="workspace"} 2\n'));
});

t.test(
  "the endpoints' own count of a limit finds the window with the most units, wherever it begins",
  async (t) => {
    const windows = RunUnitLog.create();
    for (const [at, units] of [
      [0, 5],
      [900, 7],
      [1_000, 1],
      [1_950, 6],
    ] as const) {
      windows.record("w", at, units);
    }
    t.same(windows.getMax("w", 1_000), { units: 13, at: 1_000 });
    t.same(windows.getMax("none", 1_000), { units: 0, at: 0 });
    t.equal(windows.getSum("w", 900, 1_950), 8);
  },
);

t.test("units of requests that endpoints refused are refunded", async (t) => {
  const bench = GatewayTestBench.create();
  bench.platform.configure({ workspaces: [createWorkspace({ ratePerSecond: 0.001, burst: 2 })] });
  const endpoint = await ScriptedEndpoint.create("b", respondNotRun);
  bench.platform.putEndpoint({ id: "b", address: endpoint.address });
  const instance = await bench.startReady(1);
  t.teardown(() => Promise.all([bench.close(), endpoint.close()]));
  const call = async (): Promise<number> => (await bench.call(instance, { key: "key" })).status;
  t.same([await call(), await call(), await call()], [503, 503, 503]);
  const returned = 'gladewall_quota_units_total{workspace="workspace",event="returned"} 3\n';
  while (!(await bench.readMetrics(instance)).includes(returned)) continue;
  endpoint.script = respondSuccess;
  t.same([await call(), await call(), await call()], [200, 200, 429]);
});
