/**
 * Creates the parts of an instance, each from the parts that it depends on.
 * @module
 */
import { getIncarnationKey } from "@gladewall/coordination";
import type { Clock, Logger } from "@gladewall/kernel";
import type { Admission } from "./limits/admission.js";
import type { Endpoint, PeerWork } from "./endpoints/endpoint.js";
import { HeldBytes } from "./bodies/heldBytes.js";
import { LinkPace } from "./bodies/linkPace.js";
import { ContainedFailures } from "./failures/containedFailures.js";
import type { EndpointConnections } from "./endpoints/endpointConnections.js";
import { EndpointDirectory } from "./endpoints/endpointDirectory.js";
import type { BrittleServices } from "./brittle/brittleServices.js";
import { CapacityOrders } from "./capacity/capacityOrders.js";
import { CrashProtection } from "./crashes/crashProtection.js";
import { probeEndpoint } from "./crashes/endpointProbe.js";
import { ConfigurationFollower, type ConfigurationFollowerOptions } from "./configurationFollower.js";
import { DemandEstimator } from "./capacity/demandEstimator.js";
import {
  createAdmission,
  createBrittleServices,
  createRetries,
  createCharges,
  createLimits,
  createOrders,
  createServiceSlotScheduler,
  createSlots,
} from "./limits/limitParts.js";
import { LeaderTasks } from "./leaderTasks.js";
import type { FencedLeases } from "./fencedLeases.js";
import type { EraSettling } from "./store/eraSettling.js";
import { reportEras } from "./store/eraReporting.js";
import { createFeedTimings, type FeedTimings } from "./store/feedTimings.js";
import { LeavingGossip } from "./endpoints/leavingGossip.js";
import type { EndpointLimits } from "./limits/endpointLimits.js";
import { FencedOrders } from "./fencedOrders.js";
import {
  createForwarding,
  findForwardingAddress,
  type ForwardingParts,
} from "./forwarding/forwardingParts.js";
import type { ForwardingPeers } from "./forwarding/forwardingPeers.js";
import type { ForwardingServer } from "./forwarding/forwardingServer.js";
import type { ServicePaths } from "./forwarding/servicePaths.js";
import { GatewayMetrics } from "./gatewayMetrics.js";
import type { GatewaySettings } from "./gatewaySettings.js";
import { OverloadMode, OverloadSwitch } from "./overloadSwitch.js";
import type { PermitClient } from "./limits/permitClient.js";
import { gatewayPrefix } from "./fleet/memberRecords.js";
import { Members, type MembersOptions } from "./fleet/members.js";
import { GatewayItems, usagePrefix } from "./store/gatewayItems.js";
import { Placer } from "./placement/placer.js";
import { PrefixIndex } from "./placement/prefixIndex.js";
import { PrefillRates } from "./prefillRates.js";
import type { SuspectGate } from "./crashes/suspectGate.js";
import type { QuotaCharges } from "./limits/quotaCharges.js";
import type { AcceptanceRates } from "./limits/retries/acceptanceRates.js";
import type { RetryBudget } from "./limits/retries/retryBudget.js";
import { SharedCounters } from "./sharedCounters.js";
import { CounterKind } from "./limits/counterTypes.js";
import type { SlotArbiter } from "./slots/slotArbiter.js";
import type { SlotClient } from "./slots/slotClient.js";
import type { SlotContention } from "./slots/slotContention.js";
import { DisciplinedClock } from "./disciplinedClock.js";
import type { PlatformAdapter } from "./types.js";
import { UsageCounts } from "./usageCounts.js";
import { UsageReporter } from "./usageReporter.js";
import { ProofRequests } from "./proofRequests.js";
import type { EndChecker } from "./responses/endChecker.js";
import { createOrigins, createVersionHistory, type OriginParts } from "./origins/originParts.js";

const leaderLeaseKey = `${gatewayPrefix}duty`;
const leaderMarkerKey = `${gatewayPrefix}duties-begun`;
// Outside the prefix that all instances watch, because each change under that prefix costs a call of every
// instance.
const usageCheckpointKey = "gladewall-usage-draft";
/** Bytes of endpoints' responses, and of callers' requests, that are held at once; a machine has 350 MB. */
const maxHeldResponseBytes = 33_554_432;
const maxHeldRequestBytes = 67_108_864;
const demandWindowMs = 4_000;

