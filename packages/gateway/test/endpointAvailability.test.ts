/*
 * Guards against requests to an endpoint that has announced in a response that it is leaving. Two requests reached one 11.7 and
 * 2.4 seconds after it had announced that to the same instance. The store was unreachable, so the record still said ready, and
 * nothing read the notices of responses: the instance logged request.served endpoint=i-e0eff66df2 at 8.583 s, and no change of
 * the endpoint's state before 20.321 s, when the record vanished (endpoint.state state=Unlisted cause="record gone in trouble").
 * The notice must be kept apart from the endpoint's state, because otherwise the next record, listing, or removal during a store
 * failure would revert it.
 */
import * as fc from "fast-check";
import t, { type Test } from "tap";
import { type Endpoint, EndpointDirectory } from "@gladewall/gateway";
import { Logger, LogLevel, VirtualClock } from "@gladewall/kernel";
import {
  respondSuccess,
  respondLeaving,
  type EndpointScript,
  GatewayTestBench,
  ScriptedEndpoint,
  FakePlatform,
  StoreFault,
  waitUntil,
} from "@gladewall/standins";
import { largeFleet } from "./crashingEndpoints.js";

const notice = { isLeaving: true, holdOffMs: undefined };
const source = { requestId: "r", status: 200 };
const address = "127.0.0.1:1";

/** Events of an endpoint and its record. */
enum Event {
  /** A response of the listed incarnation announces that it is leaving. */
  Notice = 1,
  /** A late response of an earlier incarnation announces that. */
  LateNotice = 2,
  /** Its record is written again, still ready. */
  Record = 3,
  /** Its record is removed while the store is failing, and while it is not. */
  GoneInTrouble = 4,
  Gone = 5,
  /** All records are listed again. */
  Listing = 6,
  /** The endpoint starts again under its id. */
  NextIncarnation = 7,
}

/** Creates a directory and the record of one endpoint. */
function createScenario(log: (line: string) => void = () => undefined) {
  const clock = VirtualClock.create();
  const platform = FakePlatform.create(clock);
  let troubleMs = Infinity;
  let born = 1;
  let slots = 4;
  const seen: Endpoint[] = [];
  const leaving = new Set<string>();
  const directory = EndpointDirectory.create({
    platform: platform.createAdapter(),
    clock,
    logger: Logger.create(LogLevel.Info, {}, log),
    getTimeSinceTrouble: () => troubleMs,
    watchWaitMs: 600,
    unlistedMs: 400,
  });
  const list = (): void => platform.putEndpoint({ id: "e", born, address, slots: (slots += 1) });
  const announceLeaving = (endpoint: Endpoint | undefined): void => {
    if (!endpoint) return;
    leaving.add(endpoint.incarnation);
    directory.handleNotice(endpoint, notice, source);
  };
  const handlers: Readonly<Record<Event, () => void>> = {
    [Event.Notice]: () => announceLeaving(directory.get("e")),
    [Event.LateNotice]: () => announceLeaving(seen.at(-2)),
    [Event.Record]: list,
    [Event.GoneInTrouble]: () => {
      troubleMs = 0;
      platform.removeEndpoint("e");
    },
    [Event.Gone]: () => {
      troubleMs = Infinity;
      platform.removeEndpoint("e");
    },
    [Event.Listing]: () => directory.restart(),
    [Event.NextIncarnation]: () => {
      born += 1;
      list();
    },
  };
  const recordEndpoint = (): void => {
    const endpoint = directory.get("e");
    if (endpoint && seen.at(-1) !== endpoint) seen.push(endpoint);
  };
  const run = async (event: Event, waitMs: number): Promise<void> => {
    handlers[event]();
    await clock.advance(waitMs);
    recordEndpoint();
  };
  return {
    clock,
    directory,
    run,
    leaving,
    list,
    platform,
    close: () => closeScenario(directory, clock),
  };
}

async function closeScenario(directory: EndpointDirectory, clock: VirtualClock): Promise<void> {
  const closed = directory.close();
  await clock.advance(20_000);
  await closed;
}

const generatedEvents = fc.array(
  fc.tuple(
    fc.constantFrom<Event>(
      Event.Notice,
      Event.LateNotice,
      Event.Record,
      Event.GoneInTrouble,
      Event.Gone,
      Event.Listing,
      Event.NextIncarnation,
    ),
    fc.integer({ min: 100, max: 1_500 }),
  ),
  { minLength: 2, maxLength: 12 },
);

