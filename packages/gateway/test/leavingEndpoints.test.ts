/*
 * What happened: requests still reached an endpoint later than the drain time after the store had acknowledged that it
 * was leaving. Sequence: the store turns one reader of three away; an endpoint's record vanishes; an instance that asks
 * that reader goes on believing it for 0.6 of the drain time, hears of the removal from the next reader, holds the
 * first reader's trouble for the explanation, and only then begins the 0.65 of the drain time for which a record that
 * vanishes in trouble is used on. Cause: two allowances out of one bound, the second counted from when an instance
 * hears of a change and not from when the store may have acknowledged it. What settled it: 120 drawn departures, the
 * drain time 3,000 ms: heard after 2,189 ms at most; used for 4,139 ms at most, over 2,850 ms in 14 of them.
 */
import * as fc from "fast-check";
import t from "tap";
import {
  EndpointDirectory,
  ConfigurationFollower,
  createFeedTimes,
  type MetadataStore,
  type PlatformAdapter,
  PrefixFollower,
  StoreFeed,
} from "@gladewall/gateway";
import { Logger, LogLevel, settlePromises, VirtualClock } from "@gladewall/kernel";
import { StandinPlatform, StoreTrouble } from "@gladewall/standins";

const drainMs = 3_000;
const turnMs = 250;
/** How closely times are told apart. */
const stepMs = 50;
/** What the way of a request to its endpoint may take. */
const sendingMs = 150;

/** An instance's view of the store, without its links: who asks whom is said by the test. */
class StoreView {
  private constructor(
    readonly configuration: ConfigurationFollower,
    readonly directory: EndpointDirectory,
    readonly feed: StoreFeed,
    readonly platform: PlatformAdapter,
  ) {}

  static create(name: string, platform: StandinPlatform, clock: VirtualClock): StoreView {
    const adapter = platform.createAdapter();
    const times = createFeedTimes(drainMs);
    const logger = Logger.createSilent();
    const configuration = ConfigurationFollower.create({
      platform: adapter,
      clock,
      logger,
      proofIntervalMs: 1_500,
      readerIntervalMs: times.proofIntervalMs,
      proofLifetimeMs: 4_600,
      askPeers: async () => [],
    });
    const directory = EndpointDirectory.create({
      platform: adapter,
      clock,
      logger,
      getTimeSinceTrouble: () => configuration.getTimeSinceTrouble(),
      watchWaitMs: times.watchWaitMs,
      unlistedMs: times.unlistedMs,
    });
    const followers = { [adapter.endpointPrefix]: directory.follower };
    const feed = StoreFeed.create({ clock, logger, own: name, times, configuration, followers });
    return new StoreView(configuration, directory, feed, adapter);
  }

  start(): void {
    this.configuration.start();
    this.directory.start();
  }

  uses(id: string): boolean {
    return this.directory.get(id)?.isUsable() === true;
  }

  async close(): Promise<void> {
    await Promise.all([this.configuration.close(), this.directory.close()]);
  }
}

const readerNames = ["r1", "r2", "r3"];

/** Three readers of the store, and an instance that they tell. */
class ToldFleet {
  readonly clock = VirtualClock.create();
  readonly platform = StandinPlatform.create(this.clock, stepMs);
  readonly readers = readerNames.map((name) => StoreView.create(name, this.platform, this.clock));
  readonly told = StoreView.create("told", this.platform, this.clock);

  static async create(): Promise<ToldFleet> {
    const fleet = new ToldFleet();
    fleet.platform.configure({});
    for (const id of ["a", "b", "c", "d", "e", "f"]) fleet.platform.list({ id, address: "127.0.0.1:1" });
    for (const view of [...fleet.readers, fleet.told]) view.start();
    fleet.takeTurn();
    await fleet.clock.advance(6_000);
    return fleet;
  }

  /** What an instance does at each of its reports. */
  private takeTurn(): void {
    this.clock.startTimer(turnMs, () => this.takeTurn());
    for (const reader of this.readers) {
      reader.feed.setRole(true);
      const others = readerNames.filter((_, index) => this.readers[index] !== reader);
      if (reader.feed.isAsking(true)) this.ask(reader, others);
    }
    this.told.feed.setRole(false);
    this.ask(this.told, readerNames);
  }

