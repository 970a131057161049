/**
 * Plans how many endpoints of which price class each data hall should have. Reclaimable endpoints, which the platform may
 * take away, are spread over the data halls for the expected load; on-demand endpoints only fill what is missing.
 * @module
 */
import type { CapacityOrder, ScalingLimits } from "../types.js";

/** Endpoints of one service in one data hall. */
export interface HallCount {
  readonly hall: string;
  /** Reclaimable endpoints that accept requests. */
  readonly reclaimable: number;
  /** On-demand endpoints that accept requests. */
  readonly onDemand: number;
  /** Reclaimable endpoints in the last accepted order; undefined if this leader has had none accepted. */
  readonly reclaimableOrdered?: number | undefined;
  /** On-demand endpoints in the last order; those present if nothing was ordered. */
  readonly onDemandOrdered: number;
  /** Whether an order for reclaimable endpoints was refused so recently that none is sent now. */
  readonly isReclaimableRefused: boolean;
  /** Whether the last order for reclaimable endpoints was refused, however long ago. */
  readonly isReclaimableExhausted: boolean;
}

/** Input of a plan. */
export interface CapacityInput {
  readonly service: string;
  readonly limits: ScalingLimits;
  readonly halls: readonly HallCount[];
  /** Endpoints that the expected load needs, all data halls together. */
  readonly needed: number;
  /** Whether reclaimable endpoints were recently unavailable or taken away. */
  readonly isReclaimableScarce: boolean;
  /** Whether the system starts for the first time and the service has had no load yet. */
  readonly isLoadAwaited?: boolean;
  /** Reclaimable endpoints that may be taken away before replacements could start. */
  readonly atRisk?: number;
}

/** Share of the needed endpoints that must serve while on-demand ones are released. */
const releaseShare = 0.85;
/** Share of the needed endpoints up to which on-demand ones fill in: at their price, less headroom is worthwhile. */
const onDemandShare = 0.7;
/** Most on-demand endpoints to keep, as a share of those that are missing. */
const maxSurplusShare = 1.2;

/** Returns the desired number of endpoints for every data hall and price class. */
export function planCapacity(input: CapacityInput): readonly CapacityOrder[] {
  const reclaimable = planReclaimable(input);
  const onDemand = planOnDemand(input, reclaimable);
  const { service } = input;
  return input.halls.flatMap(({ hall }) => [
    { service, hall, desired: reclaimable.get(hall) ?? 0, isReclaimable: true },
    { service, hall, desired: onDemand.get(hall) ?? 0, isReclaimable: false },
  ]);
}

/** Spreads the needed number evenly; the other data halls make up for those that refuse orders. */
function planReclaimable({ halls, needed, limits }: CapacityInput): Map<string, number> {
  const desired = new Map<string, number>();
  const open = halls.filter((hall) => !hall.isReclaimableRefused);
  for (const { hall, reclaimable, isReclaimableRefused } of halls) {
    desired.set(hall, isReclaimableRefused ? reclaimable : 0);
  }
  let left = needed - halls.filter((hall) => hall.isReclaimableRefused).reduce(sumReclaimable, 0);
  const sorted = [...open].sort((one, other) => getPrice(limits, one.hall) - getPrice(limits, other.hall));
  while (left > 0) {
    const next = findSmallestHall(sorted, desired, limits.max);
    if (next === undefined) return desired;
    desired.set(next, (desired.get(next) ?? 0) + 1);
    left -= 1;
  }
  return desired;
}

/**
 * Fills what is missing with on-demand endpoints, the cheapest data halls first. Those ordered before are kept as long as
 * they are needed; if they were released while reclaimable ones still start, endpoints would be missing at once.
 */
