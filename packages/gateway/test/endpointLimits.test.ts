/*
 * Guards against ignored limits. Overloaded endpoints advertise in their responses how many requests a second they accept of all
 * instances together. Because nothing read that, two endpoints that advertised one a second got 12 within four seconds, where 11
 * are tolerated, no log line mentioned it, and every request.served still had candidates=6, all endpoints of the service. Seven
 * instances sent the 12 requests, none more than four, so instances that each kept to the limit by themselves would have sent as
 * many.
 */
import t, { type Test } from "tap";
import {
  Arbiters,
  EndpointDirectory,
  EndpointLimit,
  EndpointLimits,
  LimitChange,
  PermitIssuer,
  PermitClient,
  parseAdvertisedLimit,
} from "@gladewall/gateway";
import { Logger, LogLevel, VirtualClock } from "@gladewall/kernel";
import {
  type BenchInstance,
  type CallResult,
  type EndpointRequest,
  type EndpointScript,
  GatewayTestBench,
  ScriptedEndpoint,
  FakePlatform,
  respondSuccess,
  respondNotRun,
  getAllowedArrivals,
  getMaxArrivals,
  waitUntil,
} from "@gladewall/standins";
import { largeFleet } from "./crashingEndpoints.js";
import { createKnownEndpoint } from "./knownEndpoints.js";

/** Responds successfully and advertises a limit; records when requests arrive. */
function createLimited(perSecond: number) {
  const arrivals: number[] = [];
  const script = (call: EndpointRequest): void => {
    arrivals.push(performance.now());
    call.response.setHeader("x-limit", String(perSecond));
    respondSuccess(call);
  };
  const getMaxArrivalsInWindow = (): number => getMaxArrivals(arrivals);
  return { script, getMaxArrivalsInWindow, arrivals };
}

/** Starts instances, one endpoint that advertises a limit and has responded to one of them, and other endpoints without a limit. */
async function startLimited(
  t: Pick<Test, "teardown">,
  instanceCount: number,
  perSecond: number,
  others: number,
  isLarge = false,
) {
  const bench = GatewayTestBench.create();
  bench.platform.configure({});
  const limited = createLimited(perSecond);
  const endpoints = [await ScriptedEndpoint.create("limited", limited.script)];
  const list = ({ id, address }: ScriptedEndpoint): void => bench.platform.putEndpoint({ id, address });
  endpoints.forEach(list);
  for (let index = 0; index < instanceCount; index++) {
    await bench.startReady(1, "web", isLarge ? [...largeFleet, `peers.capacity=${index}`] : []);
  }
  const isConnected = ({ gateway }: BenchInstance): boolean =>
    isLarge ? gateway.isReader || gateway.isFeedActive : gateway.linkedPeers === instanceCount - 1;
  await waitUntil(() => bench.instances.every(isConnected));
  t.teardown(() => Promise.all([bench.close(), ...endpoints.map((endpoint) => endpoint.close())]));
  await bench.call(bench.instances[0]!);
  for (let index = 0; index < others; index++) endpoints.push(await ScriptedEndpoint.create(`good${index}`));
  endpoints.slice(1).forEach(list);
  await waitUntil(() =>
    bench.instances.every(({ gateway }) => gateway.countEndpoints("web") === endpoints.length),
  );
  const callAll = async (rounds: number): Promise<readonly CallResult[]> => {
    const responses: CallResult[] = [];
    for (let round = 0; round < rounds; round++) {
      responses.push(...(await Promise.all(bench.instances.map((instance) => bench.call(instance)))));
    }
    return responses;
  };
  return { bench, limited, endpoint: endpoints[0]!, callAll };
}

t.test("all instances together send an endpoint no more than the limit that it advertises", async (t) => {
  for (const [instances, perSecond] of [
    [1, 1],
    [4, 1],
    [4, 0],
    [4, 5],
  ] as const) {
    const { limited, callAll } = await startLimited(t, instances, perSecond, 1);
    const responses = await callAll(240 / instances);
    const report = `${instances} instances, ${perSecond} a second: ${limited.getMaxArrivalsInWindow()} in a window`;
    t.ok(limited.getMaxArrivalsInWindow() <= getAllowedArrivals(perSecond), report);
    t.ok(
      responses.every(({ status }) => status === 200),
      "other endpoints serve what it does not accept",
    );
  }
});

t.test("the same holds if instances learn of each other only from readers", async (t) => {
  const { limited, callAll } = await startLimited(t, 6, 1, 1, true);
  const responses = await callAll(40);
  t.ok(limited.getMaxArrivalsInWindow() <= getAllowedArrivals(1), String(limited.getMaxArrivalsInWindow()));
  t.ok(responses.every(({ status }) => status === 200));
});

