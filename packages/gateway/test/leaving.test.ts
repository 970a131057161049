import t from "tap";
import { RouteKind } from "@gladewall/gateway";
import {
  answerGood,
  beginEvents,
  createRoute,
  GatewayBench,
  ScriptedEndpoint,
  waitUntil,
} from "@gladewall/standins";

const overrides = ["leaving.grace=1000", "leaving.unnoticed=0"];

t.test(
  "an instance that leaves is unready at once and finishes what it has, closing connections with the answers",
  async (t) => {
    const bench = GatewayBench.create();
    bench.platform.configure({ routes: [createRoute({ kind: RouteKind.Unsafe, attempts: 1 })] });
    const endpoint = await ScriptedEndpoint.create("b", () => undefined);
    bench.platform.list({ id: "b", address: endpoint.address });
    const instance = await bench.startReady(1);
    t.teardown(() => Promise.all([bench.close(), endpoint.close()]));
    const answer = bench.call(instance, { id: "r", method: "POST", body: "x" });
    await endpoint.waitForCalls(1);
    const left = instance.gateway.leave();
    t.notOk(instance.gateway.isReady());
    answerGood(endpoint.calls[0]!);
    t.match(await answer, { status: 200, body: "answer to r", headers: { connection: "close" } });
    await left;
  },
);

t.test("what has no answer when the grace ends is answered, not cut", async (t) => {
  const bench = GatewayBench.create();
  bench.platform.configure({ routes: [createRoute({ kind: RouteKind.Unsafe, attempts: 1 })] });
  const endpoint = await ScriptedEndpoint.create("b", () => undefined);
  bench.platform.list({ id: "b", address: endpoint.address });
  const instance = await bench.startReady(1, "web", overrides);
  t.teardown(() => Promise.all([bench.close(), endpoint.close()]));
  const answer = bench.call(instance, { method: "POST", body: "x" });
  await endpoint.waitForCalls(1);
  await instance.gateway.leave();
  t.match(await answer, { status: 504, isComplete: true });
});

t.test("a stream that is under way when the instance leaves is passed on to its end", async (t) => {
  const bench = GatewayBench.create();
  bench.platform.configure({ routes: [createRoute({ kind: RouteKind.Stream, attempts: 1 })] });
  const endpoint = await ScriptedEndpoint.create("b", beginEvents);
  bench.platform.list({ id: "b", address: endpoint.address });
  const instance = await bench.startReady(1);
  t.teardown(() => Promise.all([bench.close(), endpoint.close()]));
  let seen = "";
  const answer = bench.call(instance, { method: "POST", body: "x", onData: (text) => (seen += text) });
  await endpoint.waitForCalls(1);
  const { response } = endpoint.calls[0]!;
  response.write("id: 1\ndata: a\n\n");
  await waitUntil(() => seen !== "");
  const left = instance.gateway.leave();
  response.end("id: 2\ndata: b\n\n");
  t.match(await answer, { status: 200, isComplete: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" });
  await left;
});
