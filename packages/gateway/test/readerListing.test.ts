/*
 * An instance used two endpoints that were gone, and went on for as long as it was watched: it is told what the store holds by
 * a reader, and that reader had started after the endpoints' records went. It had never seen them, so it told of no removal;
 * asked for what came after a revision from before its own listing, it answered as if it knew every change since.
 *
 *   instance-4 ready true eps 9 linked 3 reader false fed true    (seven are listed, and known to the five others)
 *   instance-5 ready true eps 7 linked 5 reader true fed false    (started again a moment before)
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

t.test("a reader that listed after a removal tells of it all the same", async (t) => {
  const { clock, platform, prefix, follow, close } = createTestBench();
  for (const id of ["gone", "stays"]) platform.putEndpoint({ id, address: "127.0.0.1:1" });
  const told = follow();
  told.follower.start();
  await clock.advance(100);
  t.equal(told.present.size, 2);
  told.follower.setPassive(true);
  platform.removeEndpoint("gone");
  platform.putEndpoint({ id: "new", address: "127.0.0.1:2" });
  const reader = follow();
  reader.follower.start();
  await clock.advance(100);
  const changes = reader.follower.getChanges(told.follower.getPosition());
  told.follower.applyChanges(changes!, Infinity);
  t.same([...told.present].sort(), [`${prefix}new`, `${prefix}stays`]);
  await close([told.follower, reader.follower]);
});

t.test("so does one that lists anew and never saw what came and went between", async (t) => {
  const { clock, platform, prefix, follow, close } = createTestBench();
  platform.putEndpoint({ id: "stays", address: "127.0.0.1:1" });
  const reader = follow();
  reader.follower.start();
  await clock.advance(100);
  reader.follower.setPassive(true);
  await clock.advance(100);
  platform.putEndpoint({ id: "brief", address: "127.0.0.1:2" });
  const told = follow();
  told.follower.start();
  await clock.advance(100);
  told.follower.setPassive(true);
  t.equal(told.present.size, 2);
  platform.removeEndpoint("brief");
  platform.shared.compactHistory();
  reader.follower.setPassive(false);
  await flushPromises();
  await clock.advance(3_000);
  const changes = reader.follower.getChanges(told.follower.getPosition());
  told.follower.applyChanges(changes!, Infinity);
  t.same([...told.present], [`${prefix}stays`]);
  await close([told.follower, reader.follower]);
});
