import t from "tap";
import {
  CounterKind,
  EventSplitter,
  LeakyBucket,
  planCapacity,
  RouteTable,
  PeerClocks,
  SharedCounters,
  SlidingWindow,
  DisciplinedClock,
  UsageCounts,
  pickWeightedTarget,
  type HallCount,
} from "@gladewall/gateway";
import { VirtualClock } from "@gladewall/kernel";
import { createRoute, createWorkspace } from "@gladewall/standins";

const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

t.test("a route is found by its host and longest prefix", async (t) => {
  const routes = ["/", "/a/", "/a/b/"].map((prefix) => createRoute({ name: prefix, prefix }));
  const table = RouteTable.create({
    version: 1,
    routes,
    services: new Map(),
    workspaces: [createWorkspace({})],
    limits,
  });
  const find = (host: string, target: string): string | undefined => table.findRoute(host, target)?.name;
  t.equal(find("app.test", "/a/b/c"), "/a/b/");
  t.equal(find("APP.test:80", "/a/b"), "/a/");
  t.equal(find("app.test", "/a?x=/a/b/"), "/");
  t.equal(find("other.test", "/a/"), undefined);
  t.equal(table.findWorkspaceByKey("key")?.name, "workspace");
  t.equal(table.findWorkspaceByKey("none"), undefined);
});

t.test("targets are picked by weight", async (t) => {
  const targets = [
    { service: "a", weight: 90 },
    { service: "b", weight: 10 },
  ];
  t.same(
    [0, 0.89, 0.9, 0.999].map((random) => pickWeightedTarget(targets, random)),
    ["a", "a", "b", "b"],
  );
});

t.test("a sliding window drops amounts that are older than its length, and no others", async (t) => {
  const window = SlidingWindow.create(8_000);
  window.add(1_000, 5);
  window.add(2_000, 7);
  t.equal(window.getSum(8_900), 12);
  t.equal(window.getSum(9_300), 7);
  t.ok(window.getTimeUntilFreed(9_300, 7) <= 1_000);
  t.equal(window.getSum(99_000), 0);
});

t.test("events are split after blank lines, whatever chunks they arrive in", async (t) => {
  const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
  for (let size = 1; size <= text.length; size++) {
    const splitter = EventSplitter.create(true);
    let out = "";
    for (let start = 0; start < text.length; start += size) {
      out += splitter.add(Buffer.from(text.slice(start, start + size))).toString();
      t.match(out, /^$|\n\r?\n$/);
    }
    t.equal(out, text);
    t.equal(splitter.lastEventId, "3");
  }
});

t.test("a peer's totals are counted once, whether reports are lost or repeated", async (t) => {
  const clock = VirtualClock.create();
  const windows = {
    [CounterKind.Quota]: 8_000,
    [CounterKind.Requests]: 8_000,
    [CounterKind.Retries]: 8_000,
    [CounterKind.PromptTokens]: 8_000,
  };
  const one = SharedCounters.create({ clock, windows });
  const two = SharedCounters.create({ clock, windows });
  two.add(CounterKind.PromptTokens, "x", 10);
  one.applyReport("two", "two/1", two.createReport());
  one.applyReport("two", "two/1", two.createReport());
  t.equal(one.getSum(CounterKind.PromptTokens, "x"), 10);
  await clock.advance(9_000);
  t.equal(one.getSum(CounterKind.PromptTokens, "x"), 0);
  two.add(CounterKind.PromptTokens, "x", 4);
  one.applyReport("two", "two/1", two.createReport());
  t.ok(Math.abs(one.getSum(CounterKind.PromptTokens, "x") - (4 * 8_000) / 9_000) < 1e-6);
  const restarted = SharedCounters.create({ clock, windows });
  restarted.applyReport("one", "one/1", one.createReport());
  t.ok(restarted.knowsHistory);
  t.ok(restarted.getSum(CounterKind.PromptTokens, "x") >= 3);
});

t.test(
  "usage is summed over incarnations of instances, and a later report of one replaces the earlier report",
  async (t) => {
    const usage = UsageCounts.create();
    usage.add(7, "a");
    usage.mergePeerCounts("n/1", { 7: { a: 2 } });
    usage.mergePeerCounts("n/1", { 7: { a: 3, b: 1 } });
    usage.mergePeerCounts("n/2", { 7: { a: 1 } });
    t.same(usage.getTotal(7), { a: 5, b: 1 });
  },
);

