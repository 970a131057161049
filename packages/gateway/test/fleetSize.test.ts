/*
 * Guards against an instance that takes an empty list of members for a fleet of one. After the leases of all records had ended, each
 * of eight instances that started together listed nobody for 0.45 s and granted the whole of a limit.
 */
import t, { type Test } from "tap";
import { FleetShare, FleetSizeItem } from "@gladewall/gateway";
import { Logger, LogLevel, VirtualClock } from "@gladewall/kernel";
import {
  type EndpointRequest,
  FakePlatform,
  GatewayTestBench,
  respondSuccess,
  ScriptedEndpoint,
  waitUntil,
} from "@gladewall/standins";

const key = "gladewall/fleet-size";
const lowerMs = 60_000;
const stepMs = 250;

/** Creates the item of an instance that writes it, in a store that is read at once. */
function createWritten() {
  const clock = VirtualClock.create();
  const platform = FakePlatform.create(clock);
  const { store } = platform.createAdapter();
  const { shared } = platform;
  const item = FleetSizeItem.create({
    store,
    clock,
    logger: Logger.createSilent(),
    key,
    getItem: () => shared.entries.get(key),
    isWriter: () => true,
  });
  const reconcileFor = async (size: number | undefined, forMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < forMs; passedMs += stepMs) {
      item.reconcile(size);
      await clock.advance(stepMs);
    }
  };
  return { shared, item, reconcileFor };
}

t.test(
  "the number of instances is written when it grows, and lowered once it was lower for a minute",
  async (t) => {
    const { shared, item, reconcileFor } = createWritten();
    await reconcileFor(1, lowerMs);
    t.equal(shared.writes, 0, "a fleet of one has no item");
    await reconcileFor(8, stepMs);
    t.equal(item.size, 8);
    await reconcileFor(8, lowerMs);
    t.equal(shared.writes, 1, "nothing is written while nothing changes");
    for (let round = 0; round < 4; round++) {
      await reconcileFor(6, lowerMs / 2);
      await reconcileFor(undefined, stepMs);
      await reconcileFor(8, stepMs);
    }
    t.equal(shared.writes, 1, "instances that are replaced within a minute cost no write");
    await reconcileFor(5, lowerMs / 2);
    await reconcileFor(6, stepMs);
    await reconcileFor(5, lowerMs / 2 + stepMs);
    t.equal(item.size, 6, "the largest size within the minute is kept");
    t.equal(shared.writes, 2);
    shared.put(key, "{}");
    t.equal(item.size, undefined, "an item that cannot be read says nothing");
    await reconcileFor(6, stepMs);
    t.equal(item.size, 6, "an item that cannot be read is written again");
  },
);

t.test("the number is lowered also where machines are replaced more often than each minute", async (t) => {
  const { shared, item, reconcileFor } = createWritten();
  await reconcileFor(300, stepMs);
  for (let round = 0; round < 3; round++) {
    await reconcileFor(6, lowerMs / 2);
    await reconcileFor(undefined, 3 * stepMs);
    await reconcileFor(7, stepMs);
  }
  t.equal(item.size, 7, "instances that start after the end of all would take a 300th of a limit each");
  t.equal(shared.writes, 2);
});

t.test("a number that no fleet can have says nothing, and is replaced", async (t) => {
  const { shared, item, reconcileFor } = createWritten();
  for (const instances of [1e15, 1e300, 10_001, 0, 2.5, "8"]) {
    shared.put(key, JSON.stringify({ instances }));
    t.equal(item.size, undefined, String(instances));
  }
  await reconcileFor(6, stepMs);
  t.equal(item.size, 6);
});

t.test("an instance that is not the writer leaves the item alone", async (t) => {
  const clock = VirtualClock.create();
  const platform = FakePlatform.create(clock);
  const { store } = platform.createAdapter();
  const getItem = () => platform.shared.entries.get(key);
  const logger = Logger.createSilent();
  const item = FleetSizeItem.create({ store, clock, logger, key, getItem, isWriter: () => false });
  item.reconcile(8);
  await clock.advance(stepMs);
  t.equal(platform.shared.writes, 0);
});

t.test("the remembered number counts until the list of members is known, and no longer", (t) => {
  const clock = VirtualClock.create();
  let names = ["a"];
  let isListKnown = false;
  const share = FleetShare.create({
    clock,
    ownName: "a",
    silentPeers: { mayBeServing: (_name, _time, isLinked) => !isLinked },
    getNames: () => names,
    getListedSize: () => names.length,
    isLinked: (name) => name === "b",
    isListKnown: () => isListKnown,
    getKeptSize: () => 8,
  });
  t.equal(share.getKnown(), 1 / 8);
  names = ["a", "b", "c"];
  t.equal(share.size, 8);
  t.equal(share.getKnown(), 2 / 8);
  isListKnown = true;
  t.equal(share.size, 3);
  t.equal(share.getKnown(), 2 / 3);
  isListKnown = false;
  t.equal(share.size, 3, "an instance that joins a known list does not make it unknown");
  t.end();
});

/** Starts four instances, ends them and the leases of their records, and starts one whose record the store does not take. */
async function startUnlisted(t: Pick<Test, "teardown">, logger = Logger.createSilent()) {
  const bench = GatewayTestBench.create(undefined, logger);
  const { shared } = bench.platform;
  bench.platform.configure({});
  t.teardown(() => bench.close());
  const instances = await Promise.all([bench.start(), bench.start(), bench.start(), bench.start()]);
  await waitUntil(() => shared.entries.get(key)?.value.toString() === '{"instances":4}');
  await Promise.all(instances.map(({ gateway }) => gateway.close()));
  shared.endAllLeases();
  // The record of this start is not written, as with a store that takes no records for a while.
  const grant = shared.grant.bind(shared);
  shared.grant = () => "none";
  const started = await bench.start(["instance.first_start=false"]);
  await waitUntil(() => started.gateway.isReady());
  return { bench, instances, started, takeRecords: () => void (shared.grant = grant) };
}

t.test("an instance that starts when all records have ended takes its part of a limit only", async (t) => {
  const { instances, started, takeRecords } = await startUnlisted(t);
  const { gateway } = started;
  t.equal(gateway.fleetSize, 1);
  t.equal(gateway.knownShare, 1 / instances.length);
  takeRecords();
  await waitUntil(() => gateway.knownShare === 1);
});

t.test("nor does it decide on all places at endpoints that crash if they get too much", async (t) => {
  const phases: (string | undefined)[] = [];
  const logger = Logger.create(LogLevel.Info, {}, (line) => {
    if (line.includes("slot.term")) phases.push(/phase\W+(\w+)/.exec(line)?.[1]);
  });
  const { bench, started, takeRecords } = await startUnlisted(t, logger);
  const endpoint = await ScriptedEndpoint.create("brittle", (call: EndpointRequest) => {
    call.response.setHeader("x-brittle", "0");
    respondSuccess(call);
  });
  t.teardown(() => endpoint.close());
  bench.platform.shared.put("gladewall/brittle/web", JSON.stringify({ service: "web", limit: 0 }));
  bench.platform.putEndpoint({ id: "brittle", address: endpoint.address, slots: 4 });
  await waitUntil(() => started.gateway.countEndpoints("web") === 1);
  const callUntil = async (isDone: () => boolean): Promise<void> => {
    while (!isDone()) await bench.call(started);
  };
  await callUntil(() => phases.length > 0);
  t.notOk(phases.includes("Deciding"), "others may be granting the same places");
  takeRecords();
  await callUntil(() => phases.includes("Deciding"));
});
