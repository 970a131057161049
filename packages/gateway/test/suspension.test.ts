/*
 * Guards against proofs and leases that stay valid through a suspension. A machine may be suspended for seconds, which the
 * monotonic clock does not count. The proof of the configuration had the same age after a suspension as before it, so that keys
 * which had been removed in the meantime still ran requests, and a lease that another instance had acquired still counted as
 * held. The time of day counts a suspension, but it may also be set.
 */
import t from "tap";
import { BootClock, VirtualClock } from "@gladewall/kernel";
import { FakePlatform } from "@gladewall/standins";
import { createConfigurationFollower } from "./followers.js";

/** Creates a follower with a new proof of its configuration. */
async function createProvenFollower(t: Pick<typeof import("tap").t, "teardown">) {
  const clock = VirtualClock.create();
  const platform = FakePlatform.create(clock);
  platform.configure({});
  const follower = createConfigurationFollower(platform.createAdapter(), clock);
  t.teardown(() => follower.close());
  follower.start();
  await clock.advance(100);
  return { clock, platform, follower };
}

t.test("the age of a proof includes the time for which the machine was suspended", async (t) => {
  const { clock, follower } = await createProvenFollower(t);
  t.ok(follower.hasFreshProof());
  clock.shiftWallTime(5_000);
  t.notOk(follower.hasFreshProof(), "immediately, before any timer has run");
  t.ok(follower.getProofAge() >= 5_000);
  t.equal(follower.createProof({ revision: 0 }), undefined, "it sends no proof to peers either");
  await clock.advance(1_600);
  t.ok(follower.hasFreshProof(), "the next read is a fresh proof");
});

t.test("a shorter suspension adds its duration to the age", async (t) => {
  const { clock, follower } = await createProvenFollower(t);
  clock.shiftWallTime(3_000);
  t.ok(follower.hasFreshProof());
  t.ok((follower.createProof({ revision: 0 })?.proofAgeMs ?? 0) >= 3_000);
});

t.test("a peer's proof that was requested before a suspension is as old as the request", async (t) => {
  const { clock, follower } = await createProvenFollower(t);
  const calledAt = clock.getBootTime();
  clock.shiftWallTime(10_000);
  follower.applyProof({ proofAgeMs: 0, ...follower.getHeld() }, calledAt);
  t.notOk(follower.hasFreshProof());
});

t.test("setting the time of day back makes no proof younger", async (t) => {
  const { clock, platform, follower } = await createProvenFollower(t);
  platform.shared.put("unrelated", "");
  const age = follower.getProofAge();
  clock.shiftWallTime(-60_000);
  t.equal(follower.getProofAge(), age);
  clock.shiftWallTime(60_000);
  t.ok(follower.getProofAge() >= 60_000, "set forward, it may have been a suspension");
});

t.test("small differences between the clocks do not add up", (t) => {
  let time = 0;
  let wall = 1_000;
  const bootTime = BootClock.create(
    () => time,
    () => wall,
  );
  for (let second = 0; second < 1_000; second++) {
    time += 1_000;
    wall += 1_000.5;
    bootTime.get();
  }
  t.equal(bootTime.get(), time);
  wall += 2_000;
  t.equal(bootTime.get(), time + 2_000);
  t.end();
});
