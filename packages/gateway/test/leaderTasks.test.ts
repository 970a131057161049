import t from "tap";
import { CapacityOrders, type CapacityOrder, OrderOutcome, UsageCounts } from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import { createService, FakeOrderService, StoreFault } from "@gladewall/standins";
import {
  alternationWindowMs,
  checkSentOrders,
  createCounts,
  getSentOrders,
  LeaderTestBench,
  windowMs,
} from "./leaderTestBench.js";

t.test(
  "usage that was counted before all instances were killed is reported by the next leader",
  async (t) => {
    const bench = new LeaderTestBench();
    const first = Math.floor(bench.clock.getWallTime() / windowMs);
    const one = bench.start("one", createCounts(bench, 3));
    await bench.clock.advance(4_000);
    one.store.fault = StoreFault.Down;
    const counts = UsageCounts.create();
    counts.add(first, "a");
    bench.start("two", counts);
    await bench.clock.advance(20_000);
    const reported = bench.orders.taken.find(({ usage }) => usage?.window === first);
    t.same(reported?.usage?.counts, { a: 4 });
  },
);

t.test("a window is reported with the same counts by every leader, also after a lost response", async (t) => {
  const bench = new LeaderTestBench();
  const one = bench.start("one", createCounts(bench, 1));
  await bench.clock.advance(6_000);
  const two = bench.start("two", createCounts(bench, 2));
  await bench.clock.advance(6_000);
  t.ok(one.duties.isActing());
  one.store.fault = StoreFault.LosesResponses;
  await bench.clock.advance(6_000);
  // The first leader stops without releasing its lease.
  one.store.fault = StoreFault.Down;
  await bench.clock.advance(30_000);
  t.ok(two.duties.isActing());
  const counts = new Map<number, Set<string>>();
  for (const { usage } of bench.orders.taken) {
    if (!usage) continue;
    const reported = counts.get(usage.window) ?? new Set();
    counts.set(usage.window, reported.add(JSON.stringify(usage.counts)));
  }
  t.ok(counts.size > 6);
  for (const [window, reported] of counts) t.equal(reported.size, 1, `window ${window}`);
});

t.test(
  "fencing tokens increase with each leader, and no two alternate within the window, even if leases expire early",
  async (t) => {
    const bench = new LeaderTestBench();
    for (const name of ["one", "two", "three"]) bench.start(name);
    for (let round = 0; round < 40; round++) {
      await bench.clock.advance(700 + ((round * 977) % 3_100));
      bench.shared.endAllLeases();
    }
    const sentOrders = bench.times.map(({ at, order }) => ({ at, ...order.sender }));
    const holders = new Set(sentOrders.map(({ holder }) => holder));
    t.ok(holders.size > 1, "leadership has changed");
    let highest = 0;
    for (const { fence } of sentOrders) {
      t.ok(fence >= highest);
      highest = Math.max(highest, fence);
    }
    for (const [index, first] of sentOrders.entries()) {
      const successor = sentOrders.slice(index).find(({ holder }) => holder !== first.holder);
      const returned =
        successor && sentOrders.find(({ at, holder }) => holder === first.holder && at >= successor.at);
      t.notOk(returned && returned.at - first.at < alternationWindowMs && returned.at > successor.at);
    }
  },
);

t.test("the first leader ever acts at once; a later one waits", async (t) => {
  const bench = new LeaderTestBench();
  const one = bench.start("one");
  await bench.clock.advance(1_600);
  t.ok(one.duties.isActing());
  one.store.fault = StoreFault.Down;
  const two = bench.start("two");
  await bench.clock.advance(2_300);
  t.notOk(two.duties.isActing());
  await bench.clock.advance(3_000);
  t.ok(two.duties.isActing());
});

t.test(
  "after the store was restored, one leader acts at a time, fencing tokens increase, and windows keep their counts",
  async (t) => {
    for (const [round, tellsEra] of [true, true, false, true].entries()) {
      const bench = new LeaderTestBench();
      bench.shared.reportsEra = tellsEra;
      const one = bench.start("one", createCounts(bench, 1));
      bench.start("two", createCounts(bench, 2));
      await bench.clock.advance(4_000);
      for (let restore = 0; restore < 6; restore++) {
        const copy = bench.shared.takeSnapshot();
        for (let count = 0; count < 30; count++) bench.shared.put("other", "x");
        await bench.clock.advance(1_500 + ((restore * 1_777 + round * 977) % 6_000));
        // The leader loses its lease, and what it wrote is lost as well.
        if (restore % 3 === 1) bench.shared.endAllLeases();
        if (restore % 2 === 0) one.store.responseDelayMs = 400;
        await bench.clock.advance(restore * 300);
        bench.shared.restore(copy);
        await bench.clock.advance(100);
        one.store.responseDelayMs = 0;
      }
      await bench.clock.advance(20_000);
      checkSentOrders(t, bench);
      t.ok(getSentOrders(bench).at(-1)!.at > bench.clock.getTime() - 8_000, "some leader acts");
    }
  },
);

