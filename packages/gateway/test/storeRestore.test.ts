import t, { type Test } from "tap";
import { type ConfigurationFollower, type MetadataStore, StoreEras, initialEra } from "@gladewall/gateway";
import { VirtualClock } from "@gladewall/kernel";
import { createWorkspace, type FakeMetadataStore, FakePlatform, StoreFault } from "@gladewall/standins";
import { createConfigurationFollower, createSettling } from "./followers.js";

const both = ["kept", "removed"];

/** Creates a platform on a virtual clock, and functions that start followers of its configuration. */
function createTestBench(t: Pick<Test, "teardown">) {
  const clock = VirtualClock.create();
  const platform = FakePlatform.create(clock, 20);
  const followers: ConfigurationFollower[] = [];
  const configure = (keys: readonly string[]): number =>
    platform.configure({ workspaces: [createWorkspace({ keys })] });
  const follow = (options: Partial<Parameters<typeof createConfigurationFollower>[2]> = {}) => {
    const follower = createConfigurationFollower(platform.createAdapter(), clock, options);
    followers.push(follower);
    follower.start();
    return { follower, store: platform.stores.at(-1)! };
  };
  /** Configures both keys and starts a follower, which has a fresh proof when this returns. */
  const followProven = async () => {
    configure(both);
    const started = follow();
    await clock.advance(2_000);
    return started;
  };
  /** Starts a follower in a system that has been started before. */
  const followAgain = () => {
    const adapter = platform.createAdapter();
    const settling = createSettling(adapter.store, clock, false);
    const follower = createConfigurationFollower(adapter, clock, { settling });
    followers.push(follower);
    follower.start();
    return { follower, settling };
  };
  t.teardown(async () => {
    const closed = Promise.all(followers.map((follower) => follower.close()));
    await clock.advance(40_000);
    await closed;
  });
  return { clock, platform, shared: platform.shared, configure, follow, followProven, followAgain };
}

/** Whether a request with the removed key would be admitted. */
function admitsRemovedKey(follower: ConfigurationFollower): boolean {
  return follower.hasFreshProof() && follower.getTable()?.findWorkspaceByKey("removed") !== undefined;
}

// Guards against ordering changes by revisions alone: a store that is restored from a snapshot assigns the same revisions again,
// so that new changes have lower revisions than older ones.
t.test(
  "a key that is removed after a restore runs nothing, because no read proves the configuration",
  async (t) => {
    const { clock, shared, configure, followProven } = createTestBench(t);
    const { follower } = await followProven();
    const snapshot = shared.takeSnapshot();
    for (let count = 0; count < 20; count++) shared.put("written-since", "x");
    configure(both);
    await clock.advance(1_000);
    t.equal(follower.getTable()?.version, 2);
    shared.restore(snapshot);
    configure(both);
    await clock.advance(500);
    const removed = configure(["kept"]);
    await clock.advance(2_000);
    t.notOk(
      admitsRemovedKey(follower),
      `version ${follower.getTable()?.version} in force, ${removed} acknowledged`,
    );
    await clock.advance(8_000);
    t.ok(follower.hasFreshProof(), "what is known again is proven again");
  },
);

t.test(
  "a store that reports no era is known to be restored by revisions below those that were known",
  async (t) => {
    const { clock, shared, configure, followProven } = createTestBench(t);
    shared.reportsEra = false;
    const { follower, store } = await followProven();
    const snapshot = shared.takeSnapshot();
    for (let count = 0; count < 20; count++) shared.put("written-since", "x");
    configure(both);
    await clock.advance(2_000);
    shared.restore(snapshot);
    configure(both);
    await clock.advance(500);
    configure(["kept"]);
    await clock.advance(2_000);
    t.notOk(admitsRemovedKey(follower));
    t.ok(store.eras.current > initialEra);
    t.equal(follower.getTable()?.version, 4);
  },
);

t.test(
  "the version in force never decreases, and a key that it removed is not valid again after a restore",
  async (t) => {
    const { clock, shared, configure, followProven } = createTestBench(t);
    const { follower } = await followProven();
    const snapshot = shared.takeSnapshot();
    configure(["kept"]);
    await clock.advance(1_000);
    shared.restore(snapshot);
    for (let time = 0; time < 20_000; time += 250) {
      await clock.advance(250);
      t.notOk(admitsRemovedKey(follower), `${time} ms`);
      t.equal(follower.getTable()?.version, 2);
    }
    t.ok(follower.hasFreshProof(), "the wait for a version that is not written again ends");
  },
);

