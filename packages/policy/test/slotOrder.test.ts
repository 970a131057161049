import t from "tap";
import fc from "fast-check";
import { type Clock, VirtualClock } from "@gladewall/kernel";
import { SlotOrder, type SlotRequest } from "@gladewall/policy";
import { createRandom, EventLoop } from "./fakeService.js";

function createRequest(id: string, fields: Partial<SlotRequest>): SlotRequest {
  return {
    ...{ id, requester: "i", workspace: "a", route: "r", rank: 0, excluded: new Set<string>() },
    ...{ arrivedAt: -300, objectiveAt: 300, deadlineAt: 1_500, ...fields },
  };
}

/** Takes all requests; the grants are recorded only on demand, since they give starved ranks precedence. */
function takeAll(order: SlotOrder, isRecorded: boolean): string[] {
  const ids: string[] = [];
  for (let next = order.take(); next; next = order.take()) {
    if (isRecorded) order.recordGrant({ ...next, isPreferred: false });
    ids.push(next.request.id);
  }
  return ids;
}

t.test("requests in time come first, then the urgent rank, then the least slack", async (t) => {
  const clock = VirtualClock.create();
  const order = SlotOrder.create(clock);
  order.setReserveMs(100);
  order.add(createRequest("late urgent", { objectiveAt: 90 }));
  order.add(createRequest("less urgent", { rank: 1, objectiveAt: 200 }));
  order.add(createRequest("more slack", { objectiveAt: 300 }));
  order.add(createRequest("less slack", { objectiveAt: 250 }));
  order.add(createRequest("becomes late", { objectiveAt: 120 }));
  order.add(createRequest("leaves", {}));
  t.ok(order.remove("leaves"));
  t.notOk(order.remove("leaves"));
  t.equal(order.inTimeCount, 4);
  await clock.advance(50);
  t.equal(order.inTimeCount, 3);
  t.equal(order.countAhead(createRequest("new", { rank: 1, arrivedAt: 50, objectiveAt: 400 })), 3);
  const expected = ["less slack", "more slack", "less urgent", "late urgent", "becomes late"];
  t.same(takeAll(order, false), expected);
});

t.test("workspaces of a rank take turns, so one with much traffic displaces nobody", async (t) => {
  const order = SlotOrder.create(VirtualClock.create());
  for (let index = 0; index < 4; index++) order.add(createRequest(`a${index}`, { objectiveAt: 100 }));
  for (let index = 0; index < 2; index++) order.add(createRequest(`b${index}`, { workspace: "b" }));
  const served = takeAll(order, true);
  t.same(served.slice(0, 4).filter((id) => id.startsWith("b")).length, 2, served.join(" "));
});

t.test("a rank or workspace under a flood keeps a quarter of the average service", async (t) => {
  const loop = new EventLoop();
  const order = SlotOrder.create(loop.clock);
  const grants = new Map<string, number>();
  let count = 0;
  function add(rank: number, workspace: string): void {
    const time = loop.clock.getTime();
    const times = { arrivedAt: time, objectiveAt: time + 300, deadlineAt: time + 1_500 };
    order.add(createRequest(`${rank}${workspace}${count++}`, { rank, workspace, ...times }));
  }
  for (let time = 0; time < 10_000; time += 5) {
    loop.run(time);
    order.takeExpired();
    add(0, "flood");
    add(0, "flood");
    if (time % 25 === 0) add(1, "less urgent");
    const next = order.take()!;
    order.recordGrant(next);
    grants.set(next.request.workspace, (grants.get(next.request.workspace) ?? 0) + 1);
  }
  const share = (grants.get("less urgent") ?? 0) / 2_000;
  t.ok(share >= 0.12 && share < 0.15, `${share} of the grants; the average of two is 0.5`);
});

t.test("the minimum share of many workspaces takes no more than a quarter of the grants", async (t) => {
  const loop = new EventLoop();
  const order = SlotOrder.create(loop.clock);
  for (let index = 0; index < 2_000; index++)
    order.add(
      createRequest(`low${index}`, { rank: 1, workspace: `w${index}`, objectiveAt: 9e9, deadlineAt: 9e9 }),
    );
  let urgent = 0;
  for (let index = 0; index < 1_000; index++) {
    loop.run(index);
    order.add(createRequest(`urgent${index}`, { objectiveAt: 9e9, deadlineAt: 9e9 }));
    const next = order.take()!;
    order.recordGrant(next);
    if (next.request.rank === 0) urgent += 1;
  }
  t.ok(urgent >= 490, `${urgent} of 1000 grants to the urgent rank`);
});

t.test("the order is that of a full sort, whatever is added and removed", async (t) => {
  const fields = fc.record({
    rank: fc.nat(2),
    objectiveAt: fc.nat(400),
    deadlineAt: fc.integer({ min: 50, max: 900 }),
  });
  fc.assert(
    fc.property(fc.array(fields, { maxLength: 60 }), fc.nat(300), fc.nat(1_000), (all, time, seed) => {
      const loop = new EventLoop();
      const clock: Clock = loop.clock;
      const order = SlotOrder.create(clock);
      order.setReserveMs(40);
      const random = createRandom(seed);
      const requests = all.map((one, index) => createRequest(String(index), one));
      for (const request of requests) order.add(request);
      const kept = requests.filter(({ id }) => random() < 0.7 || !order.remove(id));
      loop.run(time);
      const expired = new Set(order.takeExpired().map(({ id }) => id));
      if (kept.some(({ id, deadlineAt }) => expired.has(id) !== deadlineAt <= time)) return false;
      const latest = (request: SlotRequest) => order.getLatestStart(request);
      const naive = kept
        .filter(({ id }) => !expired.has(id))
        .sort(
          (left, right) =>
            Number(latest(left) < time) - Number(latest(right) < time) ||
            left.rank - right.rank ||
            latest(left) - latest(right) ||
            Number(left.id) - Number(right.id),
        );
      const taken: string[] = [];
      for (let next = order.take(); next; next = order.take()) taken.push(next.request.id);
      return taken.join() === naive.map(({ id }) => id).join() && order.size === 0;
    }),
    { numRuns: 1_000, seed: 3 },
  );
  t.pass();
});

/* Guards against a record of grants that grows for as long as a service is contended and nothing waits. */
t.test("grants that no request waited for stop counting after 2 s", async (t) => {
  const clock = VirtualClock.create();
  const order = SlotOrder.create(clock);
  const request = createRequest("first", {});
  const ranks = Array.from({ length: 10 }, (_, rank) => rank);
  for (const rank of ranks) order.recordGrant({ request: { ...request, rank }, isPreferred: false });
  t.equal(order.countMostServed(request), 40, "a quarter of the average of ten ranks");
  await clock.advance(2_100);
  order.recordGrant({ request, isPreferred: false });
  t.equal(order.countMostServed(request), 4, "one rank is left");
});
