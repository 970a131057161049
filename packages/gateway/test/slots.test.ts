/*
 * Guards against endpoints that are crowded because many instances follow the same late report of load, and against requests that
 * are lost, doubled or held too long because the arbiter of the service's slots fails.
 */
import t from "tap";
import {
  isSlotCall,
  isSlotEnd,
  isSlotReply,
  isSlotWait,
  OverloadMode,
  SlotResult,
  SlotReplyKind,
} from "@gladewall/gateway";
import { createSpreadRandom } from "./stepClock.js";
import { objectiveMs, SlotFleet, SlotMessageKind, workMs } from "./slotFleet.js";

const small = { instances: 8, endpoints: 2, slots: 2 };
/** Grants that fit at both endpoints at the same time. */
const room = 6;

/** Serves requests of one instance until all slots are granted and `waiting` requests wait. */
async function fill(fleet: SlotFleet, waiting: number): Promise<Promise<void>[]> {
  const served = Array.from({ length: room + waiting }, (_, index) => fleet.serve(fleet.client, `r${index}`));
  await fleet.advance(10);
  return served;
}

t.test("grants never put more than slots + 1 requests at an endpoint", async (t) => {
  const fleet = await SlotFleet.create({ ...small, instances: 24 });
  const random = createSpreadRandom(7);
  const served: Promise<void>[] = [];
  for (let index = 0; index < 400; index++) {
    const member = fleet.members[Math.floor(random() * fleet.members.length)]!;
    served.push(fleet.serve(member, `r${index}`));
    await fleet.advance(1 + Math.floor(random() * 10));
  }
  await fleet.advance(3_000);
  await Promise.all(served);
  t.equal(fleet.answers.size, 400);
  t.equal(fleet.maxGranted, small.slots + 1);
  const direct = fleet.attempts.filter(({ hasGrant }) => !hasGrant);
  t.equal(direct.length, 0, "every request was decided by the one arbiter");
  t.equal(fleet.members.filter(({ schedulers }) => schedulers.length > 0).length, 1);
});

t.test("a request whose caller has left is cancelled at the arbiter and never sent", async (t) => {
  const fleet = await SlotFleet.create(small);
  const served = await fill(fleet, 0);
  const caller = new AbortController();
  served.push(fleet.serve(fleet.client, "left", caller));
  await fleet.advance(10);
  t.equal(fleet.arbiter.arbiter.countWaiting(), 1);
  t.equal(fleet.client.client.waiting, 1);
  caller.abort();
  await fleet.advance(3);
  t.equal(fleet.answers.get("left")?.result, SlotResult.Abandoned);
  t.equal(fleet.client.client.waiting, 0);
  t.equal(fleet.arbiter.arbiter.countWaiting(), 0);
  await fleet.advance(1_000);
  await Promise.all(served);
  t.notOk(fleet.attempts.some(({ request }) => request === "left"));
});

t.test("a grant that crosses the caller's leaving is returned", async (t) => {
  const fleet = await SlotFleet.create(small);
  const caller = new AbortController();
  const served = fleet.serve(fleet.client, "left", caller);
  await fleet.advance(3);
  t.equal(fleet.arbiter.schedulers[0]?.getState().open, 1, "granted, and the reply is on its way");
  caller.abort();
  await served;
  await fleet.advance(10);
  t.equal(fleet.arbiter.schedulers[0]?.getState().open, 0);
  t.same(fleet.attempts, []);
});

t.test("a request waits no longer than its longest wait, and is then refused", async (t) => {
  const fleet = await SlotFleet.create({ ...small, maxWaitFactor: 0.1 });
  const served = await fill(fleet, 1);
  await fleet.advance(objectiveMs * 0.1);
  t.equal(fleet.answers.get("r6")?.result, SlotResult.Refused);
  t.equal(fleet.client.countLines("slot.refused"), 1);
  await fleet.advance(1_000);
  await Promise.all(served);
  t.notOk(fleet.attempts.some(({ request }) => request === "r6"));
});

t.test("if the arbiter ends while requests wait, all are answered in time", async (t) => {
  const fleet = await SlotFleet.create(small);
  const served = await fill(fleet, 4);
  fleet.kill(fleet.arbiter);
  await fleet.advance(5);
  t.equal(fleet.answers.size, room + 4, "requests that can still be in time are sent at once");
  await fleet.advance(workMs);
  await Promise.all(served);
  t.equal(new Set(fleet.attempts.map(({ request }) => request)).size, fleet.attempts.length, "each once");
});

t.test("late requests of an arbiter that has ended call the next one", async (t) => {
  const fleet = await SlotFleet.create(small);
  fleet.losesEnds = true;
  const served = await fill(fleet, 2);
  await fleet.advance(objectiveMs);
  t.equal(fleet.answers.size, room);
  const [first] = [fleet.arbiter];
  fleet.kill(first);
  await fleet.advance(20);
  t.equal(fleet.answers.size, room + 2);
  t.ok(fleet.answers.get("r6")?.slot, "granted");
  t.not(fleet.answers.get("r6")?.arbiter, first.name);
  await fleet.advance(workMs);
  await Promise.all(served);
});

