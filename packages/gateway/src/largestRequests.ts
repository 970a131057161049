/**
 * Keeps the largest recent request of each workspace and rank, to determine the units that must be free to admit a request.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { clampRank, maxRanks } from "@gladewall/policy";

/** A request whose units are to be reserved. */
export interface ReservedRequest {
  readonly workspace: string;
  /** Undefined if the order inside the limit does not apply: units are then reserved for the largest request of all ranks. */
  readonly rank: number | undefined;
  /** Units of the request alone. */
  readonly units: number;
  /** Units to be taken: those of the request, and those that its instance has taken but not reported yet. */
  readonly cost: number;
  /** Level up to which units may be taken. */
  readonly bound: number;
}

/** The largest recent request of one rank. */
interface LargestRequest {
  readonly units: number;
  readonly at: number;
}

/** Time for which a request counts as the largest of its rank. */
const largestRequestTtlMs = 10_000;
/** Largest share of the capacity that is kept free for the largest request. */
const maxLargestShare = 0.25;
/** Key of requests without a rank; no ranked request reserves units for them. */
const unranked = maxRanks;

/** The largest recent requests. */
export class LargestRequests {
  private readonly workspaces = new Map<string, Map<number, LargestRequest>>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): LargestRequests {
    return new LargestRequests(clock);
  }

  /** Whether requests of several ranks have come within the time for which a request counts as the largest. */
  hasSeveralRanks(workspace: string): boolean {
    const time = this.clock.getTime();
    const recent = [...(this.workspaces.get(workspace) ?? [])].filter(
      ([rank, { at }]) => rank !== unranked && time - at <= largestRequestTtlMs,
    );
    return recent.length > 1;
  }

  /**
   * Records a request; returns the units that must be free to admit it: as many as the largest recent request of its rank or of a
   * more urgent one needs. If only the request's own units had to be free, hardly any long request would be admitted beside short
   * ones while the limit is exhausted. Less urgent ranks do not count: a large request of theirs would refuse small urgent ones.
   */
  getRequired({ workspace, rank, units, cost, bound }: ReservedRequest): number {
    const time = this.clock.getTime();
    let ranks = this.workspaces.get(workspace);
    if (!ranks) this.workspaces.set(workspace, (ranks = new Map<number, LargestRequest>()));
    const own = rank === undefined ? unranked : clampRank(rank);
    const known = ranks.get(own);
    if (!known || units >= known.units || time - known.at > largestRequestTtlMs) {
      ranks.set(own, { units, at: time });
    }
    let largest = units;
    for (const [other, request] of ranks) {
      if (other <= own && time - request.at <= largestRequestTtlMs)
        largest = Math.max(largest, request.units);
    }
    return Math.max(cost, Math.min(largest, bound * maxLargestShare));
  }
}
