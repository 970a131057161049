/*
 * Guards against an instance that takes an old view of the endpoints for a fresh one, and so does not know that streams can have begun at
 * another version. A reply of the store that had waited in a suspended process, or what a reader sent that had lost the store, counted
 * from its arrival.
 */
import t, { type Test } from "tap";
import { flushPromises, VirtualClock } from "@gladewall/kernel";
import { FakePlatform, StoreFault } from "@gladewall/standins";
import { type FollowedPrefix, followPrefix } from "./followers.js";

const watchWaitMs = 600;
/** Age from which versions may have opened that are not known. */
const maxViewAgeMs = 1_500;

interface ViewBench {
  readonly clock: VirtualClock;
  readonly platform: FakePlatform;
  /** Lets replies to watches that arrive from now on wait, and delivers those that have waited. */
  readonly hold: () => Promise<void>;
  /** Delivers all replies, these and later ones. */
  readonly release: () => Promise<void>;
  readonly follow: () => FollowedPrefix;
}

/** Creates followers of the endpoints; the first is `reader`, which has listed one. */
async function createViewBench(t: Pick<Test, "teardown">): Promise<ViewBench & { reader: FollowedPrefix }> {
  const clock = VirtualClock.create();
  const platform = FakePlatform.create(clock);
  platform.putEndpoint({ id: "a", address: "127.0.0.1:1" });
  const { store, endpointPrefix: prefix } = platform.createAdapter();
  let held = Promise.resolve();
  let deliver: () => void = () => undefined;
  const watch = store.watch.bind(store);
  store.watch = async (...watched) => {
    const changes = await watch(...watched);
    await held;
    return changes;
  };
  const release = async (): Promise<void> => {
    deliver();
    await flushPromises();
  };
  const hold = (): Promise<void> => {
    const deliverHeld = deliver;
    held = new Promise((resolve) => (deliver = resolve));
    deliverHeld();
    return flushPromises();
  };
  const followed: FollowedPrefix[] = [];
  const follow = (): FollowedPrefix => {
    const one = followPrefix(store, prefix, clock, { watchWaitMs });
    followed.push(one);
    return one;
  };
  t.teardown(async () => {
    deliver();
    const closed = Promise.all(followed.map(({ follower }) => follower.close()));
    await clock.advance(10_000);
    await closed;
  });
  const reader = follow();
  reader.follower.start();
  await clock.advance(100);
  return { clock, platform, hold, release, follow, reader };
}

t.test("a reply that waited in a suspended process is as old as its call", async (t) => {
  const { clock, platform, hold, release, reader } = await createViewBench(t);
  await hold();
  await clock.advance(watchWaitMs);
  platform.putEndpoint({ id: "b", address: "127.0.0.1:2" });
  await clock.advance(5_000);
  await hold();
  t.equal(reader.present.size, 1, "the reply was sent before the change");
  t.ok(reader.follower.ageMs > maxViewAgeMs, `${reader.follower.ageMs} ms`);
  await release();
  await clock.advance(watchWaitMs);
  t.equal(reader.present.size, 2);
  t.ok(reader.follower.ageMs <= watchWaitMs, `${reader.follower.ageMs} ms`);
});

t.test("changes that waited in a suspended process may not be the last ones", async (t) => {
  const { clock, platform, hold, reader } = await createViewBench(t);
  await hold();
  platform.putEndpoint({ id: "b", address: "127.0.0.1:2" });
  await clock.advance(100);
  platform.putEndpoint({ id: "c", address: "127.0.0.1:3" });
  await clock.advance(5_000);
  await hold();
  t.equal(reader.present.size, 2);
  t.ok(reader.follower.ageMs > maxViewAgeMs, `${reader.follower.ageMs} ms`);
});

t.test("a view is as old as the suspension of the machine that it was read before", async (t) => {
  const { clock, reader } = await createViewBench(t);
  clock.shiftWallTime(5_000);
  t.ok(reader.follower.ageMs >= 5_000, `${reader.follower.ageMs} ms`);
});

t.test("while the store replies, a view stays younger than two watches", async (t) => {
  const { clock, platform, reader } = await createViewBench(t);
  let oldestMs = 0;
  for (let index = 0; index < 400; index++) {
    if (index % 7 === 0) platform.putEndpoint({ id: `e${index}`, address: "127.0.0.1:4" });
    await clock.advance(37);
    oldestMs = Math.max(oldestMs, reader.follower.ageMs);
  }
  t.ok(oldestMs < maxViewAgeMs, `${oldestMs} ms`);
});

t.test("an instance that is fed is no better informed than the reader that feeds it", async (t) => {
  const { clock, platform, follow, reader } = await createViewBench(t);
  const fed = follow();
  const feed = (calledAt = clock.getBootTime()): void => {
    const changes = reader.follower.getChanges(fed.follower.getPosition());
    fed.follower.applyChanges(changes!, Infinity, calledAt);
  };
  feed();
  t.ok(fed.follower.ageMs <= watchWaitMs);
  for (const store of platform.stores) store.fault = StoreFault.Down;
  await clock.advance(3_000);
  t.ok(reader.follower.ageMs > maxViewAgeMs);
  feed();
  t.ok(fed.follower.ageMs >= Math.floor(reader.follower.ageMs), `${fed.follower.ageMs} ms`);
  for (const store of platform.stores) store.fault = StoreFault.None;
  await clock.advance(2_000);
  feed(clock.getBootTime() - 5_000);
  t.ok(fed.follower.ageMs > 2_000, "a reply that waited is as old as its call");
  feed();
  t.ok(fed.follower.ageMs < maxViewAgeMs);
});