/** Longer than a reader takes to begin to feed an instance that has just been listed. */
const firstWatchPauseMs = 800;

/** Queries to the fleet, implemented by parts that are created later. */
interface FleetQueries {
  readonly requestProofs: ConfigurationFollowerOptions["requestProofs"];
  readonly getPeerWork: (endpoint: string) => PeerWork;
}

/** What all parts depend on. */
interface GatewayBase {
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

/** All parts of an instance. */
export interface GatewayParts extends GatewayBase, Pick<OriginParts, "origins" | "takeUps"> {
  readonly follower: ConfigurationFollower;
  readonly directory: EndpointDirectory;
  readonly connections: EndpointConnections;
  /** Whether this instance reaches the endpoints itself. */
  readonly paths: ServicePaths;
  /** Peers through which attempts are passed on. */
  readonly forwarding: ForwardingPeers;
  /** Passes attempts of peers on. */
  readonly forwardingServer: ForwardingServer;
  /** Looks for evidence on the ends of responses. */
  readonly endChecker: EndChecker;
  readonly members: Members;
  /** Detects endpoints that crashed and keeps the requests that they had. */
  readonly crashProtection: CrashProtection;
  /** Decides whether such requests may run. */
  readonly suspects: SuspectGate;
  /** The limits that endpoints advertise for all instances together. */
  readonly limits: EndpointLimits;
  /** Requests permits to send to endpoints with an advertised limit. */
  readonly permits: PermitClient;
  /** Mode of the decisions on short capacity. */
  readonly overload: OverloadSwitch;
  /** Services whose endpoints crash if they refuse too much. */
  readonly brittle: BrittleServices;
  /** Which services are contended. */
  readonly contention: SlotContention;
  /** Decides on slots for this instance and its peers. */
  readonly slotArbiter: SlotArbiter;
  /** Requests slots of contended services. */
  readonly slots: SlotClient;
  readonly admission: Admission;
  readonly charges: QuotaCharges;
  readonly placer: Placer;
  readonly rates: PrefillRates;
  readonly budget: RetryBudget;
  /** How often endpoints accept requests now. */
  readonly acceptance: AcceptanceRates;
  readonly demand: DemandEstimator;
  readonly counters: SharedCounters;
  readonly metrics: GatewayMetrics;
  /** The bytes of endpoints' responses that are held. */
  readonly heldResponses: HeldBytes;
  /** The bytes of callers' requests that are held. */
  readonly heldRequests: HeldBytes;
  /** The rate at which long bodies are read. */
  readonly linkPace: LinkPace;
  readonly leaderTasks: LeaderTasks;
  /** Determines whether reads of the store show everything that was acknowledged. */
  readonly settling: EraSettling;
  readonly connectTimeoutMs: number;
  /** Sends the other instances immediately that prompt tokens were sent to an endpoint. */
  readonly announcePlacement: (endpoint: string, tokens: number) => void;
  /** Called once a request has begun to run, with the time of day at which it did. */
  readonly countRun: (workspace: string, at: number) => void;
  /** Returns the time of day. */
  readonly getTimeOfDay: () => number;
}

/** The parts by which the instances keep limits together. */
type AgreedParts = Pick<GatewayParts, "limits" | "permits" | "budget" | "acceptance">;

/** Creates the parts; nothing is opened or started. */
export function createGatewayParts(
  settings: GatewaySettings,
  platform: PlatformAdapter,
  clock: Clock,
  logger: Logger,
  createSlotScheduler = createServiceSlotScheduler,
): GatewayParts {
  const metrics = GatewayMetrics.create(settings.listen.metrics);
  const failures = ContainedFailures.create({ logger, metrics });
  const base: GatewayBase = { settings, platform, clock, logger, failures };
  const items: GatewayItems = createItems(
    base,
    () => members,
    () => time.get(),
  );
  const state = createState(
    { ...base, settling: items.settling },
    {
      requestProofs: (held) => proofRequests.request(held),
      getPeerWork: (endpoint) => members.getPeerWork(endpoint),
    },
  );
  const { time, follower, directory, usage, counters, rates } = state;
  const reporter: UsageReporter = createReporter(state, items, (key) => members.items.get(key));
  const history = createVersionHistory(state);
  const admission: Admission = createAdmission(state, createOrders(state, metrics), () => members);
  const members: Members = createMembers(state, reporter, {
    decideQuotaCall: (peer, call) => admission.decideForPeer(peer, call),
    onItem: (key, item, removal) => {
      for (const kept of [items, crashes, originParts, brittleItems]) kept.handleItem(key, item, removal);
    },
    needsKeepers: () => history.hasMixedServices,
    getForwardingAddress: () => findForwardingAddress(settings, forwardingParts.forwardingServer),
    onBeforeReport: () => {
      admission.updateDrainRates();
      agreed.budget.refresh();
      crashes.reconcile();
      originParts.reconcile();
      brittleItems.reconcile();
      items.writeDueItems();
    },
  });
  reportEras(platform.store.eras, logger, metrics);
  const originParts: OriginParts = createOrigins(state, history, members, metrics);
  const crashes: CrashProtection = createCrashes(state, members, metrics);
  const { brittle, brittleItems } = createBrittleServices(state, members);
  const agreed: AgreedParts = { ...createLimits(state, members, metrics), ...createRetries(state, members) };
  const forwardingParts: ForwardingParts = createForwarding(state, () => members, crashes, brittle);
  const proofRequests: ProofRequests = ProofRequests.create(members.links, follower, Math.random);
  return {
    ...base,
    follower,
    directory,
    ...forwardingParts,
    members,
    crashProtection: crashes,
    suspects: crashes.suspects,
    ...agreed,
    overload: state.overload,
    brittle,
    ...createSlots(state, members, metrics, brittle, createSlotScheduler),
    ...originParts,
    admission,
    charges: createCharges(state, admission, members, metrics),
    rates,
    placer: createPlacer(state, members, brittle),
    demand: state.demand,
    counters,
    metrics,
    heldResponses: HeldBytes.create(maxHeldResponseBytes),
    linkPace: state.linkPace,
    heldRequests: state.heldRequests,
    leaderTasks: createLeaderTasks(state, members, reporter, items.leases),
    settling: items.settling,
    connectTimeoutMs: settings.endpoints.connect_timeout,
    announcePlacement: (endpoint, tokens) => members.announcePlacement(endpoint, tokens),
    countRun: (workspace, at) => usage.add(reporter.getWindow(at), workspace),
    getTimeOfDay: () => time.get(),
  };
}

/**
 * Whether an instance has what it needs to serve: a configuration with a fresh proof, the endpoints, and the
 * gateway's own items, which say what requests must not run.
 */
export function canServe({
  follower,
  directory,
  members,
}: Pick<GatewayParts, "follower" | "directory" | "members">): boolean {
  return follower.hasFreshProof() && directory.isListed && members.isListed;
}

function createItems(base: GatewayBase, getMembers: () => Members, getTimeOfDay: () => number): GatewayItems {
  return GatewayItems.create({
    ...base,
    store: base.platform.store,
    isFirstStart: base.settings.instance.first_start,
    isWriter: () => getMembers().isReader && getMembers().isListed,
    getTimeOfDay,
  });
}

function createState(
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

function createReporter(
  state: GatewayState,
  { committedWindows: windows, settling }: GatewayItems,
  getItem: Members["items"]["get"],
): UsageReporter {
  const { settings, platform, clock, logger, time, usage } = state;
  return UsageReporter.create({
    store: platform.store,
    orders: state.orders,
    clock,
    logger,
    prefix: usagePrefix,
    windowMs: settings.orders.usage_window,
    getTimeOfDay: () => time.get(),
    checkpointKey: usageCheckpointKey,
    usage,
    life: getIncarnationKey({ name: settings.instance.name, incarnation: state.incarnation }),
    getItem,
    committed: windows,
    getDurableSince: () => settling.getDurableSince(),
  });
}

function createMembers(
  state: GatewayState,
  reporter: UsageReporter,
  handlers: Pick<
    MembersOptions,
    "decideQuotaCall" | "onItem" | "onBeforeReport" | "getForwardingAddress" | "needsKeepers"
  >,
): Members {
  const { settings, platform, clock, logger, counters, usage, time, directory, follower, rates } = state;
  const { instance, listen, peers } = settings;
  const members = Members.create({
    store: platform.store,
    clock,
    logger,
    name: instance.name,
    incarnation: state.incarnation,
    address: listen.peers,
    secret: peers.secret,
    reportIntervalMs: peers.report_interval,
    largeFleetIntervalMs: peers.large_fleet_interval,
    capacity: peers.capacity,
    largestMesh: peers.largest_mesh,
    revokeWithinMs: settings.configuration.revoke_within,
    feedTimings: state.feedTimings,
    counters,
    rates,
    memory: state.memory,
    usage,
    time,
    failures: state.failures,
    configuration: follower,
    endpoints: directory.follower,
    endpointPrefix: platform.endpointPrefix,
    getWindow: () => reporter.getWindow(time.get()),
    getWork: () => getWork(directory),
    ...handlers,
  });
  LeavingGossip.create(members, directory);
  return members;
}

function createPlacer(
  { overload, clock, memory, rates, directory }: GatewayState,
  members: Members,
  brittle: BrittleServices,
): Placer {
  return Placer.create({
    clock,
    memory,
    getPrefillRate: (service) => rates.get(service),
    getEndpoints: (service) => directory.getOfService(service),
    getPeerWork: (endpoint) => members.getPeerWork(endpoint),
    getFleetSize: () => members.getFleetSize(),
    getRefusalLimit: (service) => brittle.getLimit(service),
    usesReportedLoad: () => overload.mode !== OverloadMode.Off,
    getRandom: Math.random,
  });
}

function createCrashes(state: GatewayState, members: Members, metrics: GatewayMetrics): CrashProtection {
  const { settings, platform, clock, logger, directory, follower, time } = state;
  const { connect_timeout: connectTimeoutMs, drain: drainMs } = settings.endpoints;
  return CrashProtection.create({
    ownName: settings.instance.name,
    clock,
    logger,
    store: platform.store,
    directory,
    members,
    metrics,
    probe: (address) => probeEndpoint(address, connectTimeoutMs),
    drainMs,
    getTimeSinceTrouble: () => follower.getTimeSinceTrouble(),
    getTimeOfDay: () => time.get(),
  });
}

function createLeaderTasks(
  state: GatewayState,
  members: Members,
  reporter: UsageReporter,
  leases: FencedLeases,
): LeaderTasks {
  const { settings, platform, clock, logger, directory, follower, demand } = state;
  const { orders, instance } = settings;
  const capacity = CapacityOrders.create({
    orders: state.orders,
    clock,
    logger,
    getEndpoints: (service) => directory.getOfService(service),
    getNeeded: (service, halls, present) => demand.getNeededEndpoints(service, halls, present),
    isLoadAwaited: (service) => instance.first_start && !demand.hasSeenLoad(service),
  });
  return LeaderTasks.create({
    store: platform.store,
    leases,
    isFirstStart: instance.first_start,
    clock,
    logger,
    name: instance.name,
    leaseKey: leaderLeaseKey,
    markerKey: leaderMarkerKey,
    alternationWindowMs: orders.turn,
    usage: reporter,
    capacity,
    isEligible: () => members.isCollector,
    isFenceRefused: (fence) => state.orders.isRefused(fence),
    isLeaseFree: () =>
      members.isFleetStable && members.isListed && directory.isListed && !members.items.has(leaderLeaseKey),
    getServices: () => follower.getTable()?.configuration.services.values() ?? [],
  });
}

function getWork(directory: EndpointDirectory): ReadonlyMap<string, PeerWork> {
  const work = new Map<string, PeerWork>();
  for (const endpoint of directory.getAll()) {
    work.set(endpoint.incarnation, { active: endpoint.active, pendingTokens: endpoint.pendingTokens });
  }
  return work;
}