/** Runs events; returns the first after which a leaving incarnation is used, or one that is not leaving is not used. */
async function findWrongUse(events: readonly (readonly [Event, number])[]): Promise<string | undefined> {
  const { clock, directory, run, leaving, list, close } = createScenario();
  directory.start();
  list();
  await clock.advance(200);
  await run(Event.Record, 200);
  let wrong: string | undefined;
  for (const [event, waitMs] of events) {
    await run(event, waitMs);
    const endpoint = directory.get("e");
    const isListed = event === Event.Record || event === Event.NextIncarnation;
    if (endpoint?.isUsable() && leaving.has(endpoint.incarnation)) wrong ??= `used after ${Event[event]}`;
    if (isListed && endpoint && !endpoint.isUsable() && !leaving.has(endpoint.incarnation)) {
      wrong ??= `not used after ${Event[event]}`;
    }
  }
  await close();
  return wrong;
}

t.test("a leaving incarnation is not used, in whatever order notices and records arrive", async (t) => {
  const property = fc.asyncProperty(generatedEvents, async (events) => {
    return (await findWrongUse(events)) === undefined;
  });
  const examples: [[Event, number][]][] = [
    [[[Event.Notice, 100]]],
    [
      [
        [Event.Notice, 100],
        [Event.Record, 100],
      ],
    ],
    [
      [
        [Event.Notice, 100],
        [Event.GoneInTrouble, 100],
      ],
    ],
    [
      [
        [Event.Notice, 100],
        [Event.Gone, 1_000],
        [Event.Record, 100],
      ],
    ],
    [
      [
        [Event.Notice, 100],
        [Event.NextIncarnation, 100],
        [Event.LateNotice, 100],
        [Event.Listing, 500],
      ],
    ],
  ];
  const report = await fc.check(property, { seed: 46, numRuns: 60, endOnFailure: true, examples });
  t.equal(report.failed, false, JSON.stringify(report.counterexample));
});

/** Responses of each kind and status of a leaving endpoint. */
const leavingResponses: Readonly<Record<string, EndpointScript>> = {
  "a response that is passed on": respondLeaving,
  "a refusal": ({ id, response }) => {
    response.writeHead(503, { "x-id": id, "x-not-run": "1", "x-leaving": "1", "content-length": 0 });
    response.end();
  },
  "an endpoint failure": ({ id, response }) => {
    response.writeHead(500, { "x-id": id, "x-stamp": "s", "x-leaving": "1", "content-length": 0 });
    response.end();
  },
  "a response that is interrupted after its head": ({ id, response, socket }) => {
    response.writeHead(200, { "x-id": id, "x-stamp": "s", "x-leaving": "1", "content-length": 10 });
    response.write("part", () => socket.destroy());
  },
};

/** Starts an instance and two endpoints; the one called first responds by the script from then on, the other successfully. */
async function startPair(t: Pick<Test, "teardown">, script: EndpointScript) {
  const bench = GatewayTestBench.create();
  bench.platform.configure({});
  const endpoints = await Promise.all(["a", "b"].map((id) => ScriptedEndpoint.create(id)));
  let leaving: ScriptedEndpoint | undefined;
  for (const endpoint of endpoints) {
    bench.platform.putEndpoint({ id: endpoint.id, address: endpoint.address });
    endpoint.script = (call) => {
      leaving ??= endpoint;
      if (leaving === endpoint) script(call);
      else respondSuccess(call);
    };
  }
  const instance = await bench.startReady(2);
  t.teardown(() => Promise.all([bench.close(), ...endpoints.map((endpoint) => endpoint.close())]));
  const setStoreFault = (fault: StoreFault): void => {
    for (const store of bench.platform.stores) store.fault = fault;
  };
  return { bench, instance, setStoreFault, countCalls: () => leaving?.requests.length };
}

