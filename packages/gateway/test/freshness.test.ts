import t, { type Test } from "tap";
import { EndpointDirectory } from "@gladewall/gateway";
import { Logger, SystemClock, VirtualClock } from "@gladewall/kernel";
import {
  respondSuccess,
  createRoute,
  createWorkspace,
  GatewayTestBench,
  ScriptedEndpoint,
  FakePlatform,
  StoreFault,
  waitUntil,
} from "@gladewall/standins";

/** Starts one instance whose proofs expire quickly, so that tests wait for events instead of seconds. */
async function createTestBench(t: Pick<Test, "teardown">) {
  const bench = GatewayTestBench.create();
  const routes = [createRoute({}), createRoute({ name: "open", prefix: "/open/", isPublic: true })];
  bench.platform.configure({ routes, workspaces: [createWorkspace({ keys: ["one", "two"] })] });
  const endpoint = await ScriptedEndpoint.create("b", respondSuccess);
  bench.platform.putEndpoint({ id: "b", address: endpoint.address });
  const instance = await bench.startReady(1, "web", [
    "configuration.proof_interval=50",
    "configuration.revoke_within=600",
    "configuration.revoke_margin=100",
  ]);
  t.teardown(() => Promise.all([bench.close(), endpoint.close()]));
  return { bench, instance, endpoint, routes };
}

t.test("a removed key runs nothing, an unknown one gets 401, an unknown route 404", async (t) => {
  const { bench, instance, endpoint, routes } = await createTestBench(t);
  t.equal((await bench.call(instance, { key: "two" })).status, 200);
  t.equal(endpoint.requests[0]?.headers["x-workspace"], "workspace");
  t.equal(endpoint.requests[0]?.headers.authorization, undefined);
  bench.platform.configure({ routes, workspaces: [createWorkspace({ keys: ["one"] })] });
  await waitUntil(() => instance.gateway.version === 2);
  t.equal((await bench.call(instance, { key: "two" })).status, 401);
  t.equal((await bench.call(instance, { key: "one" })).status, 200);
  t.equal((await bench.call(instance, { host: "other.test" })).status, 404);
});

t.test(
  "without a fresh proof no key is accepted and the instance is not ready, until the store answers again",
  async (t) => {
    const { bench, instance, endpoint } = await createTestBench(t);
    bench.platform.shared.fault = StoreFault.Down;
    await waitUntil(() => !instance.gateway.isReady());
    const before = endpoint.requests.length;
    const refused = await bench.call(instance, { key: "one" });
    t.equal(refused.status, 503);
    t.ok(Number(refused.headers["retry-after"]) > 0);
    t.equal(
      (await bench.call(instance, { host: "other.test" })).status,
      503,
      "a newer version may have this route",
    );
    t.equal((await bench.call(instance, { path: "/open/x" })).status, 200, "a public route needs no key");
    t.equal(endpoint.requests.length, before + 1);
    bench.platform.shared.fault = StoreFault.None;
    await waitUntil(() => instance.gateway.isReady());
    t.equal((await bench.call(instance, { key: "one" })).status, 200);
  },
);

t.test("an instance that the store refuses uses a peer's proofs, and learns changes from them", async (t) => {
  const { bench, instance, routes } = await createTestBench(t);
  const other = await bench.startReady(1, "web", ["configuration.proof_interval=50"]);
  await waitUntil(() => instance.gateway.linkedPeers === 1 && other.gateway.linkedPeers === 1);
  bench.platform.stores[0]!.fault = StoreFault.Down;
  bench.platform.configure({ routes, workspaces: [createWorkspace({ keys: ["three"] })] });
  await waitUntil(() => instance.gateway.version === 2);
  const since = SystemClock.create().getTime();
  await waitUntil(() => instance.gateway.proofSentAt > since);
  t.equal((await bench.call(instance, { key: "three" })).status, 200);
  t.equal((await bench.call(instance, { key: "one" })).status, 401);
  const large = Array.from({ length: 400 }, (_, index) =>
    createRoute({ name: `route-${index}`, prefix: `/${"p".repeat(60)}/${index}/` }),
  );
  bench.platform.configure({
    routes: [...routes, ...large],
    workspaces: [createWorkspace({ keys: ["three"] })],
  });
  await waitUntil(() => instance.gateway.version === 3);
  bench.platform.shared.fault = StoreFault.Down;
  await waitUntil(() => !instance.gateway.isReady());
  t.equal(
    (await bench.call(instance, { key: "three" })).status,
    503,
    "proofs from peers that rely on other peers expire too",
  );
});

