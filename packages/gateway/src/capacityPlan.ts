/**
 * How many backends of which price class each zone should have: reclaimable ones spread over the zones for the load
 * ahead, on-demand ones only for what is missing.
 * @module
 */
import type { CapacityOrder, ScalingLimits } from "./types.js";

/** Backends of one zone. */
export interface ZoneCount {
  readonly zone: string;
  /** Backends that take work. */
  readonly reclaimable: number;
  readonly onDemand: number;
  /** Reclaimable ones whose order was taken. */
  readonly reclaimableOrdered?: number;
  /** On-demand ones that were ordered last; those present where nothing was ordered. */
  readonly onDemandOrdered: number;
  /** Whether reclaimable ones were refused there a moment ago: they are not asked for now. */
  readonly isReclaimableRefused: boolean;
  /** Whether the last order for reclaimable ones was refused there, however long ago. */
  readonly isReclaimableDry: boolean;
}

/** What a plan is made from. */
export interface CapacityInput {
  readonly service: string;
  readonly limits: ScalingLimits;
  readonly zones: readonly ZoneCount[];
  /** Backends that the load ahead needs, all zones together. */
  readonly needed: number;
  /** Whether reclaimable backends could not be had lately, or were taken away. */
  readonly isReclaimableScarce: boolean;
  /** Whether the system starts for the first time and nothing was asked of the service yet. */
  readonly isLoadAwaited?: boolean;
  /** Reclaimable backends that may be taken away before others could start. */
  readonly atRisk?: number;
}

/** Share of the needed backends that must serve before on-demand ones are given up. */
const releaseShare = 0.85;
/** Share of the needed backends that is made up with on-demand ones: at their price, less headroom is worth it. */
const dearShare = 0.7;
/** On-demand backends that are kept, as a share of those that are missing. */
const surplusShare = 1.2;

/** Returns the wanted numbers of every zone and class. */
export function planCapacity(input: CapacityInput): readonly CapacityOrder[] {
  const reclaimable = planReclaimable(input);
  const onDemand = planOnDemand(input, reclaimable);
  const { service } = input;
  return input.zones.flatMap(({ zone }) => [
    { service, zone, desired: reclaimable.get(zone) ?? 0, isReclaimable: true },
    { service, zone, desired: onDemand.get(zone) ?? 0, isReclaimable: false },
  ]);
}

/** Spreads the needed number evenly; what a zone cannot give, the others take. */
function planReclaimable({ zones, needed, limits }: CapacityInput): Map<string, number> {
  const wanted = new Map<string, number>();
  const open = zones.filter((zone) => !zone.isReclaimableRefused);
  for (const { zone, reclaimable, isReclaimableRefused } of zones) {
    wanted.set(zone, isReclaimableRefused ? reclaimable : 0);
  }
  let left = needed - zones.filter((zone) => zone.isReclaimableRefused).reduce(sumReclaimable, 0);
  const sorted = [...open].sort((one, other) => getPrice(limits, one.zone) - getPrice(limits, other.zone));
  while (left > 0) {
    const next = findLeast(sorted, wanted, limits.max);
    if (next === undefined) return wanted;
    wanted.set(next, (wanted.get(next) ?? 0) + 1);
    left -= 1;
  }
  return wanted;
}

/**
 * Fills what is missing with on-demand backends, the cheapest zones first. Those ordered before are kept as long as
 * they are needed: given up while reclaimable ones start, they would be missed at once.
 */
function planOnDemand(input: CapacityInput, reclaimable: ReadonlyMap<string, number>): Map<string, number> {
  const { zones, needed, limits, isReclaimableScarce } = input;
  const serving = zones.reduce(sumReclaimable, 0);
  // Before the first load nobody misses the dear ones while the others boot.
  const counted = input.isLoadAwaited ? Math.max(serving, zones.reduce(sumOrdered, 0)) : serving;
  const { atRisk = 0 } = input;
  const isEnough = counted - atRisk >= needed * releaseShare;
  const kept = serving - atRisk;
  const missing = isEnough
    ? 0
    : Math.max(0, Math.ceil(needed * (isReclaimableScarce ? dearShare : 1)) - kept);
  const sorted = [...zones].sort((one, other) => getPrice(limits, one.zone) - getPrice(limits, other.zone));
  const wanted = new Map<string, number>();
  for (const zone of sorted) {
    const room = getRoom(zone, limits, reclaimable.get(zone.zone) ?? 0);
    const least = Math.max(0, limits.min - (reclaimable.get(zone.zone) ?? 0));
    wanted.set(zone.zone, Math.max(least, Math.min(room, isEnough ? 0 : zone.onDemandOrdered)));
  }
  releaseSurplus(wanted, sorted, missing);
  if (!isReclaimableScarce) return wanted;
  let left = missing - sumValues(wanted);
  while (left > 0) {
    const open = sorted.filter(
      (zone) => (wanted.get(zone.zone) ?? 0) < getRoom(zone, limits, reclaimable.get(zone.zone) ?? 0),
    );
    const next = findLeast(open, wanted, limits.max);
    if (next === undefined) return wanted;
    wanted.set(next, (wanted.get(next) ?? 0) + 1);
    left -= 1;
  }
  return wanted;
}

/** On-demand backends that a zone has room for: the limit counts both classes together. */
function getRoom(zone: ZoneCount, limits: ScalingLimits, reclaimableWanted: number): number {
  // Where reclaimable ones can be had, on-demand ones must not keep their places; but only an order that was taken
  // shows that they can, or on-demand ones would be given up before each order that is refused.
  const taken = zone.isReclaimableDry ? zone.reclaimable : Math.max(zone.reclaimable, reclaimableWanted);
  return Math.max(0, limits.max - taken);
}

/** Gives up what is clearly more than needed, the dearest zones first. */
function releaseSurplus(
  wanted: Map<string, number>,
  cheapestFirst: readonly ZoneCount[],
  missing: number,
): void {
  let surplus = sumValues(wanted) - Math.ceil(missing * surplusShare);
  for (const { zone } of [...cheapestFirst].reverse()) {
    const given = Math.min(Math.max(0, surplus), wanted.get(zone) ?? 0);
    wanted.set(zone, (wanted.get(zone) ?? 0) - given);
    surplus -= given;
  }
}

function sumValues(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0);
}

function findLeast(
  zones: readonly ZoneCount[],
  wanted: ReadonlyMap<string, number>,
  most: number,
): string | undefined {
  let least: string | undefined;
  let leastCount = most;
  for (const { zone } of zones) {
    const count = wanted.get(zone) ?? 0;
    if (count >= leastCount) continue;
    least = zone;
    leastCount = count;
  }
  return least;
}

function sumReclaimable(sum: number, zone: ZoneCount): number {
  return sum + zone.reclaimable;
}

function sumOrdered(sum: number, { reclaimableOrdered = 0 }: ZoneCount): number {
  return sum + reclaimableOrdered;
}

function getPrice(limits: ScalingLimits, zone: string): number {
  return limits.zonePrices.get(zone) ?? 1;
}
