import t from "tap";
import { PrefixIndex } from "@gladewall/gateway";
import { respondSuccess, waitUntil } from "@gladewall/standins";
import { createEngineTestBench } from "./engineTestBench.js";

/** Longer than the test lasts, so that what arrives at a peer earlier was not sent in a report. */
const noReports = "peers.report_interval=10000";

t.test("a long prompt is sent to peers immediately, a short one with the next report", async (t) => {
  const { bench, held } = await createEngineTestBench(t);
  const one = await bench.startReady(1, "web", [noReports]);
  const two = await bench.startReady(1, "web", [noReports]);
  await waitUntil(() => one.gateway.linkedPeers === 1 && two.gateway.linkedPeers === 1);
  const short = bench.call(two, { headers: { "x-tokens": "100" } });
  await waitUntil(() => held.length === 1);
  const long = bench.call(two, { headers: { "x-tokens": "12000" } });
  await waitUntil(() => one.gateway.getPeerTokens("b") > 0);
  t.equal(one.gateway.getPeerTokens("b"), 12_000);
  t.equal(two.gateway.getPeerTokens("b"), 0, "its own prompt is not sent back to it");
  await waitUntil(() => held.length === 2);
  for (const call of held) respondSuccess(call);
  t.same([(await short).status, (await long).status], [200, 200]);
});

t.test(
  "which endpoints have processed which shared prompt parts is sent to peers once, and used by them",
  async (t) => {
    const ownIndex = PrefixIndex.create();
    const peer = PrefixIndex.create();
    const parts = [
      { id: "shared", tokens: 500 },
      { id: "small", tokens: 100 },
      { id: "session", tokens: 4_000 },
      { id: "rest", tokens: 6_000 },
    ];
    ownIndex.recordProcessed(parts, "b");
    ownIndex.recordProcessed(parts, "b");
    const sent = ownIndex.takeUnreported();
    t.same(sent, { b: ["shared", "session"] }, "neither small parts nor the request's own part");
    t.same(ownIndex.takeUnreported(), {}, "sent once");
    peer.mergePeer(sent);
    t.ok(peer.holds("session", "b"));
    t.notOk(peer.holds("rest", "b"));
    t.same(peer.takeUnreported(), {}, "received parts are not sent on");
    peer.removeEndpoint("b");
    peer.mergePeer(sent);
    t.notOk(peer.holds("session", "b"), "a late report does not restore an endpoint that was removed");
    for (let index = 0; index < 200; index++)
      ownIndex.recordProcessed([{ id: `p${index}`, tokens: 900 }, ...parts], "b");
    t.equal(ownIndex.takeUnreported().b?.length, 64, "the number of parts in a report is bounded");
  },
);
