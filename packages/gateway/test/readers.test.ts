import t, { type Test } from "tap";
import { ReaderSelection, createFeedTimings, PrefixFollower, StoreRole } from "@gladewall/gateway";
import { Logger, SystemClock, VirtualClock } from "@gladewall/kernel";
import { createWorkspace, FakePlatform, StoreFault, waitUntil } from "@gladewall/standins";
import { createConfigurationFollower } from "./followers.js";
import { startFleet } from "./startedFleet.js";

/** Starts a fleet that is a full mesh, with one endpoint that is listed for all instances. */
async function createSmallFleet(t: Pick<Test, "teardown">, size: number) {
  const { bench, endpoint, instances } = await startFleet(
    t,
    size,
    ({ platform }) => platform.configure({ workspaces: [createWorkspace({ keys: ["one"] })] }),
    [
      "peers.report_interval=20",
      "configuration.proof_interval=50",
      "configuration.revoke_within=4000",
      "configuration.revoke_margin=100",
    ],
  );
  await waitUntil(() => instances.every(({ gateway }) => gateway.linkedPeers === size - 1));
  // Each instance starts as a reader, while it has not found another instance.
  await waitUntil(() => instances.every(({ gateway }, index) => gateway.isReader === index >= size - 3));
  await waitUntil(() => instances.every(({ gateway }) => gateway.isReader || gateway.isFeedActive));
  return { bench, endpoint, instances };
}

t.test("also in a small fleet three instances read the store and feed the others", async (t) => {
  const { bench, endpoint, instances } = await createSmallFleet(t, 5);
  t.same(
    instances.map(({ gateway }) => [gateway.isReader, gateway.isCollector]),
    [
      [false, true],
      [false, true],
      [true, true],
      [true, true],
      [true, true],
    ],
    "each is a collector; those with the greatest capacity are readers",
  );
  const fedStores = bench.platform.stores.slice(0, 2);
  for (const store of fedStores) store.fault = StoreFault.Down;
  const since = SystemClock.create().getTime();
  bench.platform.putEndpoint({ id: "c", address: endpoint.address });
  bench.platform.configure({ workspaces: [createWorkspace({ keys: ["two"] })] });
  await waitUntil(() =>
    instances.every(({ gateway }) => gateway.version === 2 && gateway.countEndpoints("web") === 2),
  );
  await waitUntil(() => instances.every(({ gateway }) => gateway.proofSentAt > since));
  t.equal((await bench.call(instances[0]!, { key: "two" })).status, 200);
  t.equal((await bench.call(instances[0]!, { key: "one" })).status, 401);
});

t.test("changes cost the calls of three instances, however large the fleet is", async (t) => {
  const { bench, endpoint, instances } = await createSmallFleet(t, 6);
  const { stores } = bench.platform;
  const list = async (count: number): Promise<void> => {
    bench.platform.putEndpoint({ id: `more-${count}`, address: endpoint.address });
    await waitUntil(() => instances.every(({ gateway }) => gateway.countEndpoints("web") === count));
  };
  // With the first change, the instances that a reader feeds abort the watch that they started with.
  await list(2);
  await list(3);
  const before = stores.map(({ watches }) => watches);
  for (let count = 4; count < 14; count++) await list(count);
  const made = stores.map(({ watches }, index) => watches - before[index]!);
  t.same(made.slice(0, 3), [0, 0, 0]);
  for (const watches of made.slice(3)) t.ok(watches >= 5, `${watches} watches`);
});

t.test(
  "if the store refuses all readers, the other instances read it themselves, and the readers use their proofs",
  async (t) => {
    const { bench, instances } = await createSmallFleet(t, 5);
    for (const store of bench.platform.stores.slice(2)) store.fault = StoreFault.Down;
    bench.platform.removeEndpoint("b");
    await waitUntil(() => instances.slice(0, 2).every(({ gateway }) => gateway.countEndpoints("web") === 0));
    await waitUntil(() => instances.slice(0, 2).every(({ gateway }) => !gateway.isFeedActive));
    const since = SystemClock.create().getTime();
    await waitUntil(() => instances.every(({ gateway }) => gateway.proofSentAt > since));
  },
);

