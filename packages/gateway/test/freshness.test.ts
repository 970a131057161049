import t, { type Test } from "tap";
import { BackendDirectory } from "@gladewall/gateway";
import { Logger, SystemClock, VirtualClock } from "@gladewall/kernel";
import {
  answerGood,
  createRoute,
  createTenant,
  GatewayBench,
  ScriptedBackend,
  StandinPlatform,
  StoreTrouble,
  waitUntil,
} from "@gladewall/standins";

/** One node with short proofs, so that tests wait for events and not for seconds. */
async function createBench(t: Pick<Test, "teardown">) {
  const bench = GatewayBench.create();
  const routes = [createRoute({}), createRoute({ name: "open", prefix: "/open/", isPublic: true })];
  bench.platform.configure({ routes, tenants: [createTenant({ keys: ["one", "two"] })] });
  const backend = await ScriptedBackend.create("b", answerGood);
  bench.platform.list({ id: "b", address: backend.address });
  const node = await bench.startReady(1, "web", [
    "configuration.proof_interval=50",
    "configuration.revoke_within=600",
    "configuration.revoke_margin=100",
  ]);
  t.teardown(() => Promise.all([bench.close(), backend.close()]));
  return { bench, node, backend, routes };
}

t.test("a removed key runs nothing, an unknown one gets 401, an unknown route 404", async (t) => {
  const { bench, node, backend, routes } = await createBench(t);
  t.equal((await bench.call(node, { key: "two" })).status, 200);
  t.equal(backend.calls[0]?.headers["x-tenant"], "tenant");
  t.equal(backend.calls[0]?.headers.authorization, undefined);
  bench.platform.configure({ routes, tenants: [createTenant({ keys: ["one"] })] });
  await waitUntil(() => node.gateway.version === 2);
  t.equal((await bench.call(node, { key: "two" })).status, 401);
  t.equal((await bench.call(node, { key: "one" })).status, 200);
  t.equal((await bench.call(node, { host: "other.test" })).status, 404);
});

t.test(
  "without a young proof no key counts and the node is unready; with the store back it serves again",
  async (t) => {
    const { bench, node, backend } = await createBench(t);
    bench.platform.shared.trouble = StoreTrouble.Down;
    await waitUntil(() => !node.gateway.isReady());
    const before = backend.calls.length;
    const refused = await bench.call(node, { key: "one" });
    t.equal(refused.status, 503);
    t.ok(Number(refused.headers["retry-after"]) > 0);
    t.equal(
      (await bench.call(node, { host: "other.test" })).status,
      503,
      "a newer version may have this route",
    );
    t.equal((await bench.call(node, { path: "/open/x" })).status, 200, "a public route needs no key");
    t.equal(backend.calls.length, before + 1);
    bench.platform.shared.trouble = StoreTrouble.None;
    await waitUntil(() => node.gateway.isReady());
    t.equal((await bench.call(node, { key: "one" })).status, 200);
  },
);

t.test(
  "a node that the store turns away goes on by a peer's word, and learns of changes by it",
  async (t) => {
    const { bench, node, routes } = await createBench(t);
    const other = await bench.startReady(1, "web", ["configuration.proof_interval=50"]);
    await waitUntil(() => node.gateway.linkedPeers === 1 && other.gateway.linkedPeers === 1);
    bench.platform.stores[0]!.trouble = StoreTrouble.Down;
    bench.platform.configure({ routes, tenants: [createTenant({ keys: ["three"] })] });
    await waitUntil(() => node.gateway.version === 2);
    const since = SystemClock.create().getTime();
    await waitUntil(() => node.gateway.provenAt > since);
    t.equal((await bench.call(node, { key: "three" })).status, 200);
    t.equal((await bench.call(node, { key: "one" })).status, 401);
    const large = Array.from({ length: 400 }, (_, index) =>
      createRoute({ name: `route-${index}`, prefix: `/${"p".repeat(60)}/${index}/` }),
    );
    bench.platform.configure({ routes: [...routes, ...large], tenants: [createTenant({ keys: ["three"] })] });
    await waitUntil(() => node.gateway.version === 3);
    bench.platform.shared.trouble = StoreTrouble.Down;
    await waitUntil(() => !node.gateway.isReady());
    t.equal((await bench.call(node, { key: "three" })).status, 503, "words of words grow old as well");
  },
);

t.test("a version in force never falls, and deaf watches delay it by no more than a proof", async (t) => {
  const { bench, node, routes } = await createBench(t);
  bench.platform.shared.isDeaf = true;
  bench.platform.configure({ routes, tenants: [createTenant({ keys: ["three"] })] });
  await waitUntil(() => node.gateway.version === 2);
  t.equal((await bench.call(node, { key: "three" })).status, 200);
  bench.platform.shared.isDeaf = false;
  bench.platform.shared.forgetHistory();
  t.equal((await bench.call(node, { key: "one" })).status, 401);
  t.equal(node.gateway.version, 2);
});

