import t from "tap";
import { CallKind, ServiceBudget } from "@gladewall/coordination";
import { FailureCode, Metrics, VirtualClock } from "@gladewall/kernel";
import { MemoryKeyValue } from "@gladewall/standins";

t.test(
  "calls stay within the rate, urgent kinds go first, and a call that waits too long fails without being made",
  async (t) => {
    const clock = VirtualClock.create();
    const service = MemoryKeyValue.create(clock);
    const budget = ServiceBudget.create(clock, 10, 1_000, Metrics.create());
    const order: string[] = [];
    const read = async (kind: CallKind): Promise<void> => {
      const read = await budget.wrap(service, kind).read("k");
      order.push(read.isOk() ? CallKind[kind] : FailureCode[read.error.code]);
    };
    const burst = Array.from({ length: 10 }, () => read(CallKind.Other));
    const waiting = [...Array.from({ length: 12 }, () => read(CallKind.Other)), read(CallKind.Lease)];
    await clock.advance(5_000);
    await Promise.all([...burst, ...waiting]);
    t.equal(order[10], "Lease");
    t.ok(service.calls <= 20, `${service.calls} calls`);
    t.ok(order.includes("ServiceBudgetSpent"));
  },
);