t.test(
  "reads prove nothing only as long as the last acknowledged writes may not have been written again",
  async (t) => {
    const { clock, shared, configure, followProven } = createTestBench(t);
    const { follower } = await followProven();
    const snapshot = shared.takeSnapshot();
    shared.fault = StoreFault.Down;
    await clock.advance(4_000);
    shared.fault = StoreFault.None;
    shared.restore(snapshot);
    await clock.advance(1_500);
    t.notOk(follower.hasFreshProof(), "a removal may have been acknowledged right before");
    configure(["kept"]);
    await clock.advance(700);
    t.notOk(admitsRemovedKey(follower));
    // A read may have failed right before the store was available again.
    await clock.advance(1_500);
    t.ok(follower.hasFreshProof());
  },
);

t.test("reads prove nothing while the store has an older version than the one in force", async (t) => {
  const { clock, shared, configure, followProven } = createTestBench(t);
  const { follower } = await followProven();
  const snapshot = shared.takeSnapshot();
  configure([...both, "more"]);
  await clock.advance(500);
  // Acknowledged, and lost before any instance had read it.
  configure(["kept", "more"]);
  shared.restore(snapshot);
  shared.fault = StoreFault.Down;
  await clock.advance(3_000);
  shared.fault = StoreFault.None;
  await clock.advance(3_900);
  t.notOk(admitsRemovedKey(follower));
  configure(["kept", "more"]);
  await clock.advance(2_000);
  t.ok(follower.hasFreshProof());
  t.notOk(admitsRemovedKey(follower));
});

t.test(
  "a short outage refuses no request: the earlier proof lasts until reads prove the configuration again",
  async (t) => {
    const { clock, shared, followProven } = createTestBench(t);
    const { follower } = await followProven();
    for (let round = 0; round < 3; round++) {
      shared.restore(shared.takeSnapshot());
      for (let time = 0; time < 6_000; time += 100) {
        await clock.advance(100);
        t.ok(follower.hasFreshProof(), `round ${round}, ${time} ms`);
      }
    }
  },
);

t.test("a second restore while an era is not settled starts the wait again", async (t) => {
  const { clock, shared, configure, followProven } = createTestBench(t);
  const { follower } = await followProven();
  const snapshot = shared.takeSnapshot();
  configure(["kept", "removed", "more"]);
  await clock.advance(500);
  for (const pauseMs of [1_000, 300, 2_000]) {
    shared.restore(snapshot);
    await clock.advance(pauseMs);
  }
  shared.era += 3;
  configure(["kept"]);
  await clock.advance(6_000);
  t.notOk(admitsRemovedKey(follower));
  t.ok(follower.hasFreshProof());
  t.equal(follower.getTable()?.version, 3);
});

t.test(
  "a process that starts while an era is not settled waits for it, for its record or for a peer's proof",
  async (t) => {
    const { clock, shared, configure, follow, followAgain } = createTestBench(t);
    configure(both);
    const { follower: running } = follow();
    await clock.advance(2_000);
    const snapshot = shared.takeSnapshot();
    configure(["kept"]);
    await clock.advance(1_000);
    shared.restore(snapshot);
    await clock.advance(50);
    const { follower: fresh } = followAgain();
    await clock.advance(500);
    t.notOk(fresh.hasFreshProof(), "it knows only the snapshot");
    const calledAt = clock.getBootTime();
    const proof = running.createProof(fresh.getHeld());
    t.ok(proof?.value, "a peer has a newer configuration");
    fresh.applyProof(proof!, calledAt);
    t.ok(fresh.hasFreshProof());
    t.notOk(admitsRemovedKey(fresh));
    const { follower: later, settling } = followAgain();
    await clock.advance(100);
    t.notOk(later.hasFreshProof());
    const value = Buffer.from(JSON.stringify({ era: shared.era, at: 0 }));
    settling.handleItem("gladewall/store-era", { key: "gladewall/store-era", value, revision: 9 });
    await clock.advance(50);
    t.ok(later.hasFreshProof(), "the record says that the era is settled");
  },
);

