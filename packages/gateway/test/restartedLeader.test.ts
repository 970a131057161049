/*
 * Guards against a leader that takes its empty memory for an empty past: instances that start after all others were killed know
 * neither their counts nor their fencing tokens, and the store may have lost them too.
 */
import t from "tap";
import { UsageCounts } from "@gladewall/gateway";
import { Failure, FailureCode } from "@gladewall/kernel";
import { StoreFault } from "@gladewall/standins";
import { Err } from "ts-results-es";
import { checkSentOrders, createCounts, LeaderTestBench, windowMs } from "./leaderTestBench.js";

// Guards against taking a checkpoint that could not be read for one that does not exist: the window was then reported with the
// counts of the new leader alone.
t.test("a new leader that cannot read the checkpoint reports nothing until it can", async (t) => {
  const bench = new LeaderTestBench();
  const first = Math.floor(bench.clock.getWallTime() / windowMs);
  const one = bench.start("one", createCounts(bench, 3));
  await bench.clock.advance(4_000);
  one.store.fault = StoreFault.Down;
  const two = bench.start("two", UsageCounts.create(), () => true, false);
  const read = two.store.read.bind(two.store);
  let failures = 0;
  two.store.read = (key) => {
    const isRefused = key === "draft" && failures < 6;
    if (isRefused) failures += 1;
    return isRefused
      ? Promise.resolve(Err(Failure.create(FailureCode.ServiceUnavailable, { detail: "refused" })))
      : read(key);
  };
  await bench.clock.advance(20_000);
  t.equal(failures, 6);
  const reported = bench.orders.taken.find(({ usage }) => usage?.window === first);
  t.same(reported?.usage?.counts, { a: 3 });
  t.equal(reported?.sender.holder, "two");
});

// Guards against an offset that only memory knows: with the stored one lost and all instances killed, the next leader began from
// revisions that had been assigned before.
t.test("fencing tokens increase if all instances are killed and the store lost the offset", async (t) => {
  const bench = new LeaderTestBench();
  const copy = bench.shared.takeSnapshot();
  for (let count = 0; count < 200; count++) bench.shared.put("other", "x");
  const one = bench.start("one", createCounts(bench, 1));
  await bench.clock.advance(12_000);
  const before = bench.orders.taken.length;
  t.ok(before > 0);
  one.store.fault = StoreFault.Down;
  bench.shared.restore(copy);
  bench.start("two", createCounts(bench, 1), () => true, false);
  await bench.clock.advance(20_000);
  t.ok(bench.orders.taken.length > before, "the next leader acts");
  checkSentOrders(t, bench);
});

// Guards against the time of day at the start, which no peer has corrected yet, as the beginning of what an instance knows: an
// instance whose clock was an hour back reported windows from before its start.
t.test(
  "a clock that is wrong at the start makes no window known, and hides none once it is corrected",
  async (t) => {
    const hourMs = 3_600_000;
    for (const ms of [-hourMs, hourMs]) {
      const bench = new LeaderTestBench();
      const counts = createCounts(bench, 1);
      const one = bench.start("one", counts);
      await bench.clock.advance(12_000);
      const copy = bench.shared.takeSnapshot();
      counts.add(Math.floor(bench.clock.getWallTime() / windowMs), "a");
      await bench.clock.advance(6_000);
      one.store.fault = StoreFault.Down;
      bench.shared.restore(copy);
      await bench.clock.advance(1_000);
      const clockError = { ms };
      bench.start("two", UsageCounts.create(), () => true, false, clockError);
      await bench.clock.advance(200);
      clockError.ms = 0;
      await bench.clock.advance(30_000);
      checkSentOrders(t, bench);
      const later = bench.orders.taken.filter(({ sender }) => sender.holder === "two");
      t.ok(later.length > 2, `later windows are reported, ${ms} ms`);
    }
  },
);

t.test("a marker that was lost by a restore makes no instance the first leader ever", async (t) => {
  const bench = new LeaderTestBench();
  const copy = bench.shared.takeSnapshot();
  const one = bench.start("one");
  await bench.clock.advance(2_000);
  t.ok(one.duties.isActing());
  one.store.fault = StoreFault.Down;
  bench.shared.restore(copy);
  const two = bench.start("two", UsageCounts.create(), () => true, false);
  await bench.clock.advance(1_200);
  t.notOk(two.duties.isActing());
  await bench.clock.advance(2_000);
  t.ok(two.duties.isActing());
});
