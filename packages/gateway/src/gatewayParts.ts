/**
 * Puts the parts of a node together, each from those it stands on.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import { Admission } from "./admission.js";
import type { Backend, PeerWork } from "./backend.js";
import { BackendConnections } from "./backendConnections.js";
import { BackendDirectory } from "./backendDirectory.js";
import { CapacityOrders } from "./capacityOrders.js";
import { ConfigurationFollower, type ConfigurationFollowerOptions } from "./configurationFollower.js";
import { Demand } from "./demand.js";
import { Duties } from "./duties.js";
import { createFeedTimes, type FeedTimes } from "./feedTimes.js";
import { FencedOrders } from "./fencedOrders.js";
import { GatewayMetrics } from "./gatewayMetrics.js";
import type { GatewaySettings } from "./gatewaySettings.js";
import { ownPrefix } from "./memberRecords.js";
import { Members } from "./members.js";
import { Placer } from "./placement.js";
import { PrefixMemory } from "./prefixMemory.js";
import { ReadingRates } from "./readingRates.js";
import { RetryBudget } from "./retryBudget.js";
import { CounterKind, SharedCounters } from "./sharedCounters.js";
import { TrueTime } from "./trueTime.js";
import type { PlatformAdapter } from "./types.js";
import { UsageCounts } from "./usageCounts.js";
import { UsageReporter } from "./usageReporter.js";
import { Vouching } from "./vouching.js";

const dutyKey = `${ownPrefix}duty`;
const dutyMarkKey = `${ownPrefix}duties-begun`;
const usagePrefix = `${ownPrefix}usage/`;
// Outside the prefix that all nodes watch: each change there costs a call of every node.
const usageDraftKey = "gladewall-usage-draft";
const demandWindowMs = 4_000;

/** What the fleet says, asked of parts that are created later. */
interface FleetViews {
  readonly askPeers: ConfigurationFollowerOptions["askPeers"];
  readonly getPeerWork: (backend: string) => PeerWork;
}

