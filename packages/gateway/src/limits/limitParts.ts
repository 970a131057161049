/**
 * Creates the parts that limit and order requests: admission, quotas, the retry budget, permits, and slots.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { ServiceSlotScheduler, type SlotScheduler } from "@gladewall/policy";
import { Admission } from "./admission.js";
import { BrittleItems } from "../brittle/brittleItems.js";
import { BrittleServices } from "../brittle/brittleServices.js";
import { EndpointLimits } from "./endpointLimits.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { GatewayParts } from "../parts/gatewayPartTypes.js";
import type { GatewayState } from "../parts/gatewayState.js";
import type { GatewaySettings } from "../gatewaySettings.js";
import { LimitItem, limitsKey } from "./limitItem.js";
import { LimitGossip } from "./limitGossip.js";
import { LimitOrders } from "./limitOrders.js";
import type { Members } from "../fleet/members.js";
import { PermitClient } from "./permitClient.js";
import { PermitIssuer } from "./permitIssuer.js";
import { QuotaCharges } from "./quotaCharges.js";
import { AcceptanceRates } from "./retries/acceptanceRates.js";
import { RetryBudget } from "./retries/retryBudget.js";
import { RetryLinks } from "./retries/retryLinks.js";
import { OpenSlots } from "../slots/openSlots.js";
import { RecentArbiters } from "../slots/recentArbiters.js";
import { SlotArbiter } from "../slots/slotArbiter.js";
import { claimSlots, SlotClaims } from "../slots/slotClaims.js";
import { SlotClient } from "../slots/slotClient.js";
import { SlotContention } from "../slots/slotContention.js";
import { getSlotSubject, SlotTransport } from "../slots/slotTransport.js";

/** Creates the scheduler of a service's slots. */
export type SlotSchedulerFactory = (settings: GatewaySettings, clock: Clock) => SlotScheduler;

/** Creates a scheduler with the limits of the settings. */
export const createServiceSlotScheduler: SlotSchedulerFactory = (settings, clock) =>
  ServiceSlotScheduler.create({
    clock,
    maxWaiting: settings.overload.max_waiting,
    getRandom: Math.random,
  });

/** Creates the retry budget that all instances share, and what tells whether a retry is worthwhile. */
export function createRetries(
  { settings, clock, incarnation, counters }: GatewayState,
  members: Members,
): Pick<GatewayParts, "budget" | "acceptance"> {
  const { instance, retries } = settings;
  const lender: RetryLinks = RetryLinks.create({
    fleet: members,
    incarnation,
    getUptime: () => counters.getUptime(),
    findPeerUptime: (name) => members.findPeerUptime(name),
    decide: (call) => budget.decideForPeer(call),
    addLoan: (service, amount, lapsesInMs) => budget.addLoan(service, amount, lapsesInMs),
  });
  const budget: RetryBudget = RetryBudget.create({
    clock,
    counters,
    windowMs: retries.window,
    ratio: retries.ratio,
    slack: retries.slack,
    findFleetSize: () => members.findFleetSize(),
    ownName: instance.name,
    arbiters: members.arbiters,
    lender,
  });
  return { budget, acceptance: AcceptanceRates.create(clock) };
}

/** What keeps the rate limits that endpoints advertise, here and in the store. */
interface LimitParts extends Pick<GatewayParts, "limits" | "permits"> {
  readonly limitItem: LimitItem;
}

/** Creates what keeps the rate limits that endpoints advertise. */
export function createLimits(
  { settings, platform, clock, logger, directory }: GatewayState,
  members: Members,
  metrics: GatewayMetrics,
): LimitParts {
  const limits = EndpointLimits.create({ clock, logger, directory });
  const permits: PermitClient = PermitClient.create({
    ownName: settings.instance.name,
    clock,
    logger,
    metrics,
    limits,
    issuer: PermitIssuer.create({ clock, logger, getRandom: Math.random }),
    arbiters: members.arbiters,
    canIssuePermits: (name) => links.canIssuePermits(name),
    getFleetSize: () => members.getServingSize(),
  });
  const links: LimitGossip = LimitGossip.create({
    fleet: members,
    directory,
    limits,
    decide: (call, requester) => permits.decide(call, requester),
  });
  const limitItem = LimitItem.create({
    store: platform.store,
    clock,
    logger,
    limits,
    isWriter: () => members.isReader && members.findArbiter(limitsKey) === settings.instance.name,
    isListed: () => members.isListed,
  });
  return { limits, permits, limitItem };
}

