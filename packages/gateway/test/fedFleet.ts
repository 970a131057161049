/**
 * Simulates departures of an endpoint in a fleet of three instances that read the store and one that is fed by them, on a virtual
 * clock and without links.
 * @module
 */
import {
  type ConfigurationFollower,
  createFeedTimings,
  EndpointDirectory,
  type PlatformAdapter,
  StoreFeed,
} from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import { FakePlatform, StoreFault } from "@gladewall/standins";
import { createConfigurationFollower } from "./followers.js";

/** Time within which instances must stop sending requests to a leaving endpoint; milliseconds. */
export const drainMs = 3_000;
const turnMs = 250;
/** Step of the simulation, which is the resolution of its times. */
export const stepMs = 50;

/** An instance's view of the store, without its links: the test decides which instance calls which. */
class StoreView {
  private constructor(
    readonly configuration: ConfigurationFollower,
    readonly directory: EndpointDirectory,
    readonly feed: StoreFeed,
    readonly platform: PlatformAdapter,
  ) {}

  static create(name: string, platform: FakePlatform, clock: VirtualClock): StoreView {
    const adapter = platform.createAdapter();
    const times = createFeedTimings(drainMs);
    const logger = Logger.createSilent();
    const configuration = createConfigurationFollower(adapter, clock, {
      readerIntervalMs: times.proofIntervalMs,
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
    const { eras } = adapter.store;
    const feed = StoreFeed.create({
      clock,
      logger,
      ownName: name,
      timings: times,
      eras,
      configuration,
      followers,
    });
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

/** Three readers of the store, and an instance that is fed by them. */
class FedFleet {
  readonly clock = VirtualClock.create();
  readonly platform = FakePlatform.create(this.clock, stepMs);
  readonly readers = readerNames.map((name) => StoreView.create(name, this.platform, this.clock));
  readonly fed = StoreView.create("told", this.platform, this.clock);

  static async create(): Promise<FedFleet> {
    const fleet = new FedFleet();
    fleet.platform.configure({});
    for (const id of ["a", "b", "c", "d", "e", "f"])
      fleet.platform.putEndpoint({ id, address: "127.0.0.1:1" });
    for (const id of ["g", "h", "i", "j", "k", "l", "m"]) {
      fleet.platform.putEndpoint({ id, service: "pool", address: "127.0.0.1:1" });
    }
    for (const view of [...fleet.readers, fleet.fed]) view.start();
    fleet.report();
    await fleet.clock.advance(6_000);
    return fleet;
  }

  /** Does what each instance does at its report interval. */
  private report(): void {
    this.clock.startTimer(turnMs, () => this.report());
    for (const reader of this.readers) {
      reader.feed.setRole(true);
      const others = readerNames.filter((_, index) => this.readers[index] !== reader);
      this.requestContent(reader, true, others);
    }
    this.fed.feed.setRole(false);
    this.requestContent(this.fed, false, readerNames);
  }

  private requestContent(requester: StoreView, isReader: boolean, linked: readonly string[]): void {
    const name = requester.feed.chooseReader(isReader, linked);
    const reader = this.readers[readerNames.indexOf(name ?? "")];
    const message = reader?.feed.createMessage(requester.feed.getState());
    if (message) requester.feed.apply(message, this.clock.getTime());
  }

  async close(): Promise<void> {
    const closed = Promise.all([...this.readers, this.fed].map((view) => view.close()));
    await this.clock.advance(20_000);
    await closed;
  }
}

/** A departure of an endpoint while the store refuses some readers. */
export interface Departure {
  /** When the store refuses each reader, and for how long; milliseconds. */
  readonly faults: readonly { readonly at: number; readonly lasts: number }[];
  /** When the store acknowledges that the endpoint is leaving. */
  readonly leavesAt: number;
  /** Whether its record is written as leaving; otherwise the record is removed. */
  readonly isStated: boolean;
  /** Endpoints of the same service, which has six, that leave with it; none by default. */
  readonly together?: readonly string[];
  /** When the open watches stop delivering. */
  readonly silentAt?: number;
}

/** How long the endpoint was still used after its departure was acknowledged; milliseconds. */
export interface UsedFor {
  readonly fed: number;
  /** The longest time over all readers. */
  readonly readers: number;
}

/** Simulates a departure. */
export async function runDepartureScenario(departure: Departure): Promise<UsedFor> {
  const { faults, leavesAt, isStated, together = [], silentAt } = departure;
  const fleet = await FedFleet.create();
  const { platform, clock } = fleet;
  const startedAt = clock.getTime();
  for (const [index, { at, lasts }] of faults.entries()) {
    const store = platform.stores[index]!;
    clock.startTimer(at, () => (store.fault = StoreFault.Down));
    clock.startTimer(at + lasts, () => (store.fault = StoreFault.None));
  }
  if (silentAt !== undefined) {
    clock.startTimer(silentAt, () => platform.stores.forEach((store) => store.stallWatches()));
  }
  clock.startTimer(leavesAt, () => {
    for (const id of ["a", ...together]) {
      if (isStated) platform.putEndpoint({ id, address: "127.0.0.1:1", isLeaving: true });
      else platform.removeEndpoint(id);
    }
  });
  const usedFor = { fed: 0, readers: 0 };
  for (let time = 0; time < leavesAt + 2 * drainMs; time += stepMs) {
    const elapsed = clock.getTime() - startedAt - leavesAt;
    if (fleet.fed.uses("a")) usedFor.fed = elapsed;
    if (fleet.readers.some((reader) => reader.uses("a"))) usedFor.readers = elapsed;
    await clock.advance(stepMs);
  }
  await fleet.close();
  return usedFor;
}
