/*
 * Guards against limits of endpoints that end with the instances that knew them. Each of 32 instances that were killed twice within a
 * window sent an endpoint requests until its first response, 1.15 of what the endpoint accepts in all.
 */
import t from "tap";
import {
  AvailabilityCache,
  type EndpointDirectory,
  EndpointLimits,
  LimitItem,
  limitsKey,
} from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import {
  type EndpointRequest,
  FakePlatform,
  GatewayTestBench,
  respondSuccess,
  ScriptedEndpoint,
  waitUntil,
} from "@gladewall/standins";
import { createKnownEndpoint } from "./knownEndpoints.js";

const stepMs = 250;
const loosenedMs = 30_000;
/** Time in which an item of any size is written. */
const settledMs = 60_000;
const mostKept = 200;

/** Creates an instance's limits of some endpoints and the item that keeps them, in a store that is read at once. */
function createKept(count: number, clock = VirtualClock.create(), platform = FakePlatform.create(clock)) {
  const logger = Logger.createSilent();
  const endpoints = new Map(
    Array.from({ length: count }, (_, index) => {
      const endpoint = createKnownEndpoint({ id: `e${index}` });
      return [endpoint.incarnation, endpoint] as const;
    }),
  );
  const known: Partial<EndpointDirectory> = {
    availabilities: AvailabilityCache.create(clock),
    find: (incarnation) => endpoints.get(incarnation),
    getAvailability: (incarnation) => endpoints.get(incarnation)!.availability,
  };
  const limits = EndpointLimits.create({ clock, logger, directory: known as EndpointDirectory });
  const { shared } = platform;
  const { store } = platform.createAdapter();
  let isListed = false;
  const item = LimitItem.create({
    store,
    clock,
    logger,
    limits,
    isWriter: () => true,
    isListed: () => isListed,
  });
  item.handleItem(limitsKey, shared.entries.get(limitsKey));
  isListed = true;
  const lives = [...endpoints.keys()];
  const respond = (index: number, perSecond: number | undefined): void =>
    limits.handleResponse(
      endpoints.get(lives[index]!)!,
      perSecond === undefined ? undefined : { perSecond },
      {
        requestId: "r",
        status: 200,
        sentAt: clock.getTime(),
      },
    );
  const reconcileFor = async (forMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < forMs; passedMs += stepMs) {
      item.reconcile();
      await clock.advance(stepMs);
    }
  };
  const readItem = (): Readonly<Record<string, number>> => {
    const value = shared.entries.get(limitsKey)?.value;
    const { limits: read } = JSON.parse(value ? Buffer.from(value).toString() : '{"limits":[]}') as {
      limits: { life: string; perSecond: number }[];
    };
    return Object.fromEntries(read.map(({ life, perSecond }) => [life, perSecond]));
  };
  const getLimit = (index: number) => endpoints.get(lives[index]!)!.availability.limit.perSecond;
  return { platform, clock, shared, item, limits, lives, respond, reconcileFor, readItem, getLimit };
}

t.test("limits are written when they begin or fall, and later when they rise or end", async (t) => {
  const { shared, lives, clock, respond, reconcileFor, readItem } = createKept(2);
  const [first, second] = lives as [string, string];
  respond(0, 20);
  await reconcileFor(stepMs);
  t.same(readItem(), { [first]: 20 });
  await reconcileFor(2 * loosenedMs);
  t.equal(shared.writes, 1, "nothing is written while nothing changes");
  respond(0, 8);
  await reconcileFor(stepMs);
  t.same(readItem(), { [first]: 8 });
  for (const perSecond of [9, 16, 8, 12]) {
    respond(0, perSecond);
    await reconcileFor(loosenedMs);
  }
  t.equal(shared.writes, 2, "a limit of up to twice the kept one is not written");
  respond(0, 40);
  respond(1, 0);
  await reconcileFor(stepMs);
  t.same(readItem(), { [first]: 40, [second]: 0 });
  for (let round = 0; round < 10; round++) {
    await clock.advance(1);
    respond(1, undefined);
    await reconcileFor(stepMs);
    await clock.advance(1);
    respond(1, 0);
    await reconcileFor(stepMs);
  }
  t.equal(shared.writes, 3, "a limit that ends and begins again is not written");
  await clock.advance(1);
  respond(0, undefined);
  respond(1, undefined);
  await reconcileFor(loosenedMs + stepMs);
  t.same(readItem(), {});
  t.notOk(shared.entries.has(limitsKey));
  t.equal(shared.writes, 4);
});

