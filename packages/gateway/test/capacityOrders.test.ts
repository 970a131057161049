import t from "tap";
import {
  CapacityOrders,
  type CapacityOrder,
  type Endpoint,
  EndpointState,
  OrderOutcome,
} from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import { createService, FakeOrderService } from "@gladewall/standins";
import { createKnownEndpoint } from "./knownEndpoints.js";

const halls = ["a", "b", "c"];
const maxPerHall = 10;
const bootMs = 4_000;
/** Time in which a released endpoint still occupies its place. */
const drainMs = 3_000;
const stepMs = 250;

interface OrderedEndpoint {
  readonly endpoint: Endpoint;
  readonly readyAt: number;
  goneAt: number;
}

/** Data halls that carry out orders: endpoints boot and drain, and at most `maxPerHall` of them exist in one at a time. */
class FakeHalls {
  readonly clock = VirtualClock.create();
  readonly orders = FakeOrderService.create();
  isReclaimableAvailable = true;
  private readonly desired = new Map<string, number>();
  private endpoints: OrderedEndpoint[] = [];
  private count = 0;

  constructor() {
    this.orders.getCapacityOutcome = (order) => this.handleOrder(order);
  }

  /** Endpoints that an instance knows: all that serve or drain. */
  getKnown(): readonly Endpoint[] {
    const time = this.clock.getTime();
    return this.endpoints.filter(({ readyAt }) => readyAt <= time).map(({ endpoint }) => endpoint);
  }

  countServing(): number {
    return this.getKnown().filter((endpoint) => endpoint.isUsable()).length;
  }

  /** Adds endpoints that serve already. */
  addServing(isReclaimable: boolean, perHall: number): void {
    for (const hall of halls) {
      this.desired.set(getKey(hall, isReclaimable), perHall);
      for (let count = 0; count < perHall; count++) this.add(hall, isReclaimable, 0);
    }
  }

  /** Takes all reclaimable endpoints away, as the platform does where it needs them itself. */
  reclaim(): void {
    for (const entry of this.endpoints) if (entry.endpoint.record.isReclaimable) this.release(entry);
    for (const hall of halls) this.desired.set(getKey(hall, true), 0);
  }

  /** Carries out the orders: releases what is too much, and starts what is missing where there are places. */
  update(): void {
    const time = this.clock.getTime();
    this.endpoints = this.endpoints.filter(({ goneAt }) => goneAt > time);
    for (const hall of halls) {
      for (const isReclaimable of [false, true]) this.updateHall(hall, isReclaimable);
    }
  }

  private updateHall(hall: string, isReclaimable: boolean): void {
    const here = this.endpoints.filter(({ endpoint }) => endpoint.record.hall === hall);
    const own = here.filter(
      ({ endpoint, goneAt }) => endpoint.record.isReclaimable === isReclaimable && goneAt === Infinity,
    );
    const desired = this.desired.get(getKey(hall, isReclaimable)) ?? 0;
    for (const entry of own.slice(desired)) this.release(entry);
    const missing = Math.min(desired - own.length, maxPerHall - here.length);
    for (let count = 0; count < missing; count++) this.add(hall, isReclaimable, bootMs);
  }

  private add(hall: string, isReclaimable: boolean, delayMs: number): void {
    const endpoint = createKnownEndpoint({ id: `e${this.count++}`, hall, isReclaimable });
    this.endpoints.push({ endpoint, readyAt: this.clock.getTime() + delayMs, goneAt: Infinity });
  }

  private release(entry: OrderedEndpoint): void {
    if (entry.goneAt !== Infinity) return;
    entry.endpoint.state = EndpointState.Leaving;
    entry.goneAt = this.clock.getTime() + drainMs;
  }

  private handleOrder({ hall, isReclaimable, desired }: CapacityOrder): OrderOutcome {
    if (isReclaimable && desired > 0 && !this.isReclaimableAvailable) return OrderOutcome.NoneAvailable;
    this.desired.set(getKey(hall, isReclaimable), desired);
    return OrderOutcome.Taken;
  }
}

function getKey(hall: string, isReclaimable: boolean): string {
  return `${hall}/${isReclaimable}`;
}

function createOrders(platform: FakeHalls, needed: number) {
  const capacity = CapacityOrders.create({
    orders: platform.orders,
    clock: platform.clock,
    logger: Logger.createSilent(),
    getEndpoints: () => platform.getKnown(),
    getNeeded: () => needed,
    isLoadAwaited: () => false,
  });
  const hallPrices = new Map(halls.map((hall) => [hall, 1]));
  const scaling = { min: 1, max: maxPerHall, bootMs, reclaimablePrice: 0.2, hallPrices };
  const service = createService({ scaling });
  /** Runs the orders for a time and returns the smallest number of endpoints that served in it. */
  const run = async (durationMs: number): Promise<number> => {
    let least = Infinity;
    for (let elapsed = 0; elapsed < durationMs; elapsed += stepMs) {
      await capacity.step(service, () => ({ holder: "one", fence: 1 }));
      platform.update();
      await platform.clock.advance(stepMs);
      least = Math.min(least, platform.countServing());
    }
    return least;
  };
  return { capacity, run };
}

