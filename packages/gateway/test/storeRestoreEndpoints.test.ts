import t, { type Test } from "tap";
import { EndpointDirectory } from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import { FakePlatform, StoreFault } from "@gladewall/standins";
import { followPrefix } from "./followers.js";

const address = "127.0.0.1:1";

/** Creates a directory of endpoints on a virtual clock, with a store that can be restored from a snapshot. */
async function createTestBench(t: Pick<Test, "teardown">) {
  const clock = VirtualClock.create();
  const platform = FakePlatform.create(clock, 20);
  const adapter = platform.createAdapter();
  const directory = EndpointDirectory.create({
    platform: adapter,
    clock,
    logger: Logger.createSilent(),
    getTimeSinceTrouble: () => Infinity,
    watchWaitMs: 600,
    unlistedMs: 400,
  });
  adapter.store.eras.onEraChange(() => directory.restart());
  for (const id of ["a", "b", "c", "d"]) platform.putEndpoint({ id, address });
  directory.start();
  await clock.advance(500);
  t.teardown(async () => {
    const closed = directory.close();
    await clock.advance(20_000);
    await closed;
  });
  const uses = (id: string): boolean => directory.get(id)?.isUsable() === true;
  return { clock, platform, shared: platform.shared, directory, uses, store: platform.stores[0]! };
}

t.test(
  "an endpoint that left stays out of use although the restored snapshot lists it as ready",
  async (t) => {
    const { clock, platform, shared, uses } = await createTestBench(t);
    const snapshot = shared.takeSnapshot();
    for (let count = 0; count < 20; count++) shared.put("other", "x");
    platform.putEndpoint({ id: "a", address, isLeaving: true });
    platform.removeEndpoint("b");
    await clock.advance(500);
    t.notOk(uses("a") || uses("b"));
    shared.restore(snapshot);
    for (let time = 0; time < 4_000; time += 100) {
      await clock.advance(100);
      t.notOk(uses("a") || uses("b"), `${time} ms`);
      t.ok(uses("c") && uses("d"));
    }
    await clock.advance(3_000);
    t.notOk(uses("a"), "what it said of itself still holds");
    t.ok(uses("b"), "a record that stays in the store belongs to a running endpoint");
  },
);

t.test(
  "changes after a restore are applied, although their revisions are below those that were known",
  async (t) => {
    const { clock, platform, shared, uses } = await createTestBench(t);
    const snapshot = shared.takeSnapshot();
    for (let count = 0; count < 20; count++) shared.put("other", "x");
    platform.putEndpoint({ id: "new", address });
    await clock.advance(500);
    shared.restore(snapshot);
    platform.putEndpoint({ id: "new", address });
    platform.putEndpoint({ id: "a", address, isLeaving: true });
    platform.removeEndpoint("b");
    await clock.advance(1_000);
    t.notOk(uses("a"), "it is leaving");
    await clock.advance(2_500);
    t.notOk(uses("b"), "it is gone");
    t.ok(uses("new"));
    platform.removeEndpoint("c");
    await clock.advance(1_000);
    t.notOk(uses("c"));
  },
);

t.test(
  "an endpoint that the snapshot lacks stays in use until it is written again, for a limited time",
  async (t) => {
    const { clock, platform, shared, uses } = await createTestBench(t);
    const snapshot = shared.takeSnapshot();
    for (const id of ["again", "never"]) platform.putEndpoint({ id, address });
    await clock.advance(500);
    shared.restore(snapshot);
    await clock.advance(1_000);
    t.ok(uses("again") && uses("never"));
    platform.putEndpoint({ id: "again", address });
    await clock.advance(5_000);
    t.ok(uses("again"));
    t.notOk(uses("never"));
  },
);

t.test("a follower that was cut off lists again, also if the store reports no lost history", async (t) => {
  const { clock, platform, shared, store, uses } = await createTestBench(t);
  const snapshot = shared.takeSnapshot();
  store.fault = StoreFault.Down;
  shared.restore(snapshot);
  platform.removeEndpoint("a");
  for (let count = 0; count < 40; count++) shared.put("other", "x");
  store.fault = StoreFault.None;
  await clock.advance(4_000);
  t.notOk(uses("a"));
});

t.test("changes of another era are discarded, and a listing of the new era replaces all items", async (t) => {
  const { clock, platform, shared } = await createTestBench(t);
  const { store, endpointPrefix: prefix } = platform.createAdapter();
  const { follower, present, lost } = followPrefix(store, prefix, clock);
  follower.start();
  await clock.advance(200);
  t.equal(present.size, 4);
  const key = `${prefix}a`;
  const removal = { revision: 90, items: [], removed: [{ key, revision: 90 }], isListing: false };
  follower.applyChanges({ ...removal, era: shared.era + 1 }, Infinity);
  follower.applyChanges(removal, Infinity);
  t.equal(present.size, 4, "changes of an unknown era and changes without an era are discarded");
  store.eras.advanceTo(shared.era + 1);
  t.equal(follower.getPosition(), undefined);
  t.equal(
    follower.getChanges({ era: shared.era, revision: 1 }),
    undefined,
    "no changes are sent for a position of the old era",
  );
  const items = [{ key, value: Buffer.from("x"), revision: 2 }];
  follower.applyChanges({ era: shared.era + 1, revision: 3, items, removed: [], isListing: true }, Infinity);
  t.same([...present], [key]);
  t.equal(lost.length, 3);
  const closed = follower.close();
  await clock.advance(20_000);
  await closed;
});