t.test("an item has at most 200 limits, and its writes are spread", async (t) => {
  const { shared, respond, reconcileFor, readItem } = createKept(mostKept + 50);
  for (let index = 0; index < mostKept + 50; index++) respond(index, 20);
  await reconcileFor(settledMs);
  t.equal(Object.keys(readItem()).length, mostKept);
  t.equal(shared.writes, 1, "a full item is not written over and over");
  const bytes = shared.entries.get(limitsKey)!.value.length;
  for (let seconds = 0; seconds < 60; seconds++) {
    for (let index = 0; index < mostKept + 50; index++) respond(index, 20 / (seconds + 2));
    await reconcileFor(1_000);
  }
  t.ok((shared.writes - 1) * bytes <= 1_000 * 60 + 2 * bytes, `${shared.writes} writes of ${bytes} bytes`);
});

t.test("an instance that starts takes over the limits in the store", async (t) => {
  const before = createKept(3);
  before.respond(0, 20);
  before.respond(1, 0);
  await before.reconcileFor(stepMs);
  const { item, limits, lives, shared, clock, respond, reconcileFor, getLimit } = createKept(
    3,
    before.clock,
    before.platform,
  );
  t.same([0, 1, 2].map(getLimit), [20, 0, undefined]);
  t.ok(limits.mergePeer({ life: lives[0]!, ageMs: 60_000 }, "peer"), "a peer knows that it ended before");
  await clock.advance(1);
  respond(1, undefined);
  t.same([0, 1, 2].map(getLimit), [undefined, undefined, undefined]);
  item.handleItem(limitsKey, shared.entries.get(limitsKey));
  t.same([0, 1, 2].map(getLimit), [undefined, undefined, undefined], "later reads restore nothing");
  await reconcileFor(loosenedMs - stepMs);
  t.equal(shared.writes, 1, "an instance that has just started does not drop limits yet");
  await reconcileFor(2 * stepMs);
  t.notOk(shared.entries.has(limitsKey));
});

t.test("an instance takes over no more limits than it would write", (t) => {
  const before = createKept(mostKept + 50);
  const limits = before.lives.map((life) => ({ life, perSecond: 1 }));
  before.shared.put(limitsKey, JSON.stringify({ limits }));
  const { lives, getLimit } = createKept(mostKept + 50, before.clock, before.platform);
  t.equal(lives.filter((_, index) => getLimit(index) !== undefined).length, mostKept);
  t.end();
});

t.test("an item that is not readable is passed over, and written again", async (t) => {
  const { item, shared, lives, respond, reconcileFor, readItem, getLimit } = createKept(1);
  for (const text of ["{", '{"limits":[{"life":"e0","perSecond":-1}]}', '{"limits":[{"perSecond":1}]}']) {
    shared.put(limitsKey, text);
    item.handleItem(limitsKey, shared.entries.get(limitsKey));
    t.equal(getLimit(0), undefined);
  }
  respond(0, 20);
  await reconcileFor(stepMs);
  t.same(readItem(), { [lives[0]!]: 20 });
});

t.test(
  "an instance knows the limit of an endpoint before its first request after all were killed",
  async (t) => {
    const perSecond = 2;
    const limited = await ScriptedEndpoint.create("limited", (call: EndpointRequest) => {
      call.response.setHeader("x-limit", String(perSecond));
      respondSuccess(call);
    });
    const bench = GatewayTestBench.create();
    t.teardown(() => Promise.all([bench.close(), limited.close()]));
    bench.platform.configure({});
    bench.platform.putEndpoint({ id: "limited", address: limited.address });
    const first = await bench.startReady(1);
    t.equal((await bench.call(first)).status, 200);
    await waitUntil(() => bench.platform.shared.entries.has(limitsKey));
    await first.gateway.close();
    const second = await bench.startReady(1, "web", ["instance.first_start=false"]);
    const metrics = await bench.readMetrics(second);
    t.match(metrics, "gladewall_limited_endpoints 1");
    t.match(metrics, `gladewall_limited_requests_per_second ${perSecond}`);
  },
);
