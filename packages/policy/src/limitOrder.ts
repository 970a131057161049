/**
 * Order inside a workspace's limit. It handles the load of one workspace that sends 6 to 7 times its usual traffic for some
 * seconds, of which its limit admits a part: while units are short, each rank of its requests is held to a share of the limit, so
 * that the large requests of the least urgent rank do not displace the small ones of the most urgent rank. The routes of a rank
 * divide its share by max-min fairness, so that the large requests of one route do not displace the small ones of another.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { computeRouteShares, type RankDemand } from "./limitShares.js";
import { RefusedRequests } from "./refusedRequests.js";
import { sliceCount, UnitWindow } from "./unitWindow.js";

/** A request for units, which are more than 0, and the state of the limit that it takes them from. */
export interface LimitRequest {
  /** Priority of the request's route; 0 is the most urgent. */
  readonly rank: number;
  /** Name of the request's route; undefined if it is not known. */
  readonly route?: string | undefined;
  readonly units: number;
  /** Units of the limit that are taken. */
  readonly level: number;
  readonly capacity: number;
  readonly ratePerSecond: number;
}

/** A decision of the order, with its inputs. */
export interface LimitOrderDecision {
  readonly isAdmitted: boolean;
  /** Whether it is refused because the share of its route is used up. */
  readonly isShareSpent: boolean;
  /** Milliseconds until the route's share has room, after the refused requests that were told to return; 0 if admitted. */
  readonly waitMs: number;
  readonly routes: readonly RouteShare[];
}

/** Demand and share of one route at one rank, in units a second. */
export interface RouteShare {
  readonly rank: number;
  /** Empty for requests whose route is not known. */
  readonly route: string;
  readonly demand: number;
  readonly share: number;
}

/**
 * Window of the demand. At 1 s, a few requests of 9,000 units change the shares of a limit of 36,000 units a second by a quarter;
 * at more than 2 s, the shares follow a surge of 6 s too late.
 */
const demandWindowMs = 2_000;
/** Shortest time that demand is averaged over after a pause, so that the first large request does not count as a surge. */
const minObservedMs = 500;
/** Share of the capacity below which units are not short; instances also take units without a call up to there. */
const shortageLevel = 0.5;
/**
 * Share of the capacity at which the shares add up to the rate. Below it they also divide what is free of the capacity, because a
 * surge would otherwise be admitted less of the burst than without an order. Above it they add up to less, so that the limit keeps
 * room for urgent requests: at the capacity it refuses all ranks alike.
 */
export const targetLevel = 0.8;
/** Time in which the level is moved to the target. */
const levelCorrectionMs = 1_000;
/** Smallest part of the rate that is divided while the level is above the target. */
const minAvailableShare = 0.5;
/**
 * The demand of the last slices, 0.5 s, counts where it is higher than that of the whole window, if it is this many times the rate:
 * a surge fills the capacity within 0.5 s, before the whole window shows it.
 */
const surgeFactor = 1.5;
const recentSlices = 5;
/** Smallest part of the rate that is divided while calls without a rank take the rest. */
const minRankedShare = 0.25;
/** Time of a route's share that may be taken at once; a request that exceeds it puts the route into debt. */
const depthMs = 100;
/**
 * The same for requests that return after a refusal. They are admitted before new ones of their route, since a second refusal costs
 * callers more than a first one; new ones are admitted as long as returned ones leave the share unused.
 */
const returnDepthMs = 300;
/**
 * Longest wait; half of the longest time that callers are told. Callers honour `Retry-After` only up to a third of their remaining
 * time.
 */
const maxWaitMs = 1_000;
const millisecondsPerSecond = 1_000;
/** Part of a demand by which its share may be less because of rounding. */
const rounding = 1e-9;
/** Ranks that are told apart; less urgent ones count as the last of them. */
export const maxRanks = 16;
/** Routes that are told apart; further ones count as one of their rank. This bounds the memory and the time of a decision. */
const maxRoutes = 32;

/** State of one route at one rank. */
interface RouteState {
  readonly rank: number;
  readonly route: string;
  readonly demand: UnitWindow;
  readonly refused: RefusedRequests;
  /** Units above the route's share; falls at the rate of the share. */
  level: number;
}

