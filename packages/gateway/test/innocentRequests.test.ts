/*
 * Guards against false suspects: connections are interrupted, responses are lost and addresses refuse connections while no
 * endpoint crashes under a request. None of these may make a request a suspect.
 */
import t, { type Test } from "tap";
import { RouteKind } from "@gladewall/gateway";
import {
  respondSuccess,
  type BenchInstance,
  createRoute,
  type EndpointRequest,
  GatewayTestBench,
  ScriptedEndpoint,
  waitUntil,
} from "@gladewall/standins";
import { startCrashingFleet } from "./crashingEndpoints.js";

/** Faults of one request at an endpoint that keeps running. */
const faults: Readonly<Record<string, (call: EndpointRequest) => void>> = {
  "a connection that is reset": ({ socket }) => void socket.resetAndDestroy(),
  "a response that is lost": ({ socket }) => void socket.destroy(),
  "a response that is interrupted": ({ id, response, socket }) => {
    response.writeHead(200, { "x-id": id, "x-stamp": "signed", "content-length": 100 });
    response.write("half", () => socket.destroy());
  },
  "a response to another request": ({ response }) => {
    response.writeHead(200, { "x-id": "another", "x-stamp": "signed", "content-length": 2 });
    response.end("no");
  },
  "bytes that are no response": ({ socket }) => void socket.end("this is no answer\r\n\r\n"),
};

async function createTestBench(t: Pick<Test, "teardown">, kind: RouteKind) {
  const bench = GatewayTestBench.create();
  bench.platform.configure({ routes: [createRoute({ kind })] });
  const endpoint = await ScriptedEndpoint.create("e", respondSuccess);
  bench.platform.putEndpoint({ id: "e", address: endpoint.address });
  const instance = await bench.startReady(1);
  t.teardown(() => Promise.all([bench.close(), endpoint.close()]));
  return { bench, endpoint, instance };
}

async function readCount(bench: GatewayTestBench, instance: BenchInstance, name: string): Promise<number> {
  const page = await bench.readMetrics(instance);
  return Number(new RegExp(`^${name}(?:{[^}]*})? (\\d+)$`, "m").exec(page)?.[1] ?? 0);
}

for (const [fault, script] of Object.entries(faults)) {
  for (const kind of [RouteKind.Safe, RouteKind.Unsafe]) {
    t.test(`${fault} makes no request a suspect (${RouteKind[kind].toLowerCase()})`, async (t) => {
      const { bench, endpoint, instance } = await createTestBench(t, kind);
      endpoint.script = script;
      for (let index = 0; index < 5; index++) {
        t.not((await bench.call(instance, { method: "POST", body: "same" })).status, 200);
      }
      endpoint.script = respondSuccess;
      t.equal((await bench.call(instance, { method: "POST", body: "same" })).status, 200);
      t.equal(await readCount(bench, instance, "gladewall_endpoint_ends_total"), 0);
      t.equal(await readCount(bench, instance, "gladewall_suspects"), 0);
    });
  }
}

t.test(
  "an address that refuses connections makes no request a suspect that was not interrupted there",
  async (t) => {
    const { bench, endpoint, instance } = await createTestBench(t, RouteKind.Safe);
    await endpoint.close();
    for (let index = 0; index < 5; index++) {
      t.equal((await bench.call(instance, { method: "POST", body: "same" })).status, 503);
    }
    t.equal(await readCount(bench, instance, "gladewall_suspects"), 0);
  },
);

t.test("a planned stop makes no request a suspect", async (t) => {
  const { bench, endpoint, instance } = await createTestBench(t, RouteKind.Safe);
  endpoint.script = () => undefined;
  const response = bench.call(instance, { method: "POST", body: "same" });
  await endpoint.waitForRequests(1);
  bench.platform.putEndpoint({ id: "e", address: endpoint.address, isLeaving: true });
  await waitUntil(() => instance.gateway.countEndpoints("web") === 0);
  await endpoint.close();
  t.equal((await response).status, 502);
  t.equal(await readCount(bench, instance, "gladewall_suspects"), 0);
});

t.test("a request whose caller disconnected before the endpoint crashed is no suspect", async (t) => {
  const { bench, endpoint, instance } = await createTestBench(t, RouteKind.Safe);
  endpoint.script = () => undefined;
  const caller = new AbortController();
  const left = bench.call(instance, { method: "POST", body: "left", signal: caller.signal });
  await endpoint.waitForRequests(1);
  caller.abort();
  await left;
  await waitUntil(() => endpoint.requests[0]?.socket.destroyed === true);
  await endpoint.close();
  t.equal(await readCount(bench, instance, "gladewall_suspects"), 0);
});

t.test(
  "requests in flight beside one that crashes endpoints are answered, and stay unrestricted",
  async (t) => {
    const { bench, endpoints } = await startCrashingFleet(t, 3, 4);
    const held: EndpointRequest[] = [];
    endpoints.script = (call) => void held.push(call);
    const send = (body: string, index: number) =>
      bench.call(bench.instances[index % 3]!, { method: "POST", key: "key", body });
    const harmless = Array.from({ length: 12 }, (_, index) => send(`innocent ${index}`, index));
    await waitUntil(() => held.length === 12);
    const crashing = Array.from({ length: 3 }, (_, index) => send("deadly", index));
    await Promise.all(crashing);
    endpoints.script = respondSuccess;
    // Requests that were not interrupted get their responses from their first endpoint, the others from the endpoint of the retry.
    for (const call of held) if (!call.socket.destroyed) respondSuccess(call);
    await Promise.all(harmless);
    await endpoints.replace();
    const resent = await Promise.all(
      Array.from({ length: 12 }, (_, index) => send(`innocent ${index}`, index + 1)),
    );
    t.same(
      resent.map(({ status }) => status),
      resent.map(() => 200),
    );
    t.ok(endpoints.crashCount <= 3, `${endpoints.crashCount} crashed`);
  },
);
