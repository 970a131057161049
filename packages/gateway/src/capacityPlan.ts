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
  /** Whether reclaimable ones were refused there a moment ago. */
  readonly isReclaimableRefused: boolean;
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
}

/** Share of the needed backends that must serve before on-demand ones are given up. */
const releaseShare = 0.85;

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

/** Fills what is missing with on-demand backends, the cheapest zones first; keeps them until others serve. */
function planOnDemand(input: CapacityInput, reclaimable: ReadonlyMap<string, number>): Map<string, number> {
  const { zones, needed, limits, isReclaimableScarce } = input;
  const serving = zones.reduce(sumReclaimable, 0);
  const present = zones.reduce((sum, zone) => sum + zone.onDemand, 0);
  const missing = Math.max(0, needed - serving);
  const isEnough = serving >= needed * releaseShare;
  // While ordered reclaimable backends start, those on demand that are there are kept.
  const target = isEnough ? 0 : isReclaimableScarce ? missing : Math.min(missing, present);
  const wanted = new Map<string, number>();
  for (const { zone } of zones) {
    wanted.set(zone, Math.max(0, limits.min - (reclaimable.get(zone) ?? 0)));
  }
  let left = target - [...wanted.values()].reduce((sum, count) => sum + count, 0);
  const sorted = [...zones].sort(
    (one, other) =>
      other.onDemand - one.onDemand || getPrice(limits, one.zone) - getPrice(limits, other.zone),
  );
  const perZone = Math.max(1, Math.ceil(target / zones.length));
  for (const { zone, onDemand } of sorted) {
    const room = Math.max(0, limits.max - (reclaimable.get(zone) ?? 0) - (wanted.get(zone) ?? 0));
    const added = Math.min(left, room, Math.max(onDemand, perZone));
    if (added <= 0) continue;
    wanted.set(zone, (wanted.get(zone) ?? 0) + added);
    left -= added;
  }
  return wanted;
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

function getPrice(limits: ScalingLimits, zone: string): number {
  return limits.zonePrices.get(zone) ?? 1;
}