t.test(
  "if the arbiter does not answer, requests are sent directly, and its late grants are returned",
  async (t) => {
    const fleet = await SlotFleet.create(small);
    const first = fleet.serve(fleet.client, "first");
    await fleet.advance(workMs * 2);
    await first;
    const { arbiter } = fleet;
    for (const name of fleet.readers) fleet.members.find((member) => member.name === name)!.isFrozen = true;
    const served = fleet.serve(fleet.client, "second");
    await fleet.advance(objectiveMs / 8 + 1);
    t.equal(fleet.answers.get("second")?.result, SlotResult.Direct);
    t.equal(fleet.client.countLines("slot.direct"), 1);
    await fleet.advance(workMs);
    await served;
    fleet.resume(arbiter);
    await fleet.advance(10);
    t.equal(arbiter.schedulers[0]?.getState().open, 0);
  },
);

t.test("an arbiter that freezes while requests wait does not hold them", async (t) => {
  const fleet = await SlotFleet.create(small);
  const served = await fill(fleet, 2);
  const { arbiter } = fleet;
  arbiter.isFrozen = true;
  await fleet.advance(objectiveMs);
  t.equal(fleet.answers.size, room + 2);
  await fleet.advance(workMs);
  await Promise.all(served);
  t.equal(fleet.attempts.length, room + 2, "each once");
  fleet.resume(arbiter);
  await fleet.advance(10);
  t.same(arbiter.schedulers[0]?.getState(), { waiting: 0, open: 0 }, "its late grants are returned");
});

t.test("slots whose ends are lost become free again", async (t) => {
  const fleet = await SlotFleet.create(small);
  fleet.losesEnds = true;
  await Promise.all([fleet.advance(workMs + 10), ...(await fill(fleet, 0))]);
  t.equal(fleet.arbiter.schedulers[0]?.getState().open, room);
  await fleet.advance(2_100);
  t.equal(fleet.arbiter.schedulers[0]?.getState().open, 0);
  fleet.reportFull(fleet.client);
  const served = fleet.serve(fleet.client, "later");
  await fleet.advance(10);
  t.ok(fleet.answers.get("later")?.slot);
  await fleet.advance(workMs);
  await served;
});

t.test("if an instance ends, what it waits for is cancelled", async (t) => {
  const fleet = await SlotFleet.create(small);
  const served = await fill(fleet, 3);
  t.equal(fleet.arbiter.arbiter.countWaiting(), 3);
  fleet.kill(fleet.client);
  await fleet.advance(1);
  t.equal(fleet.arbiter.arbiter.countWaiting(), 0);
  t.equal(fleet.arbiter.schedulers[0]?.getState().open, room, "its requests may still run");
  await fleet.advance(2_000);
  await Promise.all(served);
});

t.test("instances of earlier builds are never called", async (t) => {
  const fleet = await SlotFleet.create({ ...small, oldBuilds: [0, 1] });
  const served = Promise.all(fleet.members.slice(2).map((member, index) => fleet.serve(member, `r${index}`)));
  await fleet.advance(200);
  await served;
  t.ok(
    fleet.attempts.every(({ hasGrant }) => hasGrant),
    "the third reader decides",
  );
  t.same(
    fleet.members.slice(0, 2).flatMap(({ received }) => received),
    [],
  );
  const old = await SlotFleet.create({ ...small, oldBuilds: [0, 1, 2] });
  const direct = old.serve(old.client, "r");
  await old.advance(workMs + 1);
  await direct;
  t.same(old.attempts, [{ request: "r", endpoint: "e0", hasGrant: false }], "without any, at once");
});

t.test("an instance that does not receive the whole fleet's reports does not decide", async (t) => {
  const fleet = await SlotFleet.create(small);
  for (const member of fleet.members) member.isCollector = false;
  const served = fleet.serve(fleet.client, "r");
  await fleet.advance(workMs + 60);
  await served;
  t.equal(fleet.answers.get("r")?.result, SlotResult.Direct);
});

t.test(
  "slots are needed only by contended services with fewer slots than instances, and only while in effect",
  async (t) => {
    const fleet = await SlotFleet.create(small);
    const { client, contention, overload, endpoints } = fleet.client;
    const { service } = fleet.createInput("r");
    t.ok(client.isNeeded(service));
    overload.mode = OverloadMode.Off;
    t.notOk(client.isNeeded(service) || client.isObserved(service));
    overload.mode = OverloadMode.Observe;
    t.notOk(client.isNeeded(service));
    t.ok(client.isObserved(service));
    overload.mode = OverloadMode.On;
    t.notOk(client.isNeeded({ ...service, engine: { slots: 1, tokenCapacity: 1 } }));
    for (const endpoint of endpoints) {
      const load = { running: 0, waiting: 0, slots: 2, pacePercent: undefined };
      endpoint.recordLoad(load, fleet.clock.getTime());
    }
    await fleet.advance(2_900);
    t.ok(contention.isContended(service), "until 3 s after the last sign");
    await fleet.advance(200);
    t.notOk(contention.isContended(service));
    t.equal(fleet.client.countLines("slot.contention-begun"), 1);
    t.equal(fleet.client.countLines("slot.contention-ended"), 1);
    contention.recordRejection(service.name);
    t.ok(contention.isContended(service), "a refusal by an endpoint is a sign");
    const wide = await SlotFleet.create({ ...small, slots: 4 });
    t.notOk(wide.client.contention.isContended(service), "as many slots as instances");
  },
);

