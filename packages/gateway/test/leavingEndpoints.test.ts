/*
 * Guards against two delays that together exceed the drain time: an instance learned late of a removed record, and then kept
 * using the endpoint as if its record had vanished in a store failure.
 */
import * as fc from "fast-check";
import t from "tap";
import { EndpointDirectory, type MetadataStore } from "@gladewall/gateway";
import { Logger, LogLevel, flushPromises, VirtualClock } from "@gladewall/kernel";
import { FakePlatform } from "@gladewall/standins";
import { type FollowedPrefix, followPrefix } from "./followers.js";
import { type Departure, drainMs, runDepartureScenario, stepMs } from "./fedFleet.js";

/** Time that a request may take to reach its endpoint. */
const sendingMs = 150;

const duration = fc.oneof(fc.integer({ min: 0, max: 1_500 }), fc.integer({ min: 0, max: 9_000 }));
const fault = fc.record({ at: fc.integer({ min: 0, max: 4_000 }), lasts: duration });
const departure: fc.Arbitrary<Departure> = fc.record({
  faults: fc.array(fault, { minLength: 1, maxLength: 3 }),
  leavesAt: fc.integer({ min: 0, max: 6_000 }),
  isStated: fc.boolean(),
});

/** Generated departures after which an endpoint was used for too long. */
const counterexamples: readonly Departure[] = [
  {
    faults: [
      { at: 6, lasts: 2_221 },
      { at: 1_746, lasts: 8 },
    ],
    leavesAt: 11,
    isStated: false,
  },
  {
    faults: [
      { at: 99, lasts: 6_049 },
      { at: 1_202, lasts: 4_365 },
      { at: 1_256, lasts: 1_060 },
    ],
    leavesAt: 512,
    isStated: false,
  },
  {
    faults: [
      { at: 2_713, lasts: 931 },
      { at: 205, lasts: 981 },
      { at: 3_425, lasts: 11 },
    ],
    leavesAt: 2_883,
    isStated: false,
  },
];

t.test(
  "a leaving endpoint stops getting requests in time, whichever readers the store refuses",
  async (t) => {
    const property = fc.asyncProperty(departure, async (generated) => {
      const usedFor = await runDepartureScenario(generated);
      return usedFor.fed + sendingMs <= drainMs;
    });
    const report = await fc.check(property, {
      seed: 31,
      numRuns: 24,
      endOnFailure: true,
      examples: counterexamples.map((generated) => [generated]),
    });
    t.equal(report.failed, false, JSON.stringify(report.counterexample));
  },
);

t.test("a reader that the store refuses learns from another one that an endpoint is leaving", async (t) => {
  const one = fc.record({
    faults: fc.array(fault, { minLength: 1, maxLength: 2 }),
    leavesAt: fc.integer({ min: 0, max: 6_000 }),
    isStated: fc.boolean(),
  });
  const property = fc.asyncProperty(one, async (generated) => {
    const usedFor = await runDepartureScenario(generated);
    return usedFor.readers + sendingMs <= drainMs;
  });
  const report = await fc.check(property, { seed: 31, numRuns: 12, endOnFailure: true });
  t.equal(report.failed, false, JSON.stringify(report.counterexample));
});

/** A generated departure of half a service after which it was used beyond the drain time. */
const togetherCounterexample: Departure = {
  faults: [
    { at: 2_434, lasts: 6_185 },
    { at: 1_042, lasts: 1_155 },
  ],
  leavesAt: 4_635,
  isStated: false,
  together: ["b", "c"],
};

// Guards against half of one small service counting as a loss by the store, whose endpoints are used until the store is back.
t.test("half of one service that leaves while other services stay is no longer used in time", async (t) => {
  const half: fc.Arbitrary<Departure> = fc.record({
    faults: fc.array(fault, { minLength: 1, maxLength: 3 }),
    leavesAt: fc.integer({ min: 0, max: 6_000 }),
    isStated: fc.constant(false),
    together: fc.constant(["b", "c"]),
  });
  const property = fc.asyncProperty(half, async (generated) => {
    const usedFor = await runDepartureScenario(generated);
    return Math.max(usedFor.fed, usedFor.readers) + sendingMs <= drainMs;
  });
  const report = await fc.check(property, {
    seed: 31,
    numRuns: 12,
    endOnFailure: true,
    examples: [[togetherCounterexample]],
  });
  t.equal(report.failed, false, JSON.stringify(report.counterexample));
});

