import t from "tap";
import { PrefixIndex } from "@gladewall/gateway";
import { respondSuccess, waitUntil } from "@gladewall/standins";
import { createEngineTestBench } from "./engineTestBench.js";

/** Longer than the test lasts: whatever is known before has been told at once. */
const seldom = "peers.report_interval=10000";

t.test("a long prompt is told at once, a short one waits for the next report", async (t) => {
  const { bench, held } = await createEngineTestBench(t);
  const one = await bench.startReady(1, "web", [seldom]);
  const two = await bench.startReady(1, "web", [seldom]);
  await waitUntil(() => one.gateway.linkedPeers === 1 && two.gateway.linkedPeers === 1);
  const short = bench.call(two, { headers: { "x-tokens": "100" } });
  await waitUntil(() => held.length === 1);
  const long = bench.call(two, { headers: { "x-tokens": "12000" } });
  await waitUntil(() => one.gateway.getPeerTokens("b") > 0);
  t.equal(one.gateway.getPeerTokens("b"), 12_000);
  t.equal(two.gateway.getPeerTokens("b"), 0, "nobody is told of its own");
  await waitUntil(() => held.length === 2);
  for (const call of held) respondSuccess(call);
  t.same([(await short).status, (await long).status], [200, 200]);
});

t.test("peers are told once which endpoints read which shared parts, and go by it", async (t) => {
  const own = PrefixIndex.create();
  const peer = PrefixIndex.create();
  const parts = [
    { id: "shared", tokens: 500 },
    { id: "small", tokens: 100 },
    { id: "session", tokens: 4_000 },
    { id: "rest", tokens: 6_000 },
  ];
  own.noteSent(parts, "b");
  own.noteSent(parts, "b");
  const told = own.takeUnreported();
  t.same(told, { b: ["shared", "session"] }, "not what is small or the request's own");
  t.same(own.takeUnreported(), {}, "told once");
  peer.mergePeer(told);
  t.ok(peer.holds("session", "b"));
  t.notOk(peer.holds("rest", "b"));
  t.same(peer.takeUnreported(), {}, "and not passed on");
  peer.removeEndpoint("b");
  peer.mergePeer(told);
  t.notOk(peer.holds("session", "b"), "a late word does not bring back an endpoint that has ended");
  for (let index = 0; index < 200; index++) own.noteSent([{ id: `p${index}`, tokens: 900 }, ...parts], "b");
  t.equal(own.takeUnreported().b?.length, 64, "bounded");
});