function countClass(platform: FakeHalls, isReclaimable: boolean): number {
  return platform.getKnown().filter((endpoint) => endpoint.record.isReclaimable === isReclaimable).length;
}

// Guards against a data hall without endpoints: all on-demand ones used to be released as soon as an order for reclaimable ones
// was accepted, and these take their boot time.
t.test(
  "on-demand endpoints at the maximum are replaced in steps that leave most of the need served",
  async (t) => {
    const platform = new FakeHalls();
    const needed = halls.length * maxPerHall;
    platform.addServing(false, maxPerHall);
    const { run } = createOrders(platform, needed);
    const least = await run(90_000);
    t.ok(least >= Math.ceil(needed * 0.85), `at least ${least} of ${needed} serve`);
    t.equal(countClass(platform, true), needed, "all are replaced in the end");
  },
);

// Guards against a leader that has just taken over and releases endpoints because it does not know of any refused order.
t.test("a new leader keeps on-demand endpoints while reclaimable ones are not to be had", async (t) => {
  const platform = new FakeHalls();
  const needed = 24;
  platform.addServing(false, 8);
  platform.isReclaimableAvailable = false;
  const { run, capacity } = createOrders(platform, needed);
  const least = [];
  for (let leader = 0; leader < 4; leader++) {
    capacity.reset();
    least.push(await run(1_300));
  }
  t.ok(
    least.every((count) => count >= Math.ceil(needed * 0.85)),
    `${least.join()} of ${needed} serve`,
  );
});

// Guards against a reclaim that nothing answers for seconds: an order sent shortly before counted as still under way.
t.test("reclaimed endpoints are replaced at the notice, however recently they were ordered", async (t) => {
  const platform = new FakeHalls();
  const needed = 15;
  const { run } = createOrders(platform, needed);
  await run(bootMs + 2 * stepMs);
  platform.reclaim();
  platform.isReclaimableAvailable = false;
  await run(4 * stepMs);
  const sentOnDemand = platform.orders.taken.some(
    ({ capacity: order }) => order && !order.isReclaimable && order.desired > 0,
  );
  t.ok(sentOnDemand, "on-demand endpoints are ordered before the reclaimed ones are gone");
  await run(bootMs);
  t.ok(platform.countServing() >= Math.ceil(needed * 0.7), "they serve after their boot time");
});

// Guards against reclaimable endpoints that are never ordered although the data halls have free places.
t.test("reclaimable endpoints replace on-demand ones once they are available again", async (t) => {
  const platform = new FakeHalls();
  const needed = 15;
  platform.addServing(false, 5);
  platform.isReclaimableAvailable = false;
  const { run } = createOrders(platform, needed);
  await run(5_000);
  platform.isReclaimableAvailable = true;
  const least = await run(30_000);
  t.ok(least >= needed * 0.85, `at least ${least} of ${needed} serve`);
  t.equal(countClass(platform, true), needed);
  t.equal(countClass(platform, false), 0);
});

t.test("a refused order for on-demand endpoints is not repeated with every step", async (t) => {
  const clock = VirtualClock.create();
  const orders = FakeOrderService.create();
  const sent: CapacityOrder[] = [];
  orders.getCapacityOutcome = (order) => {
    sent.push(order);
    return OrderOutcome.NoneAvailable;
  };
  const capacity = CapacityOrders.create({
    clock,
    orders,
    logger: Logger.createSilent(),
    getEndpoints: () => [],
    getNeeded: () => 2,
    isLoadAwaited: () => false,
  });
  const scaling = { min: 0, max: maxPerHall, bootMs, reclaimablePrice: 0.2, hallPrices: new Map([["a", 1]]) };
  const service = createService({ scaling });
  for (let step = 0; step < 16; step++) {
    await capacity.step(service, () => ({ holder: "one", fence: 1 }));
    await clock.advance(stepMs);
  }
  const onDemand = sent.filter((order) => !order.isReclaimable);
  t.ok(onDemand.length >= 1 && onDemand.length <= 3, `${onDemand.length} orders within 4 s`);
  t.equal(
    sent.length - onDemand.length,
    2,
    "reclaimable ones are ordered again after their own refusal only",
  );
});