function planOnDemand(input: CapacityInput, reclaimable: ReadonlyMap<string, number>): Map<string, number> {
  const { halls, needed, limits, isReclaimableScarce } = input;
  const serving = halls.reduce(sumReclaimable, 0);
  // Before the first load, no request needs the expensive on-demand endpoints while the ordered ones start.
  const counted = input.isLoadAwaited ? Math.max(serving, halls.reduce(sumOrdered, 0)) : serving;
  const { atRisk = 0 } = input;
  const isEnough = counted - atRisk >= needed * releaseShare;
  const remaining = serving - atRisk;
  const missing = isEnough
    ? 0
    : Math.max(0, Math.ceil(needed * (isReclaimableScarce ? onDemandShare : 1)) - remaining);
  const sorted = [...halls].sort((one, other) => getPrice(limits, one.hall) - getPrice(limits, other.hall));
  const cleared = planClearedPlaces(input, sorted, reclaimable);
  const desired = new Map<string, number>();
  for (const hall of sorted) {
    const places = Math.max(0, limits.max - hall.reclaimable);
    const kept = Math.max(0, hall.onDemandOrdered - (cleared.get(hall.hall) ?? 0));
    const minimum = Math.max(0, limits.min - (reclaimable.get(hall.hall) ?? 0));
    desired.set(hall.hall, Math.max(minimum, Math.min(places, isEnough ? 0 : kept)));
  }
  releaseSurplus(desired, sorted, missing);
  if (!isReclaimableScarce) return desired;
  let left = missing - sumValues(desired);
  while (left > 0) {
    const open = sorted.filter(
      (hall) => (desired.get(hall.hall) ?? 0) < getFreePlaces(hall, limits, reclaimable.get(hall.hall) ?? 0),
    );
    const next = findSmallestHall(open, desired, limits.max);
    if (next === undefined) return desired;
    desired.set(next, (desired.get(next) ?? 0) + 1);
    left -= 1;
  }
  return desired;
}

/**
 * Returns how many on-demand endpoints of each data hall make way for reclaimable ones, where the hall's maximum leaves no place
 * for these. They go in steps: the replacements take their boot time, so that all of a data hall at once would leave it without
 * any. Only an accepted order shows that reclaimable endpoints are available.
 */
function planClearedPlaces(
  { halls, needed, limits, atRisk = 0 }: CapacityInput,
  cheapestFirst: readonly HallCount[],
  reclaimable: ReadonlyMap<string, number>,
): Map<string, number> {
  const attainable = Math.min(needed, limits.max * halls.length);
  const serving = halls.reduce(sumServing, 0) - atRisk;
  let left = Math.max(0, serving - Math.ceil(attainable * releaseShare));
  const cleared = new Map<string, number>();
  for (const hall of [...cheapestFirst].reverse()) {
    if (hall.reclaimableOrdered === undefined || hall.isReclaimableExhausted) continue;
    const wanted = Math.min(reclaimable.get(hall.hall) ?? 0, hall.reclaimableOrdered);
    const lacking = Math.max(0, wanted + hall.onDemandOrdered - limits.max);
    const count = Math.min(left, lacking, hall.onDemandOrdered);
    cleared.set(hall.hall, count);
    left -= count;
  }
  return cleared;
}

/** Returns how many on-demand endpoints may be added up to; the maximum counts both price classes together. */
function getFreePlaces(hall: HallCount, limits: ScalingLimits, reclaimableWanted: number): number {
  // On-demand endpoints must not occupy places of reclaimable ones that are available. Only an accepted order shows that
  // they are; otherwise on-demand endpoints would be released before each order that is refused.
  const taken = hall.isReclaimableExhausted
    ? hall.reclaimable
    : Math.max(hall.reclaimable, reclaimableWanted);
  return Math.max(0, limits.max - taken);
}

/** Releases on-demand endpoints that clearly exceed the need, the most expensive data halls first. */
function releaseSurplus(
  desired: Map<string, number>,
  cheapestFirst: readonly HallCount[],
  missing: number,
): void {
  let surplus = sumValues(desired) - Math.ceil(missing * maxSurplusShare);
  for (const { hall } of [...cheapestFirst].reverse()) {
    const released = Math.min(Math.max(0, surplus), desired.get(hall) ?? 0);
    desired.set(hall, (desired.get(hall) ?? 0) - released);
    surplus -= released;
  }
}

function sumValues(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0);
}

function findSmallestHall(
  halls: readonly HallCount[],
  desired: ReadonlyMap<string, number>,
  max: number,
): string | undefined {
  let smallest: string | undefined;
  let smallestCount = max;
  for (const { hall } of halls) {
    const count = desired.get(hall) ?? 0;
    if (count >= smallestCount) continue;
    smallest = hall;
    smallestCount = count;
  }
  return smallest;
}

function sumReclaimable(sum: number, hall: HallCount): number {
  return sum + hall.reclaimable;
}

/** On-demand endpoints that have been released no longer count, although they accept requests until the order is carried out. */
function sumServing(sum: number, { reclaimable, onDemand, onDemandOrdered }: HallCount): number {
  return sum + reclaimable + Math.min(onDemand, onDemandOrdered);
}

function sumOrdered(sum: number, { reclaimableOrdered = 0 }: HallCount): number {
  return sum + reclaimableOrdered;
}

function getPrice(limits: ScalingLimits, hall: string): number {
  return limits.hallPrices.get(hall) ?? 1;
}
