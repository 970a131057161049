/*
 * Guards against an instance that uses removed endpoints without end. A reader feeds the instance, and that reader had started
 * after the records of two endpoints were removed. These were not in its listing, so it sent no removal; to a call for the
 * changes since a revision from before its own listing, it replied as if it had all changes since then. The instance used nine
 * endpoints while seven were listed; the reader and the four other instances used seven.
 */
import t from "tap";
import type { PrefixFollower } from "@gladewall/gateway";
import { flushPromises, VirtualClock } from "@gladewall/kernel";
import { FakePlatform } from "@gladewall/standins";
import { type FollowedPrefix, followPrefix } from "./followers.js";

function createTestBench() {
  const clock = VirtualClock.create();
  const platform = FakePlatform.create(clock);
  const { store, endpointPrefix: prefix } = platform.createAdapter();
  const follow = (): FollowedPrefix => followPrefix(store, prefix, clock);
  const close = async (followers: readonly PrefixFollower[]): Promise<void> => {
    const closed = Promise.all(followers.map((follower) => follower.close()));
    await clock.advance(10_000);
    await closed;
  };
  return { clock, platform, prefix, follow, close };
}

t.test("a reader that listed after a removal sends that removal too", async (t) => {
  const { clock, platform, prefix, follow, close } = createTestBench();
  for (const id of ["gone", "stays"]) platform.putEndpoint({ id, address: "127.0.0.1:1" });
  const fed = follow();
  fed.follower.start();
  await clock.advance(100);
  t.equal(fed.present.size, 2);
  fed.follower.setPassive(true);
  platform.removeEndpoint("gone");
  platform.putEndpoint({ id: "new", address: "127.0.0.1:2" });
  const reader = follow();
  reader.follower.start();
  await clock.advance(100);
  const changes = reader.follower.getChanges(fed.follower.getPosition());
  fed.follower.applyChanges(changes!, Infinity);
  t.same([...fed.present].sort(), [`${prefix}new`, `${prefix}stays`]);
  await close([fed.follower, reader.follower]);
});

t.test("a reader that lists again sends the removal of an item that it never knew", async (t) => {
  const { clock, platform, prefix, follow, close } = createTestBench();
  platform.putEndpoint({ id: "stays", address: "127.0.0.1:1" });
  const reader = follow();
  reader.follower.start();
  await clock.advance(100);
  reader.follower.setPassive(true);
  await clock.advance(100);
  platform.putEndpoint({ id: "brief", address: "127.0.0.1:2" });
  const fed = follow();
  fed.follower.start();
  await clock.advance(100);
  fed.follower.setPassive(true);
  t.equal(fed.present.size, 2);
  platform.removeEndpoint("brief");
  platform.shared.compactHistory();
  reader.follower.setPassive(false);
  await flushPromises();
  await clock.advance(3_000);
  const changes = reader.follower.getChanges(fed.follower.getPosition());
  fed.follower.applyChanges(changes!, Infinity);
  t.same([...fed.present], [`${prefix}stays`]);
  await close([fed.follower, reader.follower]);
});