t.test(
  "the version in force never decreases, and watches that receive nothing delay it by at most one proof interval",
  async (t) => {
    const { bench, instance, routes } = await createTestBench(t);
    bench.platform.shared.hidesChanges = true;
    bench.platform.configure({ routes, workspaces: [createWorkspace({ keys: ["three"] })] });
    await waitUntil(() => instance.gateway.version === 2);
    t.equal((await bench.call(instance, { key: "three" })).status, 200);
    bench.platform.shared.hidesChanges = false;
    bench.platform.shared.compactHistory();
    t.equal((await bench.call(instance, { key: "one" })).status, 401);
    t.equal(instance.gateway.version, 2);
  },
);

t.test("a limit holds over two instances, and requests beyond it get 429 with a retry time", async (t) => {
  const bench = GatewayTestBench.create();
  bench.platform.configure({ workspaces: [createWorkspace({ ratePerSecond: 0.001, burst: 6 })] });
  const endpoint = await ScriptedEndpoint.create("b", respondSuccess);
  bench.platform.putEndpoint({ id: "b", address: endpoint.address });
  const quick = ["peers.report_interval=20"];
  const one = await bench.startReady(1, "web", quick);
  const two = await bench.startReady(1, "web", quick);
  t.teardown(() => Promise.all([bench.close(), endpoint.close()]));
  await waitUntil(() => one.gateway.linkedPeers === 1 && two.gateway.linkedPeers === 1);
  for (let count = 0; count < 6; count++) t.equal((await bench.call(one, { key: "key" })).status, 200);
  await waitUntil(() => two.gateway.getQuotaLevel("workspace") > 5);
  const refused = await bench.call(two, { key: "key" });
  t.equal(refused.status, 429);
  t.ok(Number(refused.headers["retry-after"]) > 0);
  t.equal(endpoint.requests.length, 6);
});

t.test(
  "a record removed while the store fails takes the endpoint out of use in time; many removed together wait for the store",
  async (t) => {
    const clock = VirtualClock.create();
    const platform = FakePlatform.create(clock);
    let troubleAt = clock.getTime();
    const directory = EndpointDirectory.create({
      platform: platform.createAdapter(),
      clock,
      logger: Logger.createSilent(),
      getTimeSinceTrouble: () => clock.getTime() - troubleAt,
      watchWaitMs: 600,
      unlistedMs: 1_300,
    });
    for (const id of ["a", "b", "c", "d"]) platform.putEndpoint({ id, address: "127.0.0.1:1" });
    directory.start();
    await clock.advance(50);
    const count = (): number =>
      directory.getOfService("web").filter((endpoint) => endpoint.isUsable()).length;
    platform.removeEndpoint("a");
    await clock.advance(50);
    t.equal(count(), 4);
    await clock.advance(1_500);
    t.equal(count(), 3);
    troubleAt = clock.getTime();
    for (const id of ["b", "c", "d"]) platform.removeEndpoint(id);
    await clock.advance(2_000);
    t.equal(count(), 3);
    platform.putEndpoint({ id: "b", address: "127.0.0.1:1" });
    // The store has been available for longer than a running endpoint needs to write its record again.
    await clock.advance(2_500);
    t.equal(count(), 1);
    platform.putEndpoint({ id: "e", address: "127.0.0.1:1" });
    await clock.advance(50);
    troubleAt = clock.getTime();
    for (const id of ["b", "e"]) platform.removeEndpoint(id);
    for (let second = 0; second < 4; second++) {
      troubleAt = clock.getTime();
      await clock.advance(1_000);
    }
    t.equal(count(), 2, "while the store fails, no endpoint can write its record again");
    troubleAt = clock.getTime();
    await clock.advance(1_500);
    t.equal(count(), 0, "after that they are no longer used");
    const closed = directory.close();
    await clock.advance(20_000);
    await closed;
  },
);

t.test(
  "a leaving endpoint gets no new request, not under its id again either; a replaced one is detected by its response",
  async (t) => {
    const { bench, instance, endpoint } = await createTestBench(t);
    const other = await ScriptedEndpoint.create("c", respondSuccess);
    t.teardown(() => other.close());
    bench.platform.putEndpoint({ id: "c", address: other.address });
    await waitUntil(() => instance.gateway.countEndpoints("web") === 2);
    bench.platform.putEndpoint({ id: "b", address: endpoint.address, isLeaving: true });
    await waitUntil(() => instance.gateway.countEndpoints("web") === 1);
    bench.platform.putEndpoint({ id: "b", address: endpoint.address });
    for (let count = 0; count < 4; count++) t.equal((await bench.call(instance, { key: "one" })).status, 200);
    t.equal(endpoint.requests.length, 0);
    other.script = ({ id, response }) => {
      response.writeHead(421, { "x-id": id, "content-length": 0 });
      response.end();
    };
    t.equal((await bench.call(instance, { key: "one" })).status, 503);
    t.equal(instance.gateway.countEndpoints("web"), 0);
  },
);

t.test(
  "a peer whose connection was closed keeps no part of the limits, whether or not it had reported",
  async (t) => {
    const bench = GatewayTestBench.create();
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