  private ask(asker: StoreView, linked: readonly string[]): void {
    const name = asker.feed.chooseReader(linked);
    const asked = this.readers[readerNames.indexOf(name ?? "")];
    const answer = asked?.feed.createMessage(asker.feed.getState());
    if (answer) asker.feed.take(answer, this.clock.getTime());
  }

  async close(): Promise<void> {
    const closed = Promise.all([...this.readers, this.told].map((view) => view.close()));
    await this.clock.advance(20_000);
    await closed;
  }
}

/** One way in which an endpoint leaves while the store turns some readers away. */
interface Departure {
  /** When the store turns each reader away, and for how long; milliseconds. */
  readonly troubles: readonly { readonly at: number; readonly lasts: number }[];
  /** When the store acknowledges that the endpoint leaves. */
  readonly leavesAt: number;
  /** Whether its record says that it leaves; else the record vanishes. */
  readonly isStated: boolean;
  /** When the watches that are under way fall silent. */
  readonly silentAt?: number;
}

/** Milliseconds after the acknowledgement of a departure for which the endpoint was used. */
interface UsedFor {
  readonly told: number;
  /** The longest of all readers. */
  readonly readers: number;
}

/** Plays a departure. */
async function playDeparture({ troubles, leavesAt, isStated, silentAt }: Departure): Promise<UsedFor> {
  const fleet = await ToldFleet.create();
  const { platform, clock } = fleet;
  const startedAt = clock.getTime();
  for (const [index, { at, lasts }] of troubles.entries()) {
    const store = platform.stores[index]!;
    clock.startTimer(at, () => (store.trouble = StoreTrouble.Down));
    clock.startTimer(at + lasts, () => (store.trouble = StoreTrouble.None));
  }
  if (silentAt !== undefined) {
    clock.startTimer(silentAt, () => platform.stores.forEach((store) => store.silenceWatches()));
  }
  clock.startTimer(leavesAt, () => {
    if (isStated) platform.list({ id: "a", address: "127.0.0.1:1", isLeaving: true });
    else platform.unlist("a");
  });
  const usedFor = { told: 0, readers: 0 };
  for (let time = 0; time < leavesAt + 2 * drainMs; time += stepMs) {
    const elapsed = clock.getTime() - startedAt - leavesAt;
    if (fleet.told.uses("a")) usedFor.told = elapsed;
    if (fleet.readers.some((reader) => reader.uses("a"))) usedFor.readers = elapsed;
    await clock.advance(stepMs);
  }
  await fleet.close();
  return usedFor;
}

const duration = fc.oneof(fc.integer({ min: 0, max: 1_500 }), fc.integer({ min: 0, max: 9_000 }));
const trouble = fc.record({ at: fc.integer({ min: 0, max: 4_000 }), lasts: duration });
const departure: fc.Arbitrary<Departure> = fc.record({
  troubles: fc.array(trouble, { minLength: 1, maxLength: 3 }),
  leavesAt: fc.integer({ min: 0, max: 6_000 }),
  isStated: fc.boolean(),
});

t.test(
  "whichever readers the store turns away, work stops going to an endpoint that leaves in time",
  async (t) => {
    const property = fc.asyncProperty(departure, async (drawn) => {
      const usedFor = await playDeparture(drawn);
      return usedFor.told + sendingMs <= drainMs;
    });
    const report = await fc.check(property, { seed: 31, numRuns: 60, endOnFailure: true });
    t.equal(report.failed, false, JSON.stringify(report.counterexample));
  },
);

t.test("a reader that the store turns away learns from another that an endpoint leaves", async (t) => {
  const one = fc.record({
    troubles: fc.array(trouble, { minLength: 1, maxLength: 2 }),
    leavesAt: fc.integer({ min: 0, max: 6_000 }),
    isStated: fc.boolean(),
  });
  const property = fc.asyncProperty(one, async (drawn) => {
    const usedFor = await playDeparture(drawn);
    return usedFor.readers + sendingMs <= drainMs;
  });
  const report = await fc.check(property, { seed: 31, numRuns: 40, endOnFailure: true });
  t.equal(report.failed, false, JSON.stringify(report.counterexample));
});

