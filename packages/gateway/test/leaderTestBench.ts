/**
 * Instances that compete for leadership in one store, on a virtual clock.
 * @module
 */
import type { Test } from "tap";
import {
  CapacityOrders,
  LeaderTasks,
  FencedOrders,
  GatewayItems,
  PrefixFollower,
  type StoreItem,
  UsageCounts,
  UsageReporter,
} from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import { FakeMetadataStore, FakeOrderService, SharedStore, type ReceivedOrder } from "@gladewall/standins";

export const alternationWindowMs = 3_000;
export const windowMs = 5_000;
const leaseKey = "gladewall/duty";
const prefix = "gladewall/usage/";
const writeIntervalMs = 250;

/** Instances that compete for leadership in one store, on a virtual clock. */
export class LeaderTestBench {
  readonly clock = VirtualClock.create();
  readonly shared = SharedStore.create(this.clock);
  readonly orders = FakeOrderService.create();
  readonly times: { readonly at: number; readonly order: ReceivedOrder }[] = [];

  constructor() {
    const { taken } = this.orders;
    const push = taken.push.bind(taken);
    taken.push = (...items) => {
      for (const order of items) this.times.push({ at: this.clock.getTime(), order });
      return push(...items);
    };
  }

  /** Starts an instance with the given usage counts; its time of day is wrong by `clockError`. */
  start(
    name: string,
    counts: UsageCounts = UsageCounts.create(),
    isEligible = (): boolean => true,
    isFirstStart = true,
    clockError = { ms: 0 },
  ) {
    const { clock, shared } = this;
    const orders = FencedOrders.create(this.orders, Logger.createSilent());
    const store = FakeMetadataStore.create(shared, clock);
    const logger = Logger.createSilent();
    const getTimeOfDay = (): number => clock.getWallTime() + clockError.ms;
    const items = GatewayItems.create({
      store,
      clock,
      logger,
      isFirstStart,
      isWriter: () => true,
      getTimeOfDay,
    });
    const { committedWindows: windows, leases, settling } = items;
    const follower = PrefixFollower.create({
      store,
      prefix: "gladewall/",
      clock,
      logger,
      listener: {
        handlePut: (item) => items.handleItem(item.key, item),
        handleRemoved: (key, removal) => items.handleItem(key, undefined, removal),
      },
    });
    store.eras.onEraChange(() => follower.restart());
    follower.start();
    const writeDueItems = (): void => {
      items.writeDueItems();
      clock.startTimer(writeIntervalMs, writeDueItems);
    };
    writeDueItems();
    const getItem = (key: string): StoreItem | undefined => follower.getItem(key);
    const usage = UsageReporter.create({
      store,
      orders,
      clock,
      logger,
      prefix,
      windowMs,
      getTimeOfDay,
      checkpointKey: "draft",
      usage: counts,
      life: `${name}/1`,
      getItem,
      committed: windows,
      getDurableSince: () => settling.getDurableSince(),
    });
    const capacity = CapacityOrders.create({
      orders,
      clock,
      logger,
      getEndpoints: () => [],
      getNeeded: () => 0,
      isLoadAwaited: () => false,
    });
    const duties = LeaderTasks.create({
      store,
      leases,
      isFirstStart,
      clock,
      logger,
      name,
      leaseKey,
      markerKey: "gladewall/duties-begun",
      alternationWindowMs,
      usage,
      capacity,
      isEligible,
      isFenceRefused: (fence) => orders.isRefused(fence),
      isLeaseFree: () => follower.isListed && getItem(leaseKey) === undefined,
      getServices: () => [],
    });
    duties.start();
    return { duties, store, usage };
  }
}

/** Creates counts of an instance for the windows of the next seconds. */
export function createCounts(bench: LeaderTestBench, amount: number): UsageCounts {
  const counts = UsageCounts.create();
  const first = Math.floor(bench.clock.getWallTime() / windowMs);
  for (let window = first; window < first + 8; window++) {
    for (let count = 0; count < amount; count++) counts.add(window, "a");
  }
  return counts;
}

/** Returns the orders that the platform received, with time and sender. */
export function getSentOrders(bench: LeaderTestBench) {
  return bench.times.map(({ at, order }) => ({ at, ...order.sender, usage: order.usage }));
}

/**
 * Checks that fencing tokens increase, that no two leaders alternate within the window, and that no usage window is reported
 * with different counts.
 */
export function checkSentOrders(t: Pick<Test, "ok" | "notOk" | "equal">, bench: LeaderTestBench): void {
  const sentOrders = getSentOrders(bench);
  let highest = 0;
  const countsByWindow = new Map<number, Set<string>>();
  for (const [index, { at, holder, fence, usage }] of sentOrders.entries()) {
    t.ok(fence >= highest && Number.isInteger(fence), `fence ${fence} after ${highest}`);
    highest = Math.max(highest, fence);
    const successor = sentOrders.slice(index).find((act) => act.holder !== holder);
    const returned = successor && sentOrders.find((act) => act.holder === holder && act.at > successor.at);
    t.notOk(returned && returned.at - at < alternationWindowMs, `${holder} alternates with another leader`);
    if (!usage) continue;
    const reported = countsByWindow.get(usage.window) ?? new Set();
    countsByWindow.set(usage.window, reported.add(JSON.stringify(usage.counts)));
  }
  for (const [window, reported] of countsByWindow)
    t.equal(reported.size, 1, `window ${window}: ${[...reported].join(" ")}`);
}
