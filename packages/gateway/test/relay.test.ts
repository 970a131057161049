import t from "tap";
import {
  MemberMessageKind,
  PlacementRelay,
  RecentPlacements,
  type PlacementRelayMessage,
} from "@gladewall/gateway";
import { VirtualClock } from "@gladewall/kernel";
import { respondSuccess, waitUntil } from "@gladewall/standins";
import { createEngineTestBench } from "./engineTestBench.js";

function createRelay() {
  const clock = VirtualClock.create();
  const sent: [string, PlacementRelayMessage][] = [];
  const relay = PlacementRelay.create({ clock, send: (name, message) => void sent.push([name, message]) });
  return { clock, relay, sent };
}

t.test(
  "placements are relayed in batches to recent subscribers, without each subscriber's own",
  async (t) => {
    const { clock, relay, sent } = createRelay();
    relay.add("a", ["b0", 1]);
    t.equal(relay.lastNumber, 1, "numbered although there is no subscriber");
    relay.recordSubscriber("a");
    relay.recordSubscriber("c");
    relay.addProcessedParts({ b1: ["shared"] });
    relay.add("a", ["b1", 10_000]);
    relay.add("reader", ["b2", 20_000]);
    t.equal(relay.lastNumber, 3);
    await clock.advance(20);
    const message = { kind: MemberMessageKind.PlacementRelay, first: 2, read: { b1: ["shared"] } };
    t.same(sent, [
      [
        "a",
        {
          ...message,
          entries: [
            ["", 0],
            ["b2", 20_000],
          ],
        },
      ],
      [
        "c",
        {
          ...message,
          entries: [
            ["b1", 10_000],
            ["b2", 20_000],
          ],
        },
      ],
    ]);
    await clock.advance(1_600);
    relay.add("a", ["b1", 10_000]);
    await clock.advance(20);
    t.equal(sent.length, 2, "all subscriptions have expired");
  },
);

t.test("of many placements only the latest are relayed, with their own numbers", async (t) => {
  const { clock, relay, sent } = createRelay();
  relay.recordSubscriber("c");
  for (let index = 1; index <= 40; index++) relay.add("a", [`b${index}`, 1]);
  await clock.advance(20);
  t.equal(sent[0]?.[1].first, 25);
  t.equal(sent[0]?.[1].entries.at(0)?.[0], "b25");
  t.equal(sent[0]?.[1].entries.length, 16);
  t.equal(relay.lastNumber, 40);
});

t.test("prompt parts that endpoints have read are sent along with placements, up to a maximum", async (t) => {
  const { clock, relay, sent } = createRelay();
  relay.addProcessedParts({ b0: ["no subscriber"] });
  relay.recordSubscriber("c");
  const parts = Array.from({ length: 50 }, (_, index) => `p${index}`);
  relay.addProcessedParts({ b1: parts });
  relay.addProcessedParts({ b2: parts });
  await clock.advance(100);
  t.equal(sent.length, 0, "parts are not sent without a placement");
  relay.add("a", ["b1", 10_000]);
  await clock.advance(20);
  t.same(sent[0]?.[1].read, { b1: parts, b2: parts.slice(0, 14) });
  relay.add("a", ["b1", 10_000]);
  await clock.advance(20);
  t.same(sent[1]?.[1].read, {}, "parts are sent once");
});

t.test(
  "placements that a view includes are not counted twice, and another reader's placements are ignored",
  async (t) => {
    const recent = RecentPlacements.create();
    t.notOk(recent.applyRelayed("r/1", 1, [["b", 100]]), "no view yet");
    recent.recordView("r/1", 4);
    t.ok(
      recent.applyRelayed("r/1", 4, [
        ["b", 100],
        ["b", 200],
        ["", 0],
        ["c", 50],
      ]),
    );
    t.same(recent.getWork(), { b: [1, 200], c: [1, 50] });
    recent.recordView("r/1", 5);
    t.same(recent.getWork(), { c: [1, 50] });
    t.notOk(recent.applyRelayed("r/2", 9, [["b", 900]]));
    recent.recordView("r/2", 0);
    t.same(recent.getWork(), {}, "the new reader's view includes all placements");
  },
);

t.test("in a large fleet every instance knows of a long prompt and counts it once", async (t) => {
  const { bench, held } = await createEngineTestBench(t);
  const overrides = ["peers.large_fleet_interval=40", "peers.largest_mesh=2"];
  for (let index = 0; index < 6; index++) {
    await bench.startReady(1, "web", [...overrides, `peers.capacity=${index}`]);
  }
  const [sender, ...others] = bench.instances;
  await waitUntil(() => bench.instances.every(({ gateway }) => gateway.isReader || gateway.isFeedActive));
  await waitUntil(() => others.slice(2).every(({ gateway }) => gateway.isReader));
  const result = bench.call(sender!, { headers: { "x-tokens": "12000" } });
  const reportedTokens = new Set<number>();
  const isKnown = (): boolean => {
    const tokens = others.map(({ gateway }) => gateway.getPeerTokens("b"));
    for (const count of tokens) reportedTokens.add(count);
    return tokens.every((count) => count === 12_000);
  };
  await waitUntil(isKnown);
  // After some reports and views, peers count the prompt from these and no longer from its announcement.
  const sequence = sender!.gateway.peerTraffic.receivedFrames;
  await waitUntil(() => {
    isKnown();
    return sender!.gateway.peerTraffic.receivedFrames > sequence + 20;
  });
  t.ok(isKnown());
  t.same(
    [...reportedTokens].sort((one, other) => one - other),
    [0, 12_000],
  );
  t.equal(sender!.gateway.getPeerTokens("b"), 0, "an instance does not count its own prompt as a peer's");
  respondSuccess(held[0]!);
  t.equal((await result).status, 200);
});