t.test("no request goes to an endpoint that has announced in a response that it is leaving", async (t) => {
  for (const [name, script] of Object.entries(leavingResponses)) {
    await t.test(`${name} announces it while the store is unreachable`, async (t) => {
      const { bench, instance, setStoreFault, countCalls } = await startPair(t, script);
      setStoreFault(StoreFault.Down);
      await bench.call(instance);
      t.equal(instance.gateway.countEndpoints("web"), 1);
      for (let index = 0; index < 20; index++) t.equal((await bench.call(instance)).status, 200);
      t.equal(countCalls(), 1);
    });
  }
  await t.test(
    "if all endpoints of a service leave, requests are refused at once; the next incarnation is used",
    checkWholeService,
  );
});

t.test("a notice in a response to another request, or to none, is ignored", async (t) => {
  const scripts: readonly EndpointScript[] = [
    ({ response }) => {
      response.writeHead(200, { "x-id": "other", "x-stamp": "s", "x-leaving": "1", "content-length": 0 });
      response.end();
    },
    ({ id, response }) => {
      response.writeHead(200, { "x-id": id, "x-leaving": "1", "content-length": 0 });
      response.end();
    },
  ];
  for (const script of scripts) {
    const { bench, instance } = await startPair(t, script);
    await bench.call(instance);
    t.equal(instance.gateway.countEndpoints("web"), 2);
  }
});

t.test(
  "peers learn of a notice at once and without the store, as does one that connects later",
  async (t) => {
    const { bench, instance, setStoreFault, countCalls } = await startPair(t, respondLeaving);
    const other = await bench.startReady(2);
    await waitUntil(() => bench.instances.every(({ gateway }) => gateway.linkedPeers === 1));
    setStoreFault(StoreFault.Down);
    await bench.call(instance);
    t.equal(instance.gateway.countEndpoints("web"), 1, "the instance that received the notice");
    if (instance.gateway.countEndpoints("web") > 1) return;
    await waitUntil(() => other.gateway.countEndpoints("web") === 1);
    for (let index = 0; index < 20; index++) t.equal((await bench.call(other)).status, 200);
    t.equal(countCalls(), 1);
    setStoreFault(StoreFault.None);
    const late = await bench.startReady(1);
    await waitUntil(() => late.gateway.linkedPeers === 2 && late.gateway.countEndpoints("web") === 1);
  },
);

t.test("in a large fleet the readers relay a notice to every instance", async (t) => {
  const bench = GatewayTestBench.create();
  bench.platform.configure({});
  const leaving = await ScriptedEndpoint.create("leaving", respondLeaving);
  bench.platform.putEndpoint({ id: leaving.id, address: leaving.address });
  t.teardown(() => Promise.all([bench.close(), leaving.close()]));
  for (let index = 0; index < 7; index++) {
    await bench.startReady(1, "web", [...largeFleet, `peers.capacity=${index}`]);
  }
  const [first] = bench.instances;
  await waitUntil(() => bench.instances.every(({ gateway }) => gateway.isReader || gateway.isFeedActive));
  t.notOk(first!.gateway.isReader);
  for (const store of bench.platform.stores) store.fault = StoreFault.Down;
  t.equal((await bench.call(first!)).status, 200);
  await waitUntil(() => bench.instances.every(({ gateway }) => gateway.countEndpoints("web") === 0));
  t.equal(leaving.requests.length, 1);
});

async function checkWholeService(t: Test): Promise<void> {
  const bench = GatewayTestBench.create();
  bench.platform.configure({});
  const leaving = await ScriptedEndpoint.create("e", respondLeaving);
  const next = await ScriptedEndpoint.create("e", respondSuccess);
  bench.platform.putEndpoint({ id: "e", born: 1, address: leaving.address });
  const instance = await bench.startReady(1);
  t.teardown(() => Promise.all([bench.close(), leaving.close(), next.close()]));
  for (const store of bench.platform.stores) store.fault = StoreFault.Down;
  t.equal((await bench.call(instance)).status, 200);
  const refused = await bench.call(instance);
  t.equal(refused.status, 503);
  t.ok(Number(refused.headers["retry-after"]) > 0);
  t.equal(leaving.requests.length, 1);
  for (const store of bench.platform.stores) store.fault = StoreFault.None;
  bench.platform.putEndpoint({ id: "e", born: 2, address: next.address });
  await waitUntil(() => instance.gateway.countEndpoints("web") === 1);
  t.equal((await bench.call(instance)).status, 200);
  t.equal(leaving.requests.length + next.requests.length, 2);
}