/** What knows of services whose endpoints crash if they refuse too much, and what keeps it in the store. */
interface BrittleParts {
  readonly brittle: BrittleServices;
  readonly brittleItems: BrittleItems;
}

/** Creates what knows of services whose endpoints crash if they refuse too much. */
export function createBrittleServices(
  { settings, platform, clock, logger, directory }: GatewayState,
  members: Members,
): BrittleParts {
  const brittle = BrittleServices.create({
    clock,
    logger,
    fleet: members,
    holdOff: (incarnation, milliseconds) => directory.holdOff(incarnation, milliseconds),
    findEndpoint: (incarnation) => directory.find(incarnation),
  });
  const brittleItems = BrittleItems.create({
    store: platform.store,
    clock,
    logger,
    services: brittle,
    isWriter: (service) =>
      members.isReader &&
      members.isListed &&
      members.findArbiter(getSlotSubject(service)) === settings.instance.name,
  });
  return { brittle, brittleItems };
}

/** Creates what shares out the slots of contended services. */
export function createSlots(
  { settings, incarnation, clock, logger, directory, overload, follower }: GatewayState,
  members: Members,
  metrics: GatewayMetrics,
  brittle: BrittleServices,
  createScheduler: SlotSchedulerFactory,
): Pick<GatewayParts, "contention" | "slotArbiter" | "slots"> {
  const ownName = settings.instance.name;
  const own = { name: ownName, incarnation };
  const getRefusalLimit = (service: string): number | undefined => brittle.getLimit(service);
  const getFleetSize = (): number => members.getServingSize();
  const base = { clock, logger, directory, overload, getRefusalLimit, getFleetSize };
  const contention = SlotContention.create(base);
  const { slotArbiters: arbiters } = members;
  const open = OpenSlots.create();
  const recent = RecentArbiters.create(clock, (name) => name === ownName || members.links.isLinked(name));
  const arbiter = SlotArbiter.create({
    ...base,
    own,
    fleet: members,
    createScheduler: () => createScheduler(settings, clock),
    precedes: (service, one, other) => arbiters.precedes(getSlotSubject(service), one, other),
    getPrecedingReaders: (service) =>
      members.getLinkedReaders().filter((name) => arbiters.precedes(getSlotSubject(service), name, ownName)),
    claimOwn: (service) => claimSlots(open, service, ownName),
    getTokenCapacity: (service) =>
      follower.getTable()?.configuration.services.get(service)?.engine?.tokenCapacity,
  });
  SlotClaims.create({ own, links: members.links, open, recent, arbiters, arbiter, brittle });
  const slots = SlotClient.create({
    ...base,
    ownName,
    metrics,
    transport: SlotTransport.create({ own, arbiters, arbiter, recent, fleet: members }),
    open,
    contention,
    maxWaitFactor: settings.overload.max_wait,
  });
  return { contention, slotArbiter: arbiter, slots };
}

/** Creates the orders of requests inside limits. */
export function createOrders(
  { clock, logger, overload }: GatewayState,
  metrics: GatewayMetrics,
): LimitOrders {
  return LimitOrders.create({
    clock,
    logger,
    overload,
    countRefusal: (workspace, rank, mode) => metrics.countOrderRefusal(workspace, rank, mode),
  });
}

/** Creates admission; `getMembers` is called once all parts exist. */
export function createAdmission(
  state: GatewayState,
  orders: LimitOrders,
  getMembers: () => Members,
): Admission {
  const { settings, clock, follower, counters } = state;
  return Admission.create({
    clock,
    follower,
    counters,
    quotaWindowMs: settings.quotas.window,
    quotaSlack: settings.quotas.slack,
    quotaOvershoot: settings.quotas.overshoot,
    getFleetSize: () => getMembers().getServingSize(),
    isFirstStart: settings.instance.first_start,
    getKnownShare: () => getMembers().getKnownShare(),
    getRandom: Math.random,
    orders,
  });
}

/** Creates the charges to limits. */
export function createCharges(
  { clock, logger, counters }: GatewayState,
  admission: Admission,
  members: Members,
  metrics: GatewayMetrics,
): QuotaCharges {
  return QuotaCharges.create({
    clock,
    admission,
    counters,
    arbiters: members.arbiters,
    logger,
    metrics,
    getViewAge: () => members.viewAge,
  });
}
