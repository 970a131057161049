import t from "tap";
import { MemberRecords } from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import { FakePlatform } from "@gladewall/standins";

const fleetSize = 320;
const startedWithinMs = 300;
/** Calls per second that the store of a fleet of that size allows all instances together. */
const readsPerSecond = 2_000;
const writesPerSecond = 400;

/** Creates the member records of a large fleet on a virtual clock; three of them read the store, the others do not. */
async function createFleet() {
  const clock = VirtualClock.create();
  const platform = FakePlatform.create(clock, 200);
  const start = (index: number): MemberRecords => {
    const records = MemberRecords.create({
      store: platform.createAdapter().store,
      clock,
      logger: Logger.createSilent(),
      name: `instance-${index}`,
      incarnation: 1,
      address: "127.0.0.1:1",
      capacity: index,
      onChange: () => undefined,
      isLinked: () => true,
    });
    records.follower.setPassive(index >= 3);
    records.start();
    return records;
  };
  const fleet: MemberRecords[] = [];
  for (let index = 0; index < fleetSize; index++) {
    clock.startTimer((index * startedWithinMs) / fleetSize, () => fleet.push(start(index)));
  }
  await clock.advance(6_000);
  return { clock, platform, fleet };
}

// Guards against a burst of calls: every instance finds at the same time that its lease belongs to a past era.
t.test("a large fleet stays within the store's rate limits after the store was restored", async (t) => {
  const { clock, platform, fleet } = await createFleet();
  const { shared } = platform;
  shared.restore(shared.takeSnapshot());
  let maxReads = 0;
  let maxWrites = 0;
  for (let second = 0; second < 6; second++) {
    const { reads, writes } = shared;
    await clock.advance(1_000);
    maxReads = Math.max(maxReads, shared.reads - reads);
    maxWrites = Math.max(maxWrites, shared.writes - writes);
  }
  t.ok(maxReads < readsPerSecond, `${maxReads} reads in a second`);
  t.ok(maxWrites < writesPerSecond / 4, `${maxWrites} writes in a second`);
  const recorded = [...shared.entries.keys()].filter((key) => key.startsWith("gladewall/members/"));
  t.equal(recorded.length, fleetSize, "all instances are recorded");
  await clock.advance(10_000);
  t.equal([...shared.entries.keys()].filter((key) => key.startsWith("gladewall/members/")).length, fleetSize);
  const closed = Promise.all(fleet.map((records) => records.close()));
  await clock.advance(20_000);
  await closed;
});

t.test("instances whose records the snapshot lacks record themselves again", async (t) => {
  const clock = VirtualClock.create();
  const platform = FakePlatform.create(clock, 200);
  const copy = platform.shared.takeSnapshot();
  const records = MemberRecords.create({
    store: platform.createAdapter().store,
    clock,
    logger: Logger.createSilent(),
    name: "one",
    incarnation: 1,
    address: "127.0.0.1:1",
    capacity: 1,
    onChange: () => undefined,
    isLinked: () => true,
  });
  records.start();
  await clock.advance(3_000);
  t.ok(platform.shared.entries.has("gladewall/members/one"));
  platform.shared.restore(copy);
  await clock.advance(3_000);
  t.ok(platform.shared.entries.has("gladewall/members/one"));
  await clock.advance(10_000);
  t.ok(platform.shared.entries.has("gladewall/members/one"), "the record is under a lease that is renewed");
  const closed = records.close();
  await clock.advance(20_000);
  await closed;
});