t.test("a limit holds over two nodes, and what is over it gets 429 with a time to come back", async (t) => {
  const bench = GatewayBench.create();
  bench.platform.configure({ tenants: [createTenant({ ratePerSecond: 0.001, burst: 6 })] });
  const backend = await ScriptedBackend.create("b", answerGood);
  bench.platform.list({ id: "b", address: backend.address });
  const quick = ["peers.report_interval=20"];
  const one = await bench.startReady(1, "web", quick);
  const two = await bench.startReady(1, "web", quick);
  t.teardown(() => Promise.all([bench.close(), backend.close()]));
  await waitUntil(() => one.gateway.linkedPeers === 1 && two.gateway.linkedPeers === 1);
  for (let count = 0; count < 6; count++) t.equal((await bench.call(one, { key: "key" })).status, 200);
  await waitUntil(() => two.gateway.getQuotaLevel("tenant") > 5);
  const refused = await bench.call(two, { key: "key" });
  t.equal(refused.status, 429);
  t.ok(Number(refused.headers["retry-after"]) > 0);
  t.equal(backend.calls.length, 6);
});

t.test(
  "a record that vanishes in this node's own trouble ends work in time; many together have until the store is back",
  async (t) => {
    const clock = VirtualClock.create();
    const platform = StandinPlatform.create(clock);
    let troubleAt = clock.getTime();
    const directory = BackendDirectory.create({
      platform: platform.createAdapter(),
      clock,
      logger: Logger.createSilent(),
      getTimeSinceTrouble: () => clock.getTime() - troubleAt,
      watchWaitMs: 600,
      unlistedMs: 1_300,
    });
    for (const id of ["a", "b", "c", "d"]) platform.list({ id, address: "127.0.0.1:1" });
    directory.start();
    await clock.advance(50);
    const count = (): number => directory.getOfService("web").filter((backend) => backend.isUsable()).length;
    platform.unlist("a");
    await clock.advance(50);
    t.equal(count(), 4);
    await clock.advance(1_500);
    t.equal(count(), 3);
    troubleAt = clock.getTime();
    for (const id of ["b", "c", "d"]) platform.unlist(id);
    await clock.advance(2_000);
    t.equal(count(), 3);
    platform.list({ id: "b", address: "127.0.0.1:1" });
    // The store has been well for longer than a living backend needs to record itself again.
    await clock.advance(2_500);
    t.equal(count(), 1);
    platform.list({ id: "e", address: "127.0.0.1:1" });
    await clock.advance(50);
    troubleAt = clock.getTime();
    for (const id of ["b", "e"]) platform.unlist(id);
    for (let second = 0; second < 4; second++) {
      troubleAt = clock.getTime();
      await clock.advance(1_000);
    }
    t.equal(count(), 2, "as long as the trouble lasts, nobody can be back");
    troubleAt = clock.getTime();
    await clock.advance(1_500);
    t.equal(count(), 0, "but no longer than this");
    const closed = directory.close();
    await clock.advance(20_000);
    await closed;
  },
);

t.test(
  "a backend that leaves gets nothing new, and never again under its id; a replaced one is found out by its answer",
  async (t) => {
    const { bench, node, backend } = await createBench(t);
    const other = await ScriptedBackend.create("c", answerGood);
    t.teardown(() => other.close());
    bench.platform.list({ id: "c", address: other.address });
    await waitUntil(() => node.gateway.countBackends("web") === 2);
    bench.platform.list({ id: "b", address: backend.address, isLeaving: true });
    await waitUntil(() => node.gateway.countBackends("web") === 1);
    bench.platform.list({ id: "b", address: backend.address });
    for (let count = 0; count < 4; count++) t.equal((await bench.call(node, { key: "one" })).status, 200);
    t.equal(backend.calls.length, 0);
    other.script = ({ id, response }) => {
      response.writeHead(421, { "x-id": id, "content-length": 0 });
      response.end();
    };
    t.equal((await bench.call(node, { key: "one" })).status, 503);
    t.equal(node.gateway.countBackends("web"), 0);
  },
);

t.test(
  "a peer whose connection was closed keeps no part of the limits, whether it was heard or not",
  async (t) => {
    const bench = GatewayBench.create();
    bench.platform.configure({});
    const one = await bench.startReady(0, "web", ["peers.report_interval=20"]);
    t.teardown(() => bench.close());
    for (const reportInterval of [20, 10_000]) {
      const two = await bench.startReady(0, "web", [`peers.report_interval=${reportInterval}`]);
      await waitUntil(() => one.gateway.linkedPeers === 1);
      await two.gateway.close();
      await waitUntil(() => one.gateway.linkedPeers === 0);
      t.equal(one.gateway.knownShare, 1);
    }
  },
);
