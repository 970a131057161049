/**
 * Hands out the requests that endpoints in need take: permits for single requests, out of one bucket for each endpoint's life.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import type { PermitGrant } from "./endpointLimit.js";
import { LeakyBucket } from "./leakyBucket.js";

/** A question for permits. */
export interface PermitCallArguments {
  readonly life: string;
  /** Requests a second that the endpoint takes of all instances together. */
  readonly perSecond: number;
  /** Instance that asks. */
  readonly requester: string;
  /** Urgency of its request, 0 first. */
  readonly rank: number;
  /** Permits that it can use at once. */
  readonly wanted: number;
  /** Issuers that come before this one as far as it knows; 0 where it is the one. */
  readonly place: number;
}

/** Options of the issuer. */
export interface PermitIssuerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns a number from 0 to 1, to spread those who ask again. */
  readonly getRandom: () => number;
}

/** One life's permits, from the first question on. */
interface IssuerState {
  /** What was given out and has not been made up for; full at the start, as a predecessor may have given out just now. */
  readonly bucket: LeakyBucket;
  place: number;
  depth: number;
  /** Until when each instance that has asked is counted with. */
  readonly requesters: Map<string, number>;
  /** When a request of each rank was asked for last. */
  readonly ranks: Map<number, number>;
  requestedAt: number;
}

/** An endpoint that takes less is sent a lone request every five seconds, as nobody would hear the end of its need. */
const minPerSecond = 0.2;
/** Permits that may be saved up, by the one issuer and by others: what is borne beside the rate is five requests. */
const firstIssuerDepth = 2;
const otherIssuerDepth = 1;
/** Seconds for which permits of a high limit may be saved up. */
const depthSeconds = 0.05;
/** Share of a limit that an issuer gives out which is not the first by its own view; each further one half of that. */
const secondIssuerShare = 0.2;
/** Longest time until an issuer that is not the first is asked again: the first may be back. */
const otherIssuerMaxWaitMs = 2_000;
/** Questions a second about one life: these, and so many for each permit, up to a most. */
const baseRequestsPerSecond = 1;
const requestsPerPermit = 2;
const maxRequestsPerSecond = 100;
/** Time for which an instance is counted with after it may ask again. */
const requesterWindowMs = 5_000;
/** Time for which a permit is kept for the more urgent after they asked, and the same in times between two permits. */
const minUrgentReserveMs = 2_000;
const urgentReservePeriods = 2;
/** Time after which a life that nobody asks about is forgotten. */
const idleMs = 60_000;
/** Lives at a time: all endpoints of a fleet in need. */
const maxIncarnations = 2_048;
const millisecondsPerSecond = 1_000;

/** Gives permits out. */
export class PermitIssuer {
  /** Terms by life, the one that was asked about last at the end. */
  private readonly states = new Map<string, IssuerState>();

  private constructor(private readonly options: PermitIssuerOptions) {}

  static create(options: PermitIssuerOptions): PermitIssuer {
    return new PermitIssuer(options);
  }

  /** Decides on a question. */
  issue(request: PermitCallArguments): PermitGrant {
    const { wanted, rank, requester } = request;
    const time = this.options.clock.getTime();
    const perSecond = Math.max(minPerSecond, request.perSecond);
    const state = this.getState(request, perSecond, time);
    state.ranks.set(rank, time);
    const available = state.depth - state.bucket.getSum(time);
    // One permit is kept for the more urgent while they ask.
    const reserved = this.hasMoreUrgent(state, rank, perSecond, time) ? 1 : 0;
    const permits = Math.max(0, Math.min(Math.max(1, wanted), Math.floor(available - reserved)));
    if (permits > 0) state.bucket.add(time, permits);
    const missing = Math.max(0, 1 + reserved - available);
    const waitMs = permits > 0 ? 0 : this.getWaitMs(state, missing, perSecond, time);
    state.requesters.set(requester, time + waitMs + requesterWindowMs);
    return { permits, waitMs };
  }

  private getState(
    { life: incarnation, place }: PermitCallArguments,
    perSecond: number,
    time: number,
  ): IssuerState {
    const known = this.states.get(incarnation);
    const isCurrent = known !== undefined && time - known.requestedAt < idleMs;
    const state = isCurrent ? known : this.createState(incarnation, perSecond, place);
    this.states.delete(incarnation);
    this.states.set(incarnation, state);
    this.forgetOldest();
    state.requestedAt = time;
    state.bucket.setRate(time, perSecond * getShare(place));
    const newDepth = getDepth(perSecond, place);
    // A depth that grows or shrinks gives nothing out by itself.
    if (newDepth !== state.depth) state.bucket.add(time, newDepth - state.depth);
    state.depth = newDepth;
    if (state.place !== place) this.log("limit.issuer-place", incarnation, perSecond, place);
    state.place = place;
    return state;
  }

  private createState(incarnation: string, perSecond: number, place: number): IssuerState {
    const time = this.options.clock.getTime();
    const bucket = LeakyBucket.create();
    const newDepth = getDepth(perSecond, place);
    bucket.set(time, newDepth);
    this.log("limit.issuer-begun", incarnation, perSecond, place);
    return { bucket, place, depth: newDepth, requesters: new Map(), ranks: new Map(), requestedAt: time };
  }

  private forgetOldest(): void {
    if (this.states.size <= maxIncarnations) return;
    const [oldest] = this.states.keys();
    if (oldest !== undefined) this.states.delete(oldest);
  }

  private hasMoreUrgent({ ranks }: IssuerState, rank: number, perSecond: number, time: number): boolean {
    const reserveMs = Math.max(
      minUrgentReserveMs,
      (urgentReservePeriods * millisecondsPerSecond) / perSecond,
    );
    for (const [other, at] of ranks) {
      if (time - at > reserveMs) ranks.delete(other);
      else if (other < rank) return true;
    }
    return false;
  }

  /** Time until the permit is there, and no shorter than keeps all who ask within the questions that are borne. */
  private getWaitMs(
    { requesters, bucket, place }: IssuerState,
    missing: number,
    perSecond: number,
    time: number,
  ): number {
    for (const [name, until] of requesters) if (time > until) requesters.delete(name);
    const requestsPerSecond = Math.min(
      maxRequestsPerSecond,
      baseRequestsPerSecond + requestsPerPermit * perSecond,
    );
    const intervalMs = (Math.max(1, requesters.size) / requestsPerSecond) * millisecondsPerSecond;
    const freedMs = bucket.getTimeUntilFreed(time, missing);
    const waitMs = Math.max(freedMs, intervalMs) + intervalMs * this.options.getRandom();
    return place === 0 ? waitMs : Math.min(otherIssuerMaxWaitMs, waitMs);
  }

  private log(event: string, incarnation: string, perSecond: number, place: number): void {
    this.options.logger.info(event, { life: incarnation, perSecond, place, share: getShare(place) });
  }
}

/**
 * Where instances don't agree who issues, as some can't reach the one, all issuers together stay within one and a half times
 * the limit: the first gives it all, the others a fifth, a tenth and so on.
 */
function getShare(place: number): number {
  return place === 0 ? 1 : secondIssuerShare / 2 ** (place - 1);
}

function getDepth(perSecond: number, place: number): number {
  return place === 0 ? Math.max(firstIssuerDepth, perSecond * depthSeconds) : otherIssuerDepth;
}
