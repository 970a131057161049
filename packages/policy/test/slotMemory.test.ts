/*
 * Guards engines that bear few refusals: against prompts that do not fit beside others, long prompts that smaller ones keep waiting
 * for ever, and places that are granted again while the request of an instance that is gone still runs.
 */
import { VirtualClock } from "@gladewall/kernel";
import {
  type EndpointLoad,
  ServiceSlotScheduler,
  type SlotDecision,
  SlotOutcome,
  SlotRefusal,
  type SlotRequest,
} from "@gladewall/policy";
import t from "tap";

const slots = 8;
const tokenCapacity = 10_000;

class Bench {
  readonly clock = VirtualClock.create();
  readonly scheduler = ServiceSlotScheduler.create({
    ...{ clock: this.clock, maxWaiting: 40, getRandom: () => 0 },
  });
  private count = 0;

  constructor(term?: number) {
    this.setTerm(term);
  }

  setTerm(term: number | undefined): void {
    const common = { slots, refusalLimit: 0, tokenCapacity, term };
    this.scheduler.setEndpoints(["e", "f"].map((incarnation) => ({ incarnation, ...common })));
  }

  request(fields: Partial<SlotRequest> = {}): SlotDecision & { readonly id: string } {
    const time = this.clock.getTime();
    const id = `r${this.count++}`;
    const decision = this.scheduler.request({
      ...{ id, requester: "i", workspace: "a", route: "r", rank: 0, excluded: new Set<string>() },
      ...{ arrivedAt: time, objectiveAt: time + 1_000, deadlineAt: time + 15_000, ...fields },
    });
    return { ...decision, id };
  }

  end(id: string, load?: EndpointLoad): void {
    this.scheduler.end({ id, isRejected: false, tookMs: 50, load });
  }
}

function getEndpoint(decision: SlotDecision): string | undefined {
  return decision.outcome === SlotOutcome.Granted ? decision.endpoint : undefined;
}

function createLoad(running: number): EndpointLoad {
  return { running, waiting: 0, slots, pacePercent: undefined };
}

t.test("a prompt larger than any memory is refused at once", async (t) => {
  const decision = new Bench().request({ tokens: tokenCapacity + 1 });
  t.match(decision, { outcome: SlotOutcome.Refused, refusal: SlotRefusal.MemoryExceeded });
});

t.test("an engine gets no prompt that does not fit beside those that it has", async (t) => {
  const bench = new Bench();
  const granted = [1, 2, 3].map(() => bench.request({ tokens: 6_000 }));
  t.same(granted.map(getEndpoint).sort(), ["e", "f", undefined]);
  t.ok(getEndpoint(bench.request({ tokens: 6_000 })) === undefined, "slots alone do not make room");
  bench.end(granted[0]!.id);
  t.equal(bench.scheduler.dispatch().granted.length, 1);
});

t.test("a long prompt that waits for memory is served before shorter ones fill it again", async (t) => {
  const bench = new Bench();
  const first = Array.from({ length: 6 }, () => bench.request({ tokens: 3_300 }));
  t.ok(first.every((decision) => getEndpoint(decision) !== undefined));
  const long = bench.request({ tokens: 9_000 });
  const short = Array.from({ length: 6 }, () => bench.request({ tokens: 3_300 }));
  t.ok([long, ...short].every(({ outcome }) => outcome === SlotOutcome.Queued));
  const granted: string[] = [];
  for (const { id } of first) {
    bench.end(id);
    granted.push(...bench.scheduler.dispatch().granted.map((grant) => grant.id));
  }
  t.ok(granted.includes(long.id), "it gets a whole engine");
});

t.test("the endpoints that a request prefers come first, while they have room", async (t) => {
  const bench = new Bench();
  const endpoints = Array.from({ length: slots + 1 }, () => getEndpoint(bench.request({ preferred: ["f"] })));
  t.same(endpoints, [...Array.from({ length: slots }, () => "f"), "e"]);
});

t.test(
  "the place of an instance that is gone is free once a report shows that its request is gone",
  async (t) => {
    const bench = new Bench();
    const atE = { excluded: new Set(["f"]) };
    const held = Array.from({ length: slots }, () => bench.request(atE));
    await bench.clock.advance(200);
    for (const { id } of held.slice(0, 4)) bench.scheduler.orphan(id);
    t.ok(getEndpoint(bench.request(atE)) === undefined);
    bench.scheduler.recordLoad(held[7]!.id, createLoad(slots));
    t.equal(bench.scheduler.dispatch().granted.length, 0, "all of them still run");
    bench.scheduler.recordLoad(held[7]!.id, createLoad(4));
    for (let index = 0; index < slots; index++) bench.request(atE);
    bench.scheduler.dispatch();
    t.equal(bench.scheduler.getState().open, slots, "the four places are granted again, and no more");
  },
);

t.test("a grant at a brittle endpoint does not expire before its request", async (t) => {
  const bench = new Bench();
  const held = Array.from({ length: 2 * slots }, () => bench.request());
  await bench.clock.advance(10_000);
  bench.scheduler.dispatch();
  t.ok(getEndpoint(bench.request()) === undefined);
  t.equal(bench.scheduler.getState().open, held.length);
});

t.test("in a new term an endpoint gets one request until it has reported its load", async (t) => {
  const bench = new Bench(1);
  const atE = { excluded: new Set(["f"]) };
  const probe = bench.request(atE);
  t.equal(getEndpoint(probe), "e");
  t.equal(getEndpoint(bench.request(atE)), undefined);
  bench.scheduler.recordLoad(probe.id, createLoad(1));
  t.equal(bench.scheduler.dispatch().granted.length, 1);
  bench.setTerm(2);
  t.equal(getEndpoint(bench.request(atE)), undefined, "what runs there may not be all");
});

t.test("an endpoint that reports no load gets all its slots after a while", async (t) => {
  const bench = new Bench(1);
  bench.request();
  await bench.clock.advance(2_000);
  const more = Array.from({ length: 2 * slots - 1 }, () => bench.request());
  t.ok(more.every((decision) => getEndpoint(decision) !== undefined));
});

t.test("a place that another scheduler granted to a request that waits here counts once", async (t) => {
  const bench = new Bench();
  for (let index = 0; index < 2 * slots; index++) bench.request();
  const waiting = bench.request();
  bench.scheduler.adopt({ id: waiting.id, endpoint: "e", deadlineAt: 1_000, tokens: 0 });
  t.same(bench.scheduler.getState(), { waiting: 0, open: 2 * slots + 1 });
  await bench.clock.advance(1_001);
  bench.scheduler.dispatch();
  t.equal(bench.scheduler.getState().open, 2 * slots);
});