t.test("a watch that falls silent without an error is found out in time", async (t) => {
  const silent = fc.record({
    troubles: fc.constant([]),
    silentAt: fc.integer({ min: 0, max: 3_000 }),
    leavesAt: fc.integer({ min: 0, max: 6_000 }),
    isStated: fc.boolean(),
  });
  const property = fc.asyncProperty(silent, async (drawn) => {
    const usedFor = await playDeparture(drawn);
    return Math.max(usedFor.told, usedFor.readers) + sendingMs <= drainMs;
  });
  const report = await fc.check(property, { seed: 31, numRuns: 30, endOnFailure: true });
  t.equal(report.failed, false, JSON.stringify(report.counterexample));
});

t.test("a listing that was under way when a removal came in does not bring back what went", async (t) => {
  const clock = VirtualClock.create();
  const platform = StandinPlatform.create(clock);
  platform.list({ id: "a", address: "127.0.0.1:1" });
  const { store, endpointPrefix } = platform.createAdapter();
  let deliver: () => void = () => undefined;
  const slowStore: MetadataStore = Object.assign(Object.create(store) as MetadataStore, {
    list: async (prefix: string) => {
      const listing = await store.list(prefix);
      await new Promise<void>((resolve) => (deliver = resolve));
      return listing;
    },
  });
  const present = new Set<string>();
  const logger = Logger.createSilent();
  const listener = {
    handlePut: ({ key }: { key: string }) => void present.add(key),
    handleRemoved: (key: string) => void present.delete(key),
  };
  const follower = PrefixFollower.create({
    store: slowStore,
    prefix: endpointPrefix,
    clock,
    logger,
    listener,
  });
  follower.start();
  await settlePromises();
  deliver();
  await settlePromises();
  t.equal(present.size, 1);
  follower.restart();
  await clock.advance(200);
  const key = `${endpointPrefix}a`;
  const revision = platform.shared.revision + 1;
  follower.takeChanges({ revision, items: [], removed: [{ key, revision }], isListing: false }, Infinity);
  t.equal(present.size, 0);
  deliver();
  await settlePromises();
  t.equal(present.size, 0);
  const closed = follower.close();
  await clock.advance(20_000);
  await closed;
});

t.test("a watch that was deaf while something changed does not hide the change", async (t) => {
  const clock = VirtualClock.create();
  const platform = StandinPlatform.create(clock, stepMs);
  platform.list({ id: "a", address: "127.0.0.1:1" });
  const { store, endpointPrefix } = platform.createAdapter();
  const present = new Set<string>();
  const listener = {
    handlePut: ({ key }: { key: string }) => void present.add(key),
    handleRemoved: (key: string) => void present.delete(key),
  };
  const logger = Logger.createSilent();
  const base = { store, prefix: endpointPrefix, clock, logger, listener };
  const follower = PrefixFollower.create({ ...base, watchWaitMs: 600 });
  follower.start();
  await clock.advance(100);
  t.equal(present.size, 1);
  platform.shared.isDeaf = true;
  platform.unlist("a");
  // Long enough for a watch to end that has heard nothing, and for the next one to begin.
  await clock.advance(1_000);
  platform.shared.forgetHistory();
  platform.shared.isDeaf = false;
  await clock.advance(1_500);
  t.equal(present.size, 0);
  const closed = follower.close();
  await clock.advance(20_000);
  await closed;
});

t.test(
  "the log says how old a word may be that an endpoint leaves, and which trouble explains it",
  async (t) => {
    const clock = VirtualClock.create();
    const platform = StandinPlatform.create(clock, stepMs);
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
    for (const id of ["a", "b", "c"]) platform.list({ id, address: "127.0.0.1:1" });
    directory.start();
    await clock.advance(100);
    platform.shared.isDeaf = true;
    await clock.advance(300);
    platform.shared.isDeaf = false;
    platform.unlist("a");
    await clock.advance(1_000);
    const states = lines.filter((line) => line.includes("event=endpoint.state"));
    t.match(states[0], /state=Unlisted cause="record gone in trouble" unheardMs=450 troubleAgeMs=400/);
    t.match(states[1], /state=Leaving cause="not listed again"/);
    const closed = directory.close();
    await clock.advance(20_000);
    await closed;
  },
);