// Guards against reporting from the checkpoint of a snapshot, which lacks the counts that came after it.
t.test(
  "a window that was reported and lost is not reported with other counts by an instance that never knew of it",
  async (t) => {
    const bench = new LeaderTestBench();
    const counts = createCounts(bench, 1);
    const one = bench.start("one", counts);
    await bench.clock.advance(12_000);
    const copy = bench.shared.takeSnapshot();
    const window = Math.floor(bench.clock.getWallTime() / windowMs);
    counts.add(window, "a");
    await bench.clock.advance(6_000);
    t.ok(bench.orders.taken.some(({ usage }) => usage?.window === window));
    one.store.fault = StoreFault.Down;
    bench.shared.restore(copy);
    await bench.clock.advance(1_000);
    bench.start("two", UsageCounts.create(), () => true, false);
    await bench.clock.advance(30_000);
    checkSentOrders(t, bench);
    const later = bench.orders.taken.filter(({ sender }) => sender.holder === "two");
    t.ok(later.length > 2, "later windows are reported");
  },
);

// Guards against treating the first offset of a store that reports no era as one from before it reported any.
t.test("fencing tokens increase after a store that reports no era was restored", async (t) => {
  const bench = new LeaderTestBench();
  bench.shared.reportsEra = false;
  bench.start("one", createCounts(bench, 1));
  const copy = bench.shared.takeSnapshot();
  for (let count = 0; count < 200; count++) bench.shared.put("other", "x");
  await bench.clock.advance(12_000);
  bench.shared.restore(copy);
  await bench.clock.advance(20_000);
  checkSentOrders(t, bench);
});

t.test("a lease whose number was granted to another instance is given up", async (t) => {
  const bench = new LeaderTestBench();
  const copy = bench.shared.takeSnapshot();
  const one = bench.start("one");
  await bench.clock.advance(6_000);
  t.ok(one.duties.isActing());
  bench.shared.restore(copy);
  const two = bench.start("two", UsageCounts.create(), () => true, false);
  await bench.clock.advance(300);
  for (let time = 0; time < 10_000; time += 100) {
    await bench.clock.advance(100);
    t.notOk(one.duties.isActing() && two.duties.isActing(), `${time} ms`);
  }
  t.ok(one.duties.isActing() || two.duties.isActing());
  checkSentOrders(t, bench);
});

t.test("an order is sent once, and a data hall that refuses it is skipped for a while", async (t) => {
  const clock = VirtualClock.create();
  const orders = FakeOrderService.create();
  const isRefused = (order: CapacityOrder): boolean => order.isReclaimable && order.hall === "a";
  orders.getCapacityOutcome = (order) => (isRefused(order) ? OrderOutcome.NoneAvailable : OrderOutcome.Taken);
  const capacity = CapacityOrders.create({
    orders,
    clock,
    logger: Logger.createSilent(),
    getEndpoints: () => [],
    getNeeded: () => 4,
    isLoadAwaited: () => false,
  });
  const hallPrices = new Map([
    ["a", 1],
    ["b", 2],
  ]);
  const scaling = { min: 0, max: 6, bootMs: 4_000, reclaimablePrice: 0.2, hallPrices };
  const step = (): Promise<void> =>
    capacity.step(createService({ scaling }), () => ({ holder: "one", fence: 1 }));
  for (let count = 0; count < 4; count++) await step();
  const orderTexts = orders.taken.map(({ capacity: order }) =>
    order ? `${order.hall}${order.isReclaimable ? "r" : "d"}${order.desired}` : "",
  );
  t.same(
    orderTexts.filter((text) => text.startsWith("ar")),
    ["ar2"],
    "ordered once",
  );
  t.ok(orderTexts.includes("br4"), "the other data hall makes up for it");
  t.ok(
    orderTexts.some((text) => text.startsWith("ad") || text.startsWith("bd")),
    "on-demand endpoints fill what is missing",
  );
  const sentCount = orders.taken.length;
  await step();
  t.equal(orders.taken.length, sentCount, "nothing is ordered twice");
});

t.test(
  "a leader that no longer receives the whole fleet's reports stops at once, and another one follows in time",
  async (t) => {
    const bench = new LeaderTestBench();
    let isEligible = true;
    const one = bench.start("one", UsageCounts.create(), () => isEligible);
    await bench.clock.advance(7_000);
    const before = bench.times.length;
    t.ok(before > 0);
    isEligible = false;
    const two = bench.start("two");
    await bench.clock.advance(20_000);
    const later = bench.times.slice(before).map(({ order }) => order.sender.holder);
    t.ok(later.length > 0);
    t.ok(later.every((holder) => holder === "two"));
    const closed = Promise.all([one.duties.close(), two.duties.close()]);
    await bench.clock.advance(5_000);
    await closed;
  },
);

t.test(
  "a leader whose fencing token is refused sends nothing more with it and resumes with a higher one",
  async (t) => {
    const bench = new LeaderTestBench();
    const one = bench.start("one", createCounts(bench, 3));
    await bench.clock.advance(12_000);
    const before = bench.orders.taken.length;
    t.ok(before > 0);
    const outdated = bench.orders.taken.at(-1)!.sender.fence;
    bench.orders.minFence = outdated + 1;
    await bench.clock.advance(40_000);
    t.equal(bench.orders.refusedCount, 1, "only one call is refused");
    const later = bench.orders.taken.slice(before);
    t.ok(later.length > 3, "windows are reported again");
    t.ok(later.every(({ sender }) => sender.fence > outdated));
    const windows = bench.orders.taken.map(({ usage }) => usage?.window);
    t.equal(new Set(windows).size, windows.length, "no window is reported twice");
    const missing = windows.filter((window, index) => index > 0 && window !== (windows[index - 1] ?? 0) + 1);
    t.same(missing, [], "no window is left out");
    const closed = one.duties.close();
    await bench.clock.advance(5_000);
    await closed;
  },
);