t.test("every response of an era that has ended is discarded", async (t) => {
  const { clock, platform, shared, configure } = createTestBench(t);
  configure(both);
  const { store, endpointPrefix } = platform.createAdapter();
  const standin: FakeMetadataStore = platform.stores.at(-1)!;
  const lease = (await store.grantLease(60_000)).unwrap();
  const snapshot = shared.takeSnapshot();
  standin.responseDelayMs = 500;
  const calls = [
    store.read(platform.createAdapter().configurationKey),
    store.list(endpointPrefix),
    store.renewLease(lease),
    store.grantLease(1_000),
    store.transact({ expected: [], put: [{ key: "k", value: Buffer.from("v") }], remove: [] }),
  ];
  await clock.advance(100);
  standin.responseDelayMs = 0;
  shared.restore(snapshot);
  t.ok((await store.read("other")).isOk());
  t.equal(standin.eras.current, 2);
  await clock.advance(1_000);
  for (const call of await Promise.all(calls)) t.ok(call.isErr());
  t.ok(
    (await store.renewLease(lease)).isErr(),
    "a lease of that era is not renewed either, because another instance may have it now",
  );
});

t.test(
  "a response that ends after a new era began is discarded, although its head came before",
  async (t) => {
    const eras = StoreEras.create();
    const first = eras.startCall();
    t.ok(eras.acceptRevision(first, eras.acceptEra(first, { era: 3 })!, 10));
    const start = eras.startCall();
    const era = eras.acceptEra(start, { era: 3 })!;
    eras.advanceTo(4);
    t.equal(eras.acceptRevision(start, era, 11), undefined);
    t.equal(eras.startCall().revision, 0, "its revision does not count in the new era");
  },
);

t.test("a watch does not continue from a revision of an earlier era", async (t) => {
  const { clock, platform, shared } = createTestBench(t);
  const { store } = platform.createAdapter();
  const listing = (await store.list("p/")).unwrap();
  const snapshot = shared.takeSnapshot();
  shared.restore(snapshot);
  for (let count = 0; count < 30; count++) shared.put("p/x", "x");
  const watch = store.watch("p/", listing.position, 1_000, new AbortController().signal);
  await clock.advance(2_000);
  t.ok((await watch).isErr());
  t.ok((await store.watch("p/", listing.position, 1_000, new AbortController().signal)).isErr());
});

t.test(
  "an instance that was cut off learns the era from a peer and uses no revision of the previous one",
  async (t) => {
    const { clock, shared, configure, follow } = createTestBench(t);
    configure(both);
    const { follower: running } = follow();
    const { follower: cutOff, store } = follow();
    await clock.advance(2_000);
    const snapshot = shared.takeSnapshot();
    store.fault = StoreFault.Down;
    shared.restore(snapshot);
    configure(["kept"]);
    await clock.advance(3_500);
    t.equal(store.eras.current, 1);
    const calledAt = clock.getBootTime();
    cutOff.applyProof(running.createProof(cutOff.getHeld())!, calledAt);
    t.equal(store.eras.current, 2);
    t.equal(cutOff.getTable()?.version, 2);
    t.notOk(admitsRemovedKey(cutOff));
  },
);

t.test("a proof of an earlier build, which has no era, proves nothing once an era is known", async (t) => {
  const { clock, shared, configure, followProven } = createTestBench(t);
  const { follower, store } = await followProven();
  store.fault = StoreFault.Down;
  await clock.advance(6_000);
  t.notOk(follower.hasFreshProof());
  follower.applyProof({ proofAgeMs: 0, revision: 1 }, clock.getBootTime());
  t.notOk(follower.hasFreshProof(), "its sender may not know of the restore");
  configure(["kept"]);
  const { value, revision } = [...shared.entries.values()].find(({ key }) => key.includes("configuration"))!;
  follower.applyProof({ proofAgeMs: 0, revision, value }, clock.getBootTime());
  t.equal(follower.getTable()?.version, 2, "a newer version is put in force, whichever peer sends it");
  t.notOk(follower.hasFreshProof());
});

t.test("once an era was reported, responses without one or of a lower one are discarded", async (t) => {
  const { platform, shared } = createTestBench(t);
  const { store }: { store: MetadataStore } = platform.createAdapter();
  t.ok((await store.read("k")).isOk());
  shared.reportsEra = false;
  t.ok((await store.read("k")).isErr());
  shared.reportsEra = true;
  t.ok((await store.read("k")).isOk());
  shared.era -= 1;
  t.ok((await store.read("k")).isErr());
  shared.era += 1;
  t.ok((await store.read("k")).isOk());
});
