/*
 * Guards against an arbiter that grants slots twice because it forgets grants, and against requests that are sent although the
 * arbiter refused them.
 */
import t from "tap";
import type { PeerLinks } from "@gladewall/coordination";
import {
  type Endpoint,
  EndpointState,
  OverloadMode,
  SlotArbiter,
  type SlotReply,
  SlotReplyKind,
} from "@gladewall/gateway";
import { Logger, LogLevel, VirtualClock } from "@gladewall/kernel";
import { ServiceSlotScheduler, SlotRefusal } from "@gladewall/policy";
import { createKnownEndpoint, soleArbiter } from "./knownEndpoints.js";

const requester = { name: "i", incarnation: 1 };
const objectiveMs = 300;

/** An arbiter of a service with endpoints that have one slot each. */
class Bench {
  readonly clock = VirtualClock.create();
  readonly endpoints: readonly Endpoint[];
  readonly arbiter: SlotArbiter;
  private count = 0;

  constructor(endpointCount: number, maxWaiting: number) {
    this.endpoints = Array.from({ length: endpointCount }, (_, index) =>
      createKnownEndpoint({ id: `e${index}`, slots: 1 }),
    );
    const links: Partial<PeerLinks> = {
      setHandler: () => undefined,
      onLinkUp: () => undefined,
      onLinkDown: () => undefined,
    };
    const { clock } = this;
    this.arbiter = SlotArbiter.create({
      clock,
      logger: Logger.create(LogLevel.Error, {}, () => undefined),
      ...soleArbiter,
      fleet: { links: links as PeerLinks, isCollector: true },
      directory: { getOfService: () => this.endpoints },
      overload: { mode: OverloadMode.On },
      createScheduler: () => ServiceSlotScheduler.create({ clock, maxWaiting, getRandom: () => 0 }),
    });
  }

  request(ageMs = 0): { readonly id: string; readonly reply: SlotReply } {
    const id = String(this.count++);
    const call = { service: "web", id, workspace: "", route: "r", rank: 0, ageMs, excluded: [] };
    const times = { objectiveMs: objectiveMs - ageMs, deadlineMs: 1_500 };
    return { id, reply: this.arbiter.request(requester, { ...call, ...times }) };
  }
}

function getEndpoint(reply: SlotReply): string | undefined {
  return reply.word === SlotReplyKind.Granted ? reply.endpoint : undefined;
}

t.test("grants of an endpoint that the arbiter cannot reach for a while stay counted", async (t) => {
  const bench = new Bench(2, 10);
  const granted = Array.from({ length: 4 }, () => getEndpoint(bench.request().reply));
  t.same(granted.sort(), ["e0", "e0", "e1", "e1"]);
  bench.endpoints[0]!.recordUnreachable(bench.clock.getTime());
  t.equal(bench.request().reply.word, SlotReplyKind.Queued);
  await bench.clock.advance(1_000);
  t.notOk(bench.endpoints[0]!.isUnreachable(bench.clock.getTime()));
  t.equal(bench.arbiter.countWaiting(), 1, "the requests there have not ended");
  bench.arbiter.close();
});

t.test("a request that gives way between two waits is refused by the next one", async (t) => {
  const bench = new Bench(1, 1);
  for (let index = 0; index < 2; index++) t.ok(getEndpoint(bench.request().reply));
  const late = bench.request(1_000);
  t.equal(late.reply.word, SlotReplyKind.Queued);
  t.equal(bench.request().reply.word, SlotReplyKind.Queued, "the late request gives way");
  const reply = await bench.arbiter.wait(requester, { service: "web", id: late.id, waitMs: 20 });
  t.match(reply, { word: SlotReplyKind.Refused, refusal: SlotRefusal.DeadlineUnreachable });
  bench.arbiter.close();
});

t.test(
  "requests that wait when the last endpoint is gone are told within the time of a review",
  async (t) => {
    const bench = new Bench(1, 10);
    for (let index = 0; index < 2; index++) t.ok(getEndpoint(bench.request().reply));
    const waiting = [bench.request(), bench.request()];
    t.equal(bench.arbiter.countWaiting(), 2);
    const reply = bench.arbiter.wait(requester, { service: "web", id: waiting[0]!.id, waitMs: 1_000 });
    bench.endpoints[0]!.state = EndpointState.Leaving;
    await bench.clock.advance(100);
    const expected = { word: SlotReplyKind.Refused, refusal: SlotRefusal.NoEndpoint };
    t.match(await reply, expected);
    const later = bench.arbiter.wait(requester, { service: "web", id: waiting[1]!.id, waitMs: 1_000 });
    t.match(await later, expected, "one that was between two waits");
    t.equal(bench.arbiter.countWaiting(), 0);
    bench.arbiter.close();
  },
);

t.test("an endpoint whose record states no slots gets no grants", async (t) => {
  const bench = new Bench(2, 10);
  const [none] = bench.endpoints;
  none!.record = { ...none!.record, slots: 0 };
  const granted = Array.from({ length: 3 }, () => getEndpoint(bench.request().reply));
  t.same(granted, ["e1", "e1", undefined]);
  bench.arbiter.close();
});
