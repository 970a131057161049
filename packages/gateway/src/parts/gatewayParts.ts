/**
 * Creates the parts of an instance, each from the parts that it depends on.
 * @module
 */
import { getIncarnationKey } from "@gladewall/coordination";
import type { Clock, Logger } from "@gladewall/kernel";
import type { Admission } from "../limits/admission.js";
import type { PeerWork } from "../endpoints/endpoint.js";
import { HeldBytes } from "../bodies/heldBytes.js";
import { ContainedFailures } from "../failures/containedFailures.js";
import { EndpointDirectory } from "../endpoints/endpointDirectory.js";
import type { BrittleServices } from "../brittle/brittleServices.js";
import { CapacityOrders } from "../capacity/capacityOrders.js";
import { CrashProtection } from "../crashes/crashProtection.js";
import { probeEndpoint } from "../crashes/endpointProbe.js";
import {
  createAdmission,
  createBrittleServices,
  createRetries,
  createCharges,
  createLimits,
  createOrders,
  createServiceSlotScheduler,
  createSlots,
} from "../limits/limitParts.js";
import { LeaderTasks } from "../leadership/leaderTasks.js";
import type { FencedLeases } from "../leadership/fencedLeases.js";
import { reportEras } from "../store/eraReporting.js";
import { LeavingGossip } from "../endpoints/leavingGossip.js";
import {
  createForwarding,
  findForwardingAddress,
  type ForwardingParts,
} from "../forwarding/forwardingParts.js";
import { GatewayMetrics } from "../gatewayMetrics.js";
import type { GatewaySettings } from "../gatewaySettings.js";
import { OverloadMode } from "../overloadSwitch.js";
import { gatewayPrefix } from "../fleet/memberRecords.js";
import { Members, type MembersOptions } from "../fleet/members.js";
import { GatewayItems, usagePrefix } from "../store/gatewayItems.js";
import { Placer } from "../placement/placer.js";
import type { PlatformAdapter } from "../types.js";
import { UsageReporter } from "../usage/usageReporter.js";
import { ProofRequests } from "../configuration/proofRequests.js";
import { createOrigins, createStreamViews, type OriginParts } from "../origins/originParts.js";
import type { GatewayParts } from "./gatewayPartTypes.js";
import { createState, type GatewayBase, type GatewayState } from "./gatewayState.js";

const leaderLeaseKey = `${gatewayPrefix}duty`;
const leaderMarkerKey = `${gatewayPrefix}duties-begun`;
// Outside the prefix that all instances watch, because each change under that prefix costs a call of every
// instance.
const usageCheckpointKey = "gladewall-usage-draft";
/** Bytes of endpoints' responses that are held at once; a machine has 350 MB. */
const maxHeldResponseBytes = 33_554_432;

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
  const views = createStreamViews(state);
  const admission: Admission = createAdmission(state, createOrders(state, metrics), () => members);
  const members: Members = createMembers(state, reporter, {
    decideQuotaCall: (peer, call) => admission.decideForPeer(peer, call),
    onItem: (key, item, removal) => {
      for (const kept of [items, crashes, originParts, brittleItems, limitItem])
        kept.handleItem(key, item, removal);
    },
    needsKeepers: () => views.history.hasMixedServices,
    getForwardingAddress: () => findForwardingAddress(settings, forwardingParts.forwardingServer),
    onBeforeReport: () => {
      admission.updateDrainRates();
      agreed.budget.refresh();
      for (const kept of [crashes, originParts, brittleItems, limitItem]) kept.reconcile();
      items.writeDueItems();
    },
  });
  reportEras(platform.store.eras, logger, metrics);
  const originParts: OriginParts = createOrigins(state, views, members, metrics);
  const crashes: CrashProtection = createCrashes(state, members, metrics);
  const { brittle, brittleItems } = createBrittleServices(state, members);
  const { limitItem, ...limitParts } = createLimits(state, members, metrics);
  const agreed: AgreedParts = { ...limitParts, ...createRetries(state, members) };
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

function createItems(base: GatewayBase, getMembers: () => Members, getTimeOfDay: () => number): GatewayItems {
  return GatewayItems.create({
    ...base,
    store: base.platform.store,
    isFirstStart: base.settings.instance.first_start,
    isWriter: () => getMembers().isReader && getMembers().isListed,
    getTimeOfDay,
  });
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