t.test("whatever fails on the way, the store is read well before a change must be applied", async (t) => {
  for (const boundMs of [500, 2_000, 3_000, 4_000, 30_000]) {
    const { proofIntervalMs, maxStoreAgeMs, feedLifetimeMs, readerTimeoutMs } = createFeedTimings(boundMs);
    t.ok(maxStoreAgeMs >= 2 * proofIntervalMs, "one read may be lost");
    t.ok(feedLifetimeMs > 2 * readerTimeoutMs, "two readers can be asked in time");
    t.ok(Math.max(maxStoreAgeMs, feedLifetimeMs) <= 0.6 * boundMs, "the rest is for a listing and its retry");
  }
});

t.test(
  "a reader that does not answer, or that the store does not serve, is skipped for the next",
  async (t) => {
    const readers = ["r1", "r2", "r3"];
    const selection = ReaderSelection.create("instance", 400);
    selection.recordReply(1_000);
    const first = selection.choose(readers, 1_400);
    t.equal(selection.choose(readers, 1_100), first);
    const second = selection.choose(readers, 1_401);
    t.not(second, first);
    t.equal(selection.choose(readers, 1_700), second, "it has the same time to answer");
    selection.recordReply(1_700);
    selection.skip(1_700);
    t.equal(new Set([first, second, selection.choose(readers, 1_800)]).size, 3);
    t.equal(selection.choose([], 1_800), undefined);
  },
);

t.test("only a reader reads at the reader's interval", async (t) => {
  const clock = VirtualClock.create();
  const platform = FakePlatform.create(clock);
  platform.configure({});
  const follower = createConfigurationFollower(platform.createAdapter(), clock);
  follower.start();
  t.teardown(() => follower.close());
  const countReads = async (role: StoreRole): Promise<number> => {
    follower.setRole(role);
    await clock.advance(1_500);
    const before = platform.shared.reads;
    await clock.advance(6_000);
    return platform.shared.reads - before;
  };
  t.equal(await countReads(StoreRole.Reader), 10);
  t.equal(await countReads(StoreRole.Direct), 4);
  // No reader sends this instance a proof, so it reads once its own proof is old.
  t.ok((await countReads(StoreRole.ViaReader)) > 0);
  t.ok(follower.hasFreshProof());
});

/** Follows the endpoints of a platform; a second endpoint is listed later. */
function followLate(clock: VirtualClock, firstWatchPauseMs: number) {
  const platform = FakePlatform.create(clock);
  const { store, endpointPrefix } = platform.createAdapter();
  const listed: string[] = [];
  const follower = PrefixFollower.create({
    store,
    prefix: endpointPrefix,
    clock,
    logger: Logger.createSilent(),
    listener: { handlePut: ({ key }) => void listed.push(key), handleRemoved: () => undefined },
    firstWatchPauseMs,
  });
  platform.putEndpoint({ id: "a", address: "127.0.0.1:1" });
  follower.start();
  return { platform, store: platform.stores[0]!, follower, listed };
}

t.test("an instance that a reader feeds soon after its start opens no watch; any other does", async (t) => {
  const clock = VirtualClock.create();
  const [fed, alone] = [followLate(clock, 800), followLate(clock, 800)];
  await clock.advance(300);
  for (const { platform } of [fed, alone]) platform.putEndpoint({ id: "b", address: "127.0.0.1:1" });
  fed.follower.setPassive(true);
  await clock.advance(300);
  t.same([fed.listed.length, alone.listed.length], [1, 1]);
  await clock.advance(400);
  t.equal(fed.store.watches, 0);
  t.equal(alone.listed.length, 2, "changes in the meantime are not lost");
  fed.follower.setPassive(false);
  await clock.advance(200);
  t.equal(fed.listed.length, 2);
  t.equal(fed.store.watches, 1, "only the first watch is delayed");
  const closed = Promise.all([fed.follower.close(), alone.follower.close()]);
  await clock.advance(20_000);
  await closed;
});

t.test(
  "a configuration that was read for its proof is not listed too, unless no reader sends it",
  async (t) => {
    const clock = VirtualClock.create();
    const platform = FakePlatform.create(clock);
    platform.configure({});
    const follower = createConfigurationFollower(platform.createAdapter(), clock, { firstWatchPauseMs: 800 });
    follower.start();
    await clock.advance(700);
    t.equal(follower.getTable()?.version, 1);
    t.equal(platform.stores[0]!.calls, 1);
    await clock.advance(1_000);
    platform.configure({});
    await clock.advance(200);
    t.equal(follower.getTable()?.version, 2, "the watch brings it before the next proof is due");
    const closed = follower.close();
    await clock.advance(20_000);
    await closed;
  },
);