t.test("a watch that stops delivering without an error is detected in time", async (t) => {
  const silent = fc.record({
    faults: fc.constant([]),
    silentAt: fc.integer({ min: 0, max: 3_000 }),
    leavesAt: fc.integer({ min: 0, max: 6_000 }),
    isStated: fc.boolean(),
  });
  const property = fc.asyncProperty(silent, async (generated) => {
    const usedFor = await runDepartureScenario(generated);
    return Math.max(usedFor.fed, usedFor.readers) + sendingMs <= drainMs;
  });
  const report = await fc.check(property, { seed: 31, numRuns: 8, endOnFailure: true });
  t.equal(report.failed, false, JSON.stringify(report.counterexample));
});

/** Follows the endpoints of a platform, and records the keys that are present. */
function follow(store: MetadataStore, prefix: string, clock: VirtualClock): FollowedPrefix {
  const followed = followPrefix(store, prefix, clock, { watchWaitMs: 600 });
  followed.follower.start();
  return followed;
}

/** Advances the virtual clock until closing has finished. */
async function close(closing: Promise<void>, clock: VirtualClock): Promise<void> {
  await clock.advance(20_000);
  await closing;
}

t.test("a listing that was under way when a removal arrived does not restore the removed item", async (t) => {
  const clock = VirtualClock.create();
  const platform = FakePlatform.create(clock);
  platform.putEndpoint({ id: "a", address: "127.0.0.1:1" });
  const { store, endpointPrefix } = platform.createAdapter();
  let deliver: () => void = () => undefined;
  const slowStore: MetadataStore = Object.assign(Object.create(store) as MetadataStore, {
    list: async (prefix: string) => {
      const listing = await store.list(prefix);
      await new Promise<void>((resolve) => (deliver = resolve));
      return listing;
    },
  });
  const { follower, present } = follow(slowStore, endpointPrefix, clock);
  await flushPromises();
  deliver();
  await flushPromises();
  t.equal(present.size, 1);
  follower.restart();
  await clock.advance(200);
  const key = `${endpointPrefix}a`;
  const revision = platform.shared.revision + 1;
  const { era } = platform.shared;
  const changes = { era, revision, items: [], removed: [{ key, revision }], isListing: false };
  follower.applyChanges(changes, Infinity);
  t.equal(present.size, 0);
  deliver();
  await flushPromises();
  t.equal(present.size, 0);
  await close(follower.close(), clock);
});

t.test("a watch that missed a change does not hide it", async (t) => {
  const clock = VirtualClock.create();
  const platform = FakePlatform.create(clock, stepMs);
  platform.putEndpoint({ id: "a", address: "127.0.0.1:1" });
  const { store, endpointPrefix } = platform.createAdapter();
  const { follower, present } = follow(store, endpointPrefix, clock);
  await clock.advance(100);
  t.equal(present.size, 1);
  platform.shared.hidesChanges = true;
  platform.removeEndpoint("a");
  // Long enough for a watch without events to end, and for the next one to begin.
  await clock.advance(1_000);
  platform.shared.compactHistory();
  platform.shared.hidesChanges = false;
  await clock.advance(1_500);
  t.equal(present.size, 0);
  await close(follower.close(), clock);
});

t.test(
  "the log says how old the news of a leaving endpoint may be, and which store failure explains it",
  async (t) => {
    const clock = VirtualClock.create();
    const platform = FakePlatform.create(clock, stepMs);
    const lines: string[] = [];
    const adapter = platform.createAdapter();
    const directory = EndpointDirectory.create({
      platform: adapter,
      clock,
      logger: Logger.create(LogLevel.Info, {}, (line) => lines.push(line)),
      getTimeSinceTrouble: () => 400,
      watchWaitMs: 600,
      unlistedMs: 500,
    });
    for (const id of ["a", "b", "c"]) platform.putEndpoint({ id, address: "127.0.0.1:1" });
    directory.start();
    await clock.advance(100);
    platform.shared.hidesChanges = true;
    await clock.advance(300);
    platform.shared.hidesChanges = false;
    platform.removeEndpoint("a");
    await clock.advance(1_000);
    const states = lines.filter((line) => line.includes("event=endpoint.state"));
    t.match(states[0], /state=Unlisted cause="record gone in trouble" unheardMs=450 troubleAgeMs=400/);
    t.match(states[1], /state=Leaving cause="not listed again"/);
    const closed = directory.close();
    await clock.advance(20_000);
    await closed;
  },
);