t.test("observed decisions delay nothing and leave nothing at the arbiter", async (t) => {
  const fleet = await SlotFleet.create({ ...small, mode: OverloadMode.Observe });
  const observed = Array.from({ length: room + 2 }, (_, index) =>
    fleet.client.client.observe(fleet.createInput(`r${index}`)),
  );
  await fleet.advance(10);
  t.same(fleet.arbiter.schedulers[0]?.getState(), { waiting: 0, open: room });
  t.equal(fleet.client.countLines("slot.observed"), room + 2);
  t.match(fleet.client.lines.at(-1), /word=Queued/);
  for (const { end } of observed) end();
  await fleet.advance(10);
  t.same(fleet.arbiter.schedulers[0]?.getState(), { waiting: 0, open: 0 });
});

t.test("queues of services without requests are dropped after a minute", async (t) => {
  const fleet = await SlotFleet.create(small);
  const served = fleet.serve(fleet.client, "r");
  await fleet.advance(workMs + 10);
  await served;
  const { arbiter } = fleet;
  await fleet.advance(125_000);
  fleet.reportFull(fleet.client);
  const later = fleet.serve(fleet.client, "later");
  await fleet.advance(workMs + 10);
  await later;
  t.equal(arbiter.schedulers.length, 2, "a new queue");
});

t.test("incomplete messages of peers are recognized", async (t) => {
  const call = {
    ...{ kind: SlotMessageKind.Call, service: "s", id: "1", workspace: "", route: "r", rank: 0 },
    ...{ ageMs: 0, objectiveMs: -5, deadlineMs: 10, excluded: ["e"] },
  };
  t.ok(isSlotCall(call));
  for (const wrong of [{ rank: NaN }, { excluded: [1] }, { excluded: "e" }, { deadlineMs: "1" }, { id: 1 }])
    t.notOk(isSlotCall({ ...call, ...wrong }), JSON.stringify(wrong));
  t.notOk(isSlotCall({ ...call, excluded: Array.from({ length: 65 }, String) }), "more than fit");
  t.ok(isSlotWait({ service: "s", id: "1", waitMs: 1 }));
  t.notOk(isSlotWait({ service: "s", id: "1", waitMs: -1 }));
  const end = {
    service: "s",
    id: "1",
    isCancelled: false,
    isRejected: false,
    tookMs: undefined,
    load: undefined,
  };
  t.ok(isSlotEnd(end));
  t.notOk(isSlotEnd({ kind: SlotMessageKind.End }), "an announcement");
  t.notOk(isSlotEnd({ ...end, load: { running: -1, waiting: 0, slots: 1 } }));
  t.ok(isSlotReply({ word: SlotReplyKind.Unknown }));
  t.ok(isSlotReply({ word: SlotReplyKind.Refused, arbiter: "a", refusal: 3, retryAfterMs: 5 }));
  for (const wrong of [undefined, 1, {}, { word: 1, arbiter: "a" }, { word: 2, arbiter: "a", waitMs: NaN }])
    t.notOk(isSlotReply(wrong), JSON.stringify(wrong));
  for (const refusal of [99, "QueueFull", undefined])
    t.notOk(isSlotReply({ word: SlotReplyKind.Refused, arbiter: "a", refusal }), String(refusal));
});

t.test("a request that may be sent to no endpoint that the arbiter knows is sent directly", async (t) => {
  const fleet = await SlotFleet.create(small);
  const excluded = ["e0", "e1"];
  const answer = fleet.client.client.acquire(
    { ...fleet.createInput("r"), excluded },
    new AbortController().signal,
  );
  await fleet.advance(10);
  t.equal((await answer).result, SlotResult.Direct, "its instance knows another endpoint");
});

t.test("a grant is returned at whatever moment the caller leaves", async (t) => {
  for (let turns = 0; turns < 20; turns++) {
    const fleet = await SlotFleet.create(small);
    const first = fleet.serve(fleet.client, "first");
    await fleet.advance(workMs * 2);
    await first;
    const caller = new AbortController();
    const answer = fleet.arbiter.client.acquire(fleet.createInput("left"), caller.signal);
    for (let turn = 0; turn < turns; turn++) await Promise.resolve();
    caller.abort();
    (await answer).slot?.end();
    await fleet.advance(10);
    t.equal(fleet.arbiter.schedulers[0]?.getState().open, 0, `after ${turns} turns`);
  }
});