t.test("the time of day follows the majority of peers instead of a jump of the wall clock", async (t) => {
  const clock = VirtualClock.create();
  let step = 0;
  const stepped = {
    ...clock,
    getTime: () => clock.getTime(),
    getBootTime: () => clock.getBootTime(),
    getWallTime: () => clock.getWallTime() + step,
    startTimer: clock.startTimer.bind(clock),
  };
  const time = DisciplinedClock.create(stepped);
  const before = time.get();
  step = 2_400;
  time.adjust([0, 1, -1]);
  t.ok(Math.abs(time.get() - before) < 50);
  const late = DisciplinedClock.create(stepped);
  late.adjust([-2_400, -2_399, -2_401]);
  t.ok(Math.abs(late.get() - before) < 50);
});

t.test(
  "delayed messages do not set the time of day back, and one message is not corrected for twice",
  async (t) => {
    const clock = VirtualClock.create();
    const time = DisciplinedClock.create(clock);
    for (let turn = 0; turn < 40; turn++) {
      await clock.advance(250);
      time.adjust([-150, -180, -160]);
    }
    t.ok(Math.abs(time.get() - clock.getWallTime()) < 50);
    const peers = PeerClocks.create(clock);
    const late = DisciplinedClock.create(clock);
    for (const peer of ["a", "b", "c"]) peers.record(peer, late.get() - 2_000);
    const before = late.get();
    for (let turn = 0; turn < 4; turn++) late.adjust(peers.getOffsets(late.get()));
    t.ok(Math.abs(late.get() - (before - 2_000)) < 50);
    await clock.advance(3_000);
    t.same(peers.getOffsets(late.get()), []);
  },
);

t.test(
  "reclaimable endpoints are spread over the data halls, on-demand ones only fill what is missing",
  async (t) => {
    const scaling = {
      min: 1,
      max: 6,
      bootMs: 4_000,
      reclaimablePrice: 0.2,
      hallPrices: new Map([
        ["a", 1],
        ["b", 0.8],
      ]),
    };
    const createHall = (hall: string, change: Partial<HallCount> = {}): HallCount => ({
      hall,
      reclaimable: 0,
      onDemand: 0,
      onDemandOrdered: change.onDemand ?? 0,
      isReclaimableRefused: false,
      isReclaimableExhausted: change.isReclaimableRefused ?? false,
      ...change,
    });
    const plan = (halls: readonly HallCount[], needed: number, isReclaimableScarce = false) =>
      planCapacity({ service: "s", limits: scaling, halls, needed, isReclaimableScarce }).map(
        ({ hall, desired, isReclaimable }) => `${hall}${isReclaimable ? "r" : "d"}${desired}`,
      );
    t.same(plan([createHall("a", { onDemand: 2 }), createHall("b", { onDemand: 1 })], 4), [
      "ar2",
      "ad2",
      "br2",
      "bd1",
    ]);
    t.same(plan([createHall("a", { reclaimable: 2, onDemand: 2 }), createHall("b", { reclaimable: 2 })], 4), [
      "ar2",
      "ad0",
      "br2",
      "bd0",
    ]);
    const refusedHalls = [
      createHall("a", { isReclaimableRefused: true }),
      createHall("b", { reclaimable: 2, isReclaimableRefused: true }),
    ];
    // On-demand endpoints only make up for most of what is missing, because they are expensive.
    t.same(plan(refusedHalls, 4, true), ["ar0", "ad1", "br2", "bd0"]);
    const orderableHalls = refusedHalls.map((hall) => ({ ...hall, isReclaimableRefused: false }));
    t.same(plan(orderableHalls, 4, true), ["ar2", "ad0", "br2", "bd1"]);
  },
);

t.test("ordered on-demand endpoints are kept until enough reclaimable ones serve", async (t) => {
  const scaling = { min: 0, max: 12, bootMs: 4_000, reclaimablePrice: 0.2, hallPrices: new Map([["a", 1]]) };
  const plan = (reclaimable: number) =>
    planCapacity({
      service: "s",
      limits: scaling,
      halls: [
        {
          hall: "a",
          reclaimable,
          onDemand: 0,
          onDemandOrdered: 3,
          isReclaimableRefused: false,
          isReclaimableExhausted: false,
        },
      ],
      needed: 4,
      isReclaimableScarce: false,
    }).find(({ isReclaimable }) => !isReclaimable)?.desired;
  t.same([plan(1), plan(3), plan(4)], [3, 2, 0]);
});

