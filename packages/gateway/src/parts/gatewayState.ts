/**
 * Creates the state of the platform that an instance follows, and the counts that it shares with other instances.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import type { Endpoint, PeerWork } from "../endpoints/endpoint.js";
import { HeldBytes } from "../bodies/heldBytes.js";
import { LinkPace } from "../bodies/linkPace.js";
import { ContainedFailures } from "../failures/containedFailures.js";
import { EndpointDirectory } from "../endpoints/endpointDirectory.js";
import {
  ConfigurationFollower,
  type ConfigurationFollowerOptions,
} from "../configuration/configurationFollower.js";
import { DemandEstimator } from "../capacity/demandEstimator.js";
import type { EraSettling } from "../store/eraSettling.js";
import { createFeedTimings, type FeedTimings } from "../store/feedTimings.js";
import { FencedOrders } from "../leadership/fencedOrders.js";
import type { GatewaySettings } from "../gatewaySettings.js";
import { OverloadSwitch } from "../overloadSwitch.js";
import { PrefixIndex } from "../placement/prefixIndex.js";
import { PrefillRates } from "../prefillRates.js";
import { SharedCounters } from "../counters/sharedCounters.js";
import { CounterKind } from "../limits/counterTypes.js";
import { DisciplinedClock } from "../disciplinedClock.js";
import type { PlatformAdapter } from "../types.js";
import { UsageCounts } from "../usage/usageCounts.js";

/** Bytes of callers' requests that are held at once; a machine has 350 MB. */
const maxHeldRequestBytes = 67_108_864;
const demandWindowMs = 4_000;

/** Longer than a reader takes to begin to feed an instance that has just been listed. */
const firstWatchPauseMs = 800;

/** Queries to the fleet, implemented by parts that are created later. */
export interface FleetQueries {
  readonly requestProofs: ConfigurationFollowerOptions["requestProofs"];
  readonly getPeerWork: (endpoint: string) => PeerWork;
}

/** What all parts depend on. */
export interface GatewayBase {
  readonly settings: GatewaySettings;
  readonly platform: PlatformAdapter;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Failures of this instance itself that ended one request or message. */
  readonly failures: ContainedFailures;
}

/** The parts that hold the state of the platform and the counts that are shared with other instances. */
export interface GatewayState extends GatewayBase {
  readonly settling: EraSettling;
  /** Grows with each start of the instance. */
  readonly incarnation: number;
  readonly time: DisciplinedClock;
  readonly feedTimings: FeedTimings;
  readonly follower: ConfigurationFollower;
  readonly directory: EndpointDirectory;
  readonly usage: UsageCounts;
  readonly orders: FencedOrders;
  readonly counters: SharedCounters;
  readonly rates: PrefillRates;
  readonly memory: PrefixIndex;
  readonly demand: DemandEstimator;
  readonly overload: OverloadSwitch;
  readonly linkPace: LinkPace;
  readonly heldRequests: HeldBytes;
}

/** Creates the state; nothing is opened or started. */
export function createState(
  base: Pick<GatewayState, keyof GatewayBase | "settling">,
  { requestProofs, getPeerWork }: FleetQueries,
): GatewayState {
  const { settings, platform, clock, logger, settling } = base;
  const { configuration, retries, quotas, endpoints } = settings;
  const feedTimings = createFeedTimings(Math.min(endpoints.drain, configuration.apply_within));
  const follower = ConfigurationFollower.create({
    platform,
    clock,
    logger,
    proofIntervalMs: configuration.proof_interval,
    readerIntervalMs: Math.min(configuration.proof_interval, feedTimings.proofIntervalMs),
    proofLifetimeMs: configuration.revoke_within - configuration.revoke_margin,
    firstWatchPauseMs,
    requestProofs,
    settling,
  });
  const getTimeSinceTrouble = (): number => follower.getTimeSinceTrouble();
  const windows = {
    [CounterKind.Quota]: quotas.window,
    [CounterKind.Requests]: retries.window,
    [CounterKind.Retries]: retries.window,
    [CounterKind.PromptTokens]: demandWindowMs,
  };
  const counters = SharedCounters.create({ clock, ownName: settings.instance.name, windows });
  const directory = EndpointDirectory.create({
    platform,
    clock,
    logger,
    getTimeSinceTrouble,
    watchWaitMs: feedTimings.watchWaitMs,
    firstWatchPauseMs,
    unlistedMs: feedTimings.unlistedMs,
  });
  const rates = PrefillRates.create({ clock, logger, initialRate: endpoints.prefill_rate });
  const countActive = (sum: number, { incarnation, active }: Endpoint): number =>
    sum + active + getPeerWork(incarnation).active;
  return {
    ...base,
    incarnation: clock.getWallTime(),
    time: DisciplinedClock.create(clock),
    feedTimings,
    follower,
    directory,
    usage: UsageCounts.create(),
    orders: FencedOrders.create(platform.orders, logger),
    counters,
    rates,
    memory: PrefixIndex.create(),
    overload: OverloadSwitch.create(settings.overload.mode),
    linkPace: LinkPace.create(clock),
    heldRequests: HeldBytes.create(maxHeldRequestBytes),
    demand: DemandEstimator.create({
      clock,
      counters,
      getPrefillRate: (service) => rates.get(service),
      isRateLearned: (service) => rates.isLearned(service),
      utilization: settings.orders.utilization,
      minEndpointsPerHall: settings.orders.least_per_hall,
      windowMs: demandWindowMs,
      getActive: (service) => directory.getOfService(service).reduce(countActive, 0),
    }),
  };
}