t.test("if every endpoint advertises a limit, callers are refused at once with a Retry-After", async (t) => {
  const { bench, limited, callAll } = await startLimited(t, 3, 0.5, 0);
  const responses = await callAll(60);
  const refused = responses.filter(({ status }) => status === 503);
  t.ok(limited.getMaxArrivalsInWindow() <= getAllowedArrivals(0.5), String(limited.getMaxArrivalsInWindow()));
  t.ok(refused.length > 150, String(refused.length));
  for (const { headers } of refused) t.ok(Number(headers["retry-after"]) >= 0.3);
  const metrics = await bench.readMetrics(bench.instances[0]!);
  t.match(metrics, /gladewall_limited_endpoints 1\n/);
  t.match(metrics, /gladewall_permit_asks_total\{word="refused"\} \d+/);
});

t.test("only a response that served a request ends a limit", async (t) => {
  const { bench, endpoint } = await startLimited(t, 1, 1_000, 0);
  const [instance] = bench.instances;
  const isLimited = async (script: EndpointScript): Promise<boolean> => {
    const known = endpoint.requests.length;
    endpoint.script = script;
    while (endpoint.requests.length === known) await bench.call(instance!);
    return (await bench.readMetrics(instance!)).includes("gladewall_limited_endpoints 1");
  };
  t.ok(await isLimited(respondNotRun), "a refusal without a limit");
  t.ok(
    await isLimited(({ id, response }) => {
      response.writeHead(500, { "x-id": id, "content-length": 0 });
      response.end();
    }),
    "a failure without a limit",
  );
  t.notOk(await isLimited(respondSuccess));
});

/** Times of a response: when its request was sent, and when it was received. */
function at(sentAt: number, receivedAt: number) {
  return { sentAt, receivedAt };
}

t.test("responses that overtake each other neither end a limit nor restore it", async (t) => {
  const limit = EndpointLimit.create();
  t.equal(limit.recordOmitted(0), LimitChange.None);
  t.equal(limit.recordAdvertised(5, at(10, 20)), LimitChange.Begun);
  t.equal(limit.recordOmitted(15), LimitChange.None, "sent before the limit was received");
  t.equal(
    limit.recordAdvertised(8, at(15, 30)),
    LimitChange.None,
    "not raised by a response to a request sent before",
  );
  t.equal(limit.recordAdvertised(3, at(15, 35)), LimitChange.Changed, "but lowered");
  t.equal(limit.recordAdvertised(9, at(40, 50)), LimitChange.Changed);
  t.equal(limit.perSecond, 9);
  t.equal(limit.recordOmitted(50), LimitChange.None);
  t.equal(limit.recordOmitted(51), LimitChange.Ended);
  t.equal(
    limit.recordAdvertised(9, at(45, 50)),
    LimitChange.None,
    "a response from before the end, reported late",
  );
  t.equal(limit.recordAdvertised(9, at(45, 60)), LimitChange.Begun, "a response from after it");
});

t.test(
  "permits expire after a short time, and a refusal holds back all but more urgent requests",
  async (t) => {
    const limit = EndpointLimit.create();
    limit.recordAdvertised(1, at(0, 0));
    t.ok(limit.mayRequestPermits(0, 3));
    t.equal(limit.beginPermitCall(), 1);
    t.notOk(limit.mayRequestPermits(1, 0), "one request to the issuer at a time");
    limit.endPermitCall({ permits: 1, waitMs: 0 }, 3, 10);
    t.ok(limit.mayRequestPermits(20, 3));
    t.notOk(limit.tryUsePermit(300), "expired");
    limit.beginPermitCall();
    limit.endPermitCall({ permits: 0, waitMs: 1_000 }, 3, 310);
    t.notOk(limit.mayRequestPermits(320, 3));
    t.ok(limit.mayRequestPermits(320, 2));
    t.equal(limit.getWaitMs(320), 990);
    t.ok(limit.mayRequestPermits(1_310, 3));
  },
);

t.test("limits are decimal numbers; the lowest of several counts; other values are rejected", async (t) => {
  const readable: Readonly<Record<string, number>> = {
    0: 0,
    "1.5": 1.5,
    " 2 ": 2,
    "3.": 3,
    ".5": 0.5,
    "4, 2": 2,
  };
  for (const [text, perSecond] of Object.entries(readable))
    t.equal(parseAdvertisedLimit(text), perSecond, text);
  const infinite = "9".repeat(400);
  for (const text of ["", "-1", "1e3", "NaN", "Infinity", "1 s", "1,", "1, x", "0x10", infinite]) {
    t.equal(parseAdvertisedLimit(text), undefined, text.slice(0, 10));
  }
});