/** Demand of one route. */
interface RouteDemand extends RankDemand {
  readonly state: RouteState;
}

/** State and share of a request's route at the time of a decision. */
interface RouteEvaluation {
  readonly state: RouteState;
  readonly share: number;
  readonly routes: readonly RouteShare[];
  /** Whether the request may be one that was refused before. */
  readonly isReturn: boolean;
  /** Whether units are short, several ranks compete, and the route requests more than its share. */
  readonly isOverShare: boolean;
}

/** Order inside the limit of one workspace. */
export class LimitOrder {
  private readonly routes = new Map<string, RouteState>();
  /** Units granted to calls without a rank. */
  private readonly unranked = UnitWindow.create(demandWindowMs);
  private observedSince = -Infinity;
  private usedAt = -Infinity;
  private drainedAt = 0;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): LimitOrder {
    return new LimitOrder(clock);
  }

  /** Whether no request has come for so long that the state has no effect any more. */
  isIdle(): boolean {
    return this.clock.getTime() - this.usedAt > demandWindowMs + 2 * maxWaitMs;
  }

  /** Decides on a request that the limit itself would admit, and counts the units if it is admitted. */
  decide(request: LimitRequest): LimitOrderDecision {
    const { state, share, routes, isReturn, isOverShare } = this.evaluate(request);
    const admitted = { isAdmitted: true, isShareSpent: false, waitMs: 0, routes };
    if (!isOverShare) return admitted;
    if (state.level < getUnits(share, isReturn ? returnDepthMs : depthMs)) {
      state.level += request.units;
      return admitted;
    }
    const waitMs = this.bookReturn(state, request.units, share, 0);
    return { isAdmitted: false, isShareSpent: true, waitMs, routes };
  }

  /**
   * Records a request that the limit itself refuses and has room for after `waitMs`. Returns the decision, which is a refusal: its
   * wait is the route's own if that is longer.
   */
  refuse(request: LimitRequest, waitMs: number): LimitOrderDecision {
    const { state, share, routes, isOverShare } = this.evaluate(request);
    if (!isOverShare) {
      state.refused.add(this.clock.getTime(), request.units, waitMs);
      return { isAdmitted: false, isShareSpent: false, waitMs, routes };
    }
    const ownWaitMs = this.bookReturn(state, request.units, share, waitMs);
    return { isAdmitted: false, isShareSpent: true, waitMs: ownWaitMs, routes };
  }

  /** Records the request's demand and returns the state of its route, with all levels up to date. */
  private evaluate(request: LimitRequest): RouteEvaluation {
    const state = this.getState(clampRank(request.rank), request.route);
    const isReturn = this.recordDemand(state, request.units);
    const routes = this.getShares(request);
    this.drain(routes);
    const { share, demand } = routes.find((entry) => isOf(entry, state))!;
    const hasSeveralRanks = routes[0]!.rank !== routes.at(-1)!.rank;
    const isOverShare = isShort(request) && hasSeveralRanks && share < demand * (1 - rounding);
    return { state, share, routes, isReturn, isOverShare };
  }

  /** Records units that the limit grants to a call without a rank; they are not part of what the ranks divide. */
  recordUnranked(units: number): void {
    this.observe();
    this.unranked.add(this.clock.getTime(), units);
  }

  /** Returns the demand and the share of each route that has requested units within the window, most urgent first. */
  getShares({
    level,
    capacity,
    ratePerSecond,
  }: Omit<LimitRequest, "rank" | "route" | "units">): readonly RouteShare[] {
    const time = this.clock.getTime();
    const demands = this.getDemands(time, ratePerSecond);
    const ranked = Math.max(ratePerSecond * minRankedShare, ratePerSecond - this.getUnrankedRate(time));
    const correction = ((capacity * targetLevel - level) / levelCorrectionMs) * millisecondsPerSecond;
    const available = Math.max(ranked * minAvailableShare, ranked + correction);
    const shares = computeRouteShares(demands, ranked, available);
    return demands.map(({ state: { rank, route }, unitsPerSecond: demand }, index) => {
      return { rank, route, demand, share: shares[index]! };
    });
  }

  /** Returns the demand of the window and, if the last slices show a surge, at least theirs; sorted by rank. */
  private getDemands(time: number, ratePerSecond: number): readonly RouteDemand[] {
    const observedMs = this.getObservedMs(time);
    const sliceMs = demandWindowMs / sliceCount;
    const recentMs = (recentSlices - 1) * sliceMs + (time % sliceMs);
    const demands = [...this.routes.values()]
      .map((state) => ({
        state,
        rank: state.rank,
        unitsPerSecond: toRate(state.demand.getSum(time), observedMs),
        recent: toRate(state.demand.getRecentSum(time, recentSlices), recentMs),
      }))
      .filter(({ unitsPerSecond }) => unitsPerSecond > 0)
      .sort((left, right) => left.rank - right.rank);
    const isSurge = demands.reduce((sum, { recent }) => sum + recent, 0) >= ratePerSecond * surgeFactor;
    if (!isSurge) return demands;
    return demands.map(({ state, rank, unitsPerSecond, recent }) => ({
      state,
      rank,
      unitsPerSecond: Math.max(unitsPerSecond, recent),
    }));
  }

  private getObservedMs(time: number): number {
    return Math.min(demandWindowMs, Math.max(minObservedMs, time - this.observedSince));
  }

  private getUnrankedRate(time: number): number {
    return toRate(this.unranked.getSum(time), this.getObservedMs(time));
  }

  /** Books a refused request, which is told to return when the route's share has room after those that were told so before. */
  private bookReturn(
    { level, refused }: RouteState,
    units: number,
    share: number,
    minWaitMs: number,
  ): number {
    const time = this.clock.getTime();
    const missing = Math.max(0, level - getUnits(share, depthMs)) + refused.getUnits(time);
    const waitMs = Math.min(maxWaitMs, Math.max(minWaitMs, (missing / share) * millisecondsPerSecond));
    refused.add(time, units, waitMs);
    return waitMs;
  }

  /**
   * Records a request's units; returns whether it may be one that was refused before. Such a request counts once, at the time of
   * its refusal. One that may as well be new counts again: if demand were estimated too low, the order would end within the surge.
   */
  private recordDemand({ demand, refused }: RouteState, units: number): boolean {
    this.observe();
    const time = this.clock.getTime();
    const found = refused.takeReturn(time, units);
    const isInWindow = found && time - found.refusedAt < demandWindowMs && demand.getSum(time) > 0;
    if (!isInWindow || found.isAmbiguous) demand.add(time, units);
    return found !== undefined;
  }

  private observe(): void {
    const time = this.clock.getTime();
    if (time - this.usedAt > demandWindowMs) this.observedSince = time;
    this.usedAt = time;
  }

  private drain(routes: readonly RouteShare[]): void {
    const time = this.clock.getTime();
    const elapsed = time - this.drainedAt;
    this.drainedAt = time;
    for (const state of this.routes.values()) {
      const entry = routes.find((route) => isOf(route, state));
      // Without demand within the window, the route has nothing that its level could hold back.
      state.level = entry ? Math.max(0, state.level - getUnits(entry.share, elapsed)) : 0;
    }
  }

  private getState(rank: number, route = ""): RouteState {
    const known = this.routes.get(createKey(rank, route));
    if (known) return known;
    if (route !== "" && this.routes.size >= maxRoutes) return this.getState(rank);
    const demand = UnitWindow.create(demandWindowMs);
    const state = { rank, route, demand, refused: RefusedRequests.create(), level: 0 };
    this.routes.set(createKey(rank, route), state);
    return state;
  }
}

function createKey(rank: number, route: string): string {
  return `${rank}/${route}`;
}

function isOf(entry: RouteShare, { rank, route }: RouteState): boolean {
  return entry.rank === rank && entry.route === route;
}

/** Whether half of the capacity is taken or more. */
function isShort({ level, capacity }: LimitRequest): boolean {
  return level >= capacity * shortageLevel;
}

function toRate(units: number, milliseconds: number): number {
  return (units / milliseconds) * millisecondsPerSecond;
}

function getUnits(unitsPerSecond: number, milliseconds: number): number {
  return (unitsPerSecond * milliseconds) / millisecondsPerSecond;
}

/** Returns the rank that a priority counts as. */
export function clampRank(rank: number): number {
  return Math.min(maxRanks - 1, Math.max(0, Math.floor(rank)));
}