t.test("in a wave of reclaims, replacements for the next data hall are ordered in advance", async (t) => {
  const scaling = { min: 0, max: 12, bootMs: 4_000, reclaimablePrice: 0.2, hallPrices: new Map([["a", 1]]) };
  const createHall = (hall: string, reclaimable: number): HallCount => ({
    hall,
    reclaimable,
    onDemand: 0,
    onDemandOrdered: 0,
    isReclaimableRefused: true,
    isReclaimableExhausted: true,
  });
  const plan = (atRisk: number) =>
    planCapacity({
      service: "s",
      limits: scaling,
      halls: [createHall("a", 0), createHall("b", 6), createHall("c", 6)],
      needed: 10,
      isReclaimableScarce: true,
      atRisk,
    })
      .filter(({ isReclaimable }) => !isReclaimable)
      .reduce((sum, { desired }) => sum + desired, 0);
  t.same([plan(0), plan(5)], [0, 0], "seven are enough for the on-demand share of ten");
  t.same([plan(9), plan(12)], [4, 7]);
});

t.test(
  "before the first load, on-demand endpoints are released as soon as orders for reclaimable ones are accepted",
  async (t) => {
    const scaling = {
      min: 0,
      max: 12,
      bootMs: 4_000,
      reclaimablePrice: 0.2,
      hallPrices: new Map([["a", 1]]),
    };
    const plan = (reclaimableOrdered: number, isLoadAwaited: boolean) =>
      planCapacity({
        service: "s",
        limits: scaling,
        halls: [
          {
            hall: "a",
            reclaimable: 0,
            reclaimableOrdered,
            onDemand: 4,
            onDemandOrdered: 4,
            isReclaimableRefused: false,
            isReclaimableExhausted: false,
          },
        ],
        needed: 4,
        isReclaimableScarce: false,
        isLoadAwaited,
      }).find(({ isReclaimable }) => !isReclaimable)?.desired;
    t.same([plan(0, true), plan(4, true), plan(4, false)], [4, 0, 4]);
  },
);

t.test(
  "a data hall full of on-demand endpoints releases surplus, and yields places to reclaimable ones once an order for them is accepted",
  async (t) => {
    const scaling = { min: 0, max: 7, bootMs: 4_000, reclaimablePrice: 0.2, hallPrices: new Map([["a", 1]]) };
    const plan = (
      needed: number,
      isReclaimableRefused: boolean,
      isReclaimableExhausted = isReclaimableRefused,
      reclaimableOrdered?: number,
    ) =>
      planCapacity({
        service: "s",
        limits: scaling,
        halls: [
          {
            hall: "a",
            reclaimable: 0,
            onDemand: 7,
            onDemandOrdered: 7,
            reclaimableOrdered,
            isReclaimableRefused,
            isReclaimableExhausted,
          },
        ],
        needed,
        isReclaimableScarce: isReclaimableRefused,
      }).map(({ desired }) => desired);
    t.same(plan(4, false), [4, 5], "no order is known to be accepted: only the surplus goes");
    t.same(plan(4, false, false, 4), [4, 4], "as many as the need can spare");
    t.same(plan(7, false, false, 7), [7, 6]);
    t.same(plan(4, true), [0, 4]);
    t.same(plan(7, true), [0, 6]);
    // The cooldown after a refusal has ended, and no order has been accepted since.
    t.same(plan(7, false, true), [7, 7]);
  },
);

t.test(
  "as long as a leaky bucket stays within its capacity, no window exceeds what capacity and rate allow",
  async (t) => {
    const bucket = LeakyBucket.create();
    bucket.setRate(0, 100);
    const taken: { readonly at: number; readonly amount: number }[] = [];
    for (let at = 0; at < 20_000; at += 37) {
      const amount = 1 + ((at * 7) % 23);
      if (bucket.getSum(at) + amount > 200) continue;
      bucket.add(at, amount);
      taken.push({ at, amount });
    }
    for (const { at: start } of taken) {
      const inWindow = taken.filter(({ at }) => at >= start && at < start + 8_000);
      t.ok(inWindow.reduce((sum, { amount }) => sum + amount, 0) <= 200 + 800);
    }
    t.equal(bucket.getTimeUntilFreed(20_000, 50), 500);
  },
);