/** Creates a directory without records, and its limits. */
function createLimits(lines: string[]) {
  const clock = VirtualClock.create(1_000);
  const logger = Logger.create(LogLevel.Info, {}, (line) => lines.push(line));
  const directory = EndpointDirectory.create({
    platform: FakePlatform.create(clock).createAdapter(),
    clock,
    logger,
    getTimeSinceTrouble: () => Infinity,
    watchWaitMs: 600,
    unlistedMs: 400,
  });
  return { clock, directory, limits: EndpointLimits.create({ clock, logger, directory }) };
}

t.test(
  "a limit belongs to an incarnation: it survives its record and malformed values; the next incarnation has none",
  async (t) => {
    const lines: string[] = [];
    const { clock, directory, limits } = createLimits(lines);
    const source = { requestId: "r", status: 200 };
    const endpoint = createKnownEndpoint({ id: "e", born: 1 });
    limits.handleResponse(endpoint, { perSecond: 2 }, { ...source, sentAt: clock.getTime() });
    await clock.advance(10);
    limits.handleResponse(
      endpoint,
      { perSecond: undefined, unreadable: "soon" },
      { ...source, sentAt: clock.getTime() },
    );
    t.equal(directory.availabilities.find(endpoint.incarnation)?.limit.perSecond, 2);
    t.match(lines.at(-1), /endpoint.limit-unreadable .*text=soon/);
    t.equal(directory.availabilities.find(createKnownEndpoint({ id: "e", born: 2 }).incarnation), undefined);
    const report = limits.get(endpoint.incarnation);
    t.match(report, { life: endpoint.incarnation, perSecond: 2, ageMs: 10 });
    const peer = createLimits([]);
    t.equal(peer.limits.mergePeer(report, "i2"), true);
    t.equal(peer.limits.mergePeer(report, "i2"), false, "reported again, it is not relayed");
    t.equal(
      peer.limits.mergePeer({ life: endpoint.incarnation, ageMs: 20 }, "i3"),
      false,
      "an end from before the limit",
    );
    t.equal(peer.limits.mergePeer({ life: endpoint.incarnation, ageMs: 5 }, "i3"), true);
  },
);

t.test("a limit does not hide a hold-off of its endpoint", async (t) => {
  const endpoint = createKnownEndpoint({ id: "e" });
  const { availability } = endpoint;
  availability.recordLimit(2, at(0, 0), 0);
  t.ok(endpoint.acceptsRequest(1));
  availability.recordHoldOff(1_000, 1);
  t.notOk(endpoint.acceptsRequest(500));
  t.notOk(endpoint.acceptsPermitted(500), "nor with a permit");
  t.equal(availability.getWaitMs(500), 501);
  t.equal(availability.clearLimit(600), LimitChange.Ended);
  t.notOk(endpoint.acceptsRequest(700), "the end of the limit is not the end of the hold-off");
  t.ok(endpoint.acceptsRequest(1_001));
  availability.beginAttempt();
  t.notOk(endpoint.acceptsRequest(1_002), "one request goes first");
});

/** Creates the permit client of one instance in a fleet without an issuer. */
function createIssuerlessClient(fleetSize: number) {
  const { clock, limits } = createLimits([]);
  const client = PermitClient.create({
    ownName: "i1",
    clock,
    logger: Logger.createSilent(),
    metrics: { countPermit: () => undefined },
    limits,
    issuer: PermitIssuer.create({ clock, logger: Logger.createSilent(), getRandom: () => 0 }),
    arbiters: Arbiters.create({
      clock,
      logger: Logger.createSilent(),
      ownName: "i1",
      getReaders: () => ["i2", "i3"],
      isLinked: () => true,
      call: () => Promise.reject(new Error("no arbiter may be called")),
    }),
    canIssuePermits: () => false,
    getFleetSize: () => fleetSize,
  });
  const endpoint = createKnownEndpoint({ id: "e" });
  endpoint.availability.recordLimit(1, at(0, 0), 0);
  const request = { id: "r", rank: 0, leftMs: 5_000 };
  const countIn = async (seconds: number): Promise<number> => {
    let taken = 0;
    for (let turn = 0; turn < seconds * 10; turn++) {
      if (endpoint.acceptsRequest(clock.getTime()) && (await client.acquire(endpoint, request))) taken += 1;
      await clock.advance(100);
    }
    return taken;
  };
  return { countIn };
}

t.test(
  "without an issuer each instance keeps to its share of half of the limit, or uses other endpoints",
  async (t) => {
    const small = await createIssuerlessClient(4).countIn(80);
    t.ok(small >= 8 && small <= 10, `${small} of 10 in 80 s, a fleet of four`);
    t.equal(
      await createIssuerlessClient(10).countIn(80),
      0,
      "a fleet in which one saved request of each instance is too much",
    );
  },
);
