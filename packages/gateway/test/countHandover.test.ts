import t from "tap";
import { CounterKind, CountHandover, SharedCounters } from "@gladewall/gateway";
import { VirtualClock } from "@gladewall/kernel";

t.test("counts are requested from the time at which an instance becomes a collector", async (t) => {
  const handover = CountHandover.create();
  handover.setRole(false, 0);
  t.notOk(handover.isRequesting(0));
  handover.setRole(true, 500);
  handover.setRole(true, 1_400);
  t.ok(handover.isRequesting(1_500));
  t.notOk(handover.isRequesting(1_501), "if all become collectors together, no instance has the counts");
  handover.setRole(false, 2_000);
  handover.setRole(true, 3_000);
  handover.complete();
  handover.setRole(true, 3_100);
  t.notOk(handover.isRequesting(3_100));
});

t.test(
  "what a peer takes between a count handover and its first report is counted once, whatever the peer's uptime",
  async (t) => {
    const windows = { 1: 8_000, 2: 10_000, 3: 10_000, 4: 4_000 };
    const clock = VirtualClock.create();
    const create = (ownName: string): SharedCounters => SharedCounters.create({ clock, ownName, windows });
    const [old, reader] = [create("old"), create("reader")];
    await clock.advance(11_000);
    const [young, next] = [create("young"), create("next")];
    const reportTo = (receiver: SharedCounters): void => {
      receiver.applyReport("old", "old/1", old.createReport());
      receiver.applyReport("young", "young/1", young.createReport());
    };
    for (const peer of [old, young]) peer.add(CounterKind.Quota, "w", 10);
    reportTo(reader);
    const { totals } = next.createReport();
    for (const peer of [old, young]) peer.add(CounterKind.Quota, "w", 3);
    next.add(CounterKind.Quota, "w", 1);
    next.applyView(reader.createView(), totals);
    reportTo(next);
    // The reader counts the older peer's units only from after the peer's first report to it.
    t.equal(next.getKnownSum(CounterKind.Quota, "w"), reader.getKnownSum(CounterKind.Quota, "w") + 7);
    t.equal(next.reportingPeers, 2);
  },
);