/** What everything stands on. */
interface GatewayBase {
  readonly settings: GatewaySettings;
  readonly platform: PlatformAdapter;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** What is known of the platform and counted with the other nodes. */
interface GatewayViews extends GatewayBase {
  /** Grows with each life of the node. */
  readonly incarnation: number;
  readonly time: TrueTime;
  readonly feedTimes: FeedTimes;
  readonly follower: ConfigurationFollower;
  readonly directory: BackendDirectory;
  readonly usage: UsageCounts;
  readonly orders: FencedOrders;
  readonly counters: SharedCounters;
  readonly rates: ReadingRates;
  readonly memory: PrefixMemory;
  readonly demand: Demand;
}

/** All parts of a node. */
export interface GatewayParts extends GatewayBase {
  readonly follower: ConfigurationFollower;
  readonly directory: BackendDirectory;
  readonly connections: BackendConnections;
  readonly members: Members;
  readonly admission: Admission;
  readonly placer: Placer;
  readonly rates: ReadingRates;
  readonly budget: RetryBudget;
  readonly demand: Demand;
  readonly counters: SharedCounters;
  readonly metrics: GatewayMetrics;
  readonly duties: Duties;
  readonly connectTimeoutMs: number;
  readonly tellPlaced: (backend: string, tokens: number) => void;
  readonly countRun: (tenant: string, at: number) => void;
  readonly getTimeOfDay: () => number;
}

/** Creates the parts; nothing is opened or started. */
export function createGatewayParts(
  settings: GatewaySettings,
  platform: PlatformAdapter,
  clock: Clock,
  logger: Logger,
): GatewayParts {
  const views = createViews(
    { settings, platform, clock, logger },
    {
      askPeers: (revision) => vouching.ask(revision),
      getPeerWork: (backend) => members.getPeerWork(backend),
    },
  );
  const { time, follower, directory, usage, counters, rates } = views;
  const { retries, backends } = settings;
  const reporter: UsageReporter = createReporter(views, (key) => members.items.get(key));
  const getKnownShare = (): number => members.getKnownShare();
  const admission = createAdmission(views, getKnownShare);
  const members: Members = createMembers(views, reporter, () => admission.refreshLimits());
  const vouching: Vouching = Vouching.create(members.links, follower, Math.random);
  return {
    settings,
    platform,
    clock,
    logger,
    follower,
    directory,
    connections: BackendConnections.create(),
    members,
    admission,
    rates,
    placer: Placer.create({
      clock,
      memory: views.memory,
      getReadingRate: (service) => rates.get(service),
      getBackends: (service) => directory.getOfService(service),
      getPeerWork: (backend) => members.getPeerWork(backend),
      getRandom: Math.random,
    }),
    budget: RetryBudget.create({ counters, ratio: retries.ratio, slack: retries.slack, getKnownShare }),
    demand: views.demand,
    counters,
    metrics: GatewayMetrics.create(settings.listen.metrics),
    duties: createDuties(views, members, reporter),
    connectTimeoutMs: backends.connect_timeout,
    tellPlaced: (backend, tokens) => members.tellPlaced(backend, tokens),
    countRun: (tenant, at) => usage.add(reporter.getWindow(at), tenant),
    getTimeOfDay: () => time.get(),
  };
}

function createViews(base: GatewayBase, { askPeers, getPeerWork }: FleetViews): GatewayViews {
  const { settings, platform, clock, logger } = base;
  const { configuration, retries, quotas, backends } = settings;
  const feedTimes = createFeedTimes(Math.min(backends.drain, configuration.apply_within));
  const follower = ConfigurationFollower.create({
    platform,
    clock,
    logger,
    proofIntervalMs: configuration.proof_interval,
    readerIntervalMs: Math.min(configuration.proof_interval, feedTimes.proofIntervalMs),
    proofLifetimeMs: configuration.revoke_within - configuration.revoke_margin,
    askPeers,
  });
  const getTimeSinceTrouble = (): number => follower.getTimeSinceTrouble();
  const windows = {
    [CounterKind.Quota]: quotas.window,
    [CounterKind.Requests]: retries.window,
    [CounterKind.Repeats]: retries.window,
    [CounterKind.Work]: demandWindowMs,
  };
  const counters = SharedCounters.create({ clock, windows });
  const directory = BackendDirectory.create({
    platform,
    clock,
    logger,
    getTimeSinceTrouble,
    watchWaitMs: feedTimes.watchWaitMs,
    unlistedMs: feedTimes.unlistedMs,
  });
  const rates = ReadingRates.create({ clock, logger, startRate: backends.prefill_rate });
  const countActive = (sum: number, { id, active }: Backend): number => sum + active + getPeerWork(id).active;
  return {
    ...base,
    incarnation: clock.getWallTime(),
    time: TrueTime.create(clock),
    feedTimes,
    follower,
    directory,
    usage: UsageCounts.create(),
    orders: FencedOrders.create(platform.orders, logger),
    counters,
    rates,
    memory: PrefixMemory.create(),
    demand: Demand.create({
      clock,
      counters,
      getReadingRate: (service) => rates.get(service),
      isRateLearned: (service) => rates.isLearned(service),
      utilization: settings.orders.utilization,
      leastPerZone: settings.orders.least_per_zone,
      windowMs: demandWindowMs,
      getActive: (service) => directory.getOfService(service).reduce(countActive, 0),
    }),
  };
}

function createReporter(views: GatewayViews, getItem: Members["items"]["get"]): UsageReporter {
  const { settings, platform, clock, logger, time, usage } = views;
  return UsageReporter.create({
    store: platform.store,
    orders: views.orders,
    clock,
    logger,
    prefix: usagePrefix,
    windowMs: settings.orders.usage_window,
    getTimeOfDay: () => time.get(),
    draftKey: usageDraftKey,
    usage,
    life: `${settings.node.name}/${views.incarnation}`,
    getItem,
  });
}

function createMembers(views: GatewayViews, reporter: UsageReporter, onTurn: () => void): Members {
  const { settings, platform, clock, logger, counters, usage, time, directory, follower, rates } = views;
  const { node, listen, peers } = settings;
  return Members.create({
    store: platform.store,
    clock,
    logger,
    name: node.name,
    incarnation: views.incarnation,
    address: listen.peers,
    secret: peers.secret,
    reportIntervalMs: peers.report_interval,
    largeFleetIntervalMs: peers.large_fleet_interval,
    capacity: peers.capacity,
    largestMesh: peers.largest_mesh,
    revokeWithinMs: settings.configuration.revoke_within,
    feedTimes: views.feedTimes,
    counters,
    rates,
    memory: views.memory,
    usage,
    time,
    configuration: follower,
    backends: directory.follower,
    backendPrefix: platform.backendPrefix,
    getWindow: () => reporter.getWindow(time.get()),
    getWork: () => getWork(directory),
    onTurn,
  });
}

function createAdmission(views: GatewayViews, getKnownShare: () => number): Admission {
  const { settings, clock, follower, counters } = views;
  return Admission.create({
    clock,
    follower,
    counters,
    quotaWindowMs: settings.quotas.window,
    quotaSlack: settings.quotas.slack,
    isFirstStart: settings.node.first_start,
    getKnownShare,
    getRandom: Math.random,
  });
}

function createDuties(views: GatewayViews, members: Members, reporter: UsageReporter): Duties {
  const { settings, platform, clock, logger, directory, follower, demand } = views;
  const { orders, node } = settings;
  const capacity = CapacityOrders.create({
    orders: views.orders,
    clock,
    logger,
    getBackends: (service) => directory.getOfService(service),
    getNeeded: (service, zones, present) => demand.getNeeded(service, zones, present),
    isLoadAwaited: (service) => node.first_start && !demand.hasSeenLoad(service),
  });
  return Duties.create({
    store: platform.store,
    clock,
    logger,
    name: node.name,
    leaseKey: dutyKey,
    markKey: dutyMarkKey,
    turnMs: orders.turn,
    usage: reporter,
    capacity,
    isEligible: () => members.isCollector,
    isRefused: (fence) => views.orders.isRefused(fence),
    isFree: () => members.isSettled && members.isListed && directory.isListed && !members.items.has(dutyKey),
    getServices: () => follower.getTable()?.configuration.services.values() ?? [],
  });
}

function getWork(directory: BackendDirectory): ReadonlyMap<string, PeerWork> {
  const work = new Map<string, PeerWork>();
  for (const backend of directory.getAll()) {
    work.set(backend.id, { active: backend.active, pendingTokens: backend.pendingTokens });
  }
  return work;
}
