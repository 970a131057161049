/*
 * A workspace was given more than its limit. A request was charged when it was let in, and each further run of it was not:
 * of a limit of four requests, with every answer lost, twelve runs reached an endpoint while gladewall_quota_units_total
 * counted four charged.
 */
import t from "tap";
import { createRoute, createWorkspace, GatewayBench, ScriptedEndpoint } from "@gladewall/standins";

t.test("each run of a request is charged to its workspace's limit", async (t) => {
  const bench = GatewayBench.create();
  const workspace = createWorkspace({ ratePerSecond: 0.001, burst: 4 });
  bench.platform.configure({ routes: [createRoute({ attempts: 3 })], workspaces: [workspace] });
  const lose = await ScriptedEndpoint.create("lose", ({ socket }) => socket.destroy());
  for (const id of ["a", "b", "c"]) bench.platform.list({ id, address: lose.address });
  const instance = await bench.startReady(3, "web", ["retries.slack=100"]);
  t.teardown(() => Promise.all([bench.close(), lose.close()]));
  const statuses: number[] = [];
  for (let index = 0; index < 6; index++) statuses.push((await bench.call(instance, { key: "key" })).status);
  t.equal(lose.calls.length, 4, `runs; callers saw ${statuses.join()}`);
  t.equal(statuses.at(-1), 429);
});
