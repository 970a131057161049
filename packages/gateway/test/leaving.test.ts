import t from "tap";
import { RouteKind } from "@gladewall/gateway";
import {
  answerGood,
  beginEvents,
  createRoute,
  GatewayBench,
  ScriptedBackend,
  waitUntil,
} from "@gladewall/standins";

const overrides = ["leaving.grace=1000", "leaving.unnoticed=0"];

t.test(
  "a node that leaves is unready at once and finishes what it has, closing connections with the answers",
  async (t) => {
    const bench = GatewayBench.create();
    bench.platform.configure({ routes: [createRoute({ kind: RouteKind.Unsafe, attempts: 1 })] });
    const backend = await ScriptedBackend.create("b", () => undefined);
    bench.platform.list({ id: "b", address: backend.address });
    const node = await bench.startReady(1);
    t.teardown(() => Promise.all([bench.close(), backend.close()]));
    const answer = bench.call(node, { id: "r", method: "POST", body: "x" });
    await backend.waitForCalls(1);
    const left = node.gateway.leave();
    t.notOk(node.gateway.isReady());
    answerGood(backend.calls[0]!);
    t.match(await answer, { status: 200, body: "answer to r", headers: { connection: "close" } });
    await left;
  },
);

t.test("what has no answer when the grace ends is answered, not cut", async (t) => {
  const bench = GatewayBench.create();
  bench.platform.configure({ routes: [createRoute({ kind: RouteKind.Unsafe, attempts: 1 })] });
  const backend = await ScriptedBackend.create("b", () => undefined);
  bench.platform.list({ id: "b", address: backend.address });
  const node = await bench.startReady(1, "web", overrides);
  t.teardown(() => Promise.all([bench.close(), backend.close()]));
  const answer = bench.call(node, { method: "POST", body: "x" });
  await backend.waitForCalls(1);
  await node.gateway.leave();
  t.match(await answer, { status: 504, isComplete: true });
});

t.test("a stream that is under way when the node leaves is passed on to its end", async (t) => {
  const bench = GatewayBench.create();
  bench.platform.configure({ routes: [createRoute({ kind: RouteKind.Stream, attempts: 1 })] });
  const backend = await ScriptedBackend.create("b", beginEvents);
  bench.platform.list({ id: "b", address: backend.address });
  const node = await bench.startReady(1);
  t.teardown(() => Promise.all([bench.close(), backend.close()]));
  let seen = "";
  const answer = bench.call(node, { method: "POST", body: "x", onData: (text) => (seen += text) });
  await backend.waitForCalls(1);
  const { response } = backend.calls[0]!;
  response.write("id: 1\ndata: a\n\n");
  await waitUntil(() => seen !== "");
  const left = node.gateway.leave();
  response.end("id: 2\ndata: b\n\n");
  t.match(await answer, { status: 200, isComplete: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" });
  await left;
});
