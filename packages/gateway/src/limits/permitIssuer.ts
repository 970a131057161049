/**
 * Issues permits for requests to overloaded endpoints: each permit allows one request, and each incarnation of an endpoint has a
 * leaky bucket that is filled by the permits issued and drains at the advertised rate.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import type { PermitGrant } from "./endpointLimit.js";
import { LeakyBucket } from "./leakyBucket.js";

/** Arguments of a call for permits. */
export interface PermitCallArguments {
  /** Incarnation of the endpoint. */
  readonly life: string;
  /** Requests a second that the endpoint accepts of all instances together. */
  readonly perSecond: number;
  /** Instance that requests the permits. */
  readonly requester: string;
  /** Urgency of its request, 0 first. */
  readonly rank: number;
  /** Permits that it can use at once. */
  readonly wanted: number;
  /** Issuers that precede this one in the order of preference, as far as it knows; 0 if it is the first. */
  readonly place: number;
}

/** Options of the issuer. */
export interface PermitIssuerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns a random number from 0 to 1, to spread the retried calls of instances. */
  readonly getRandom: () => number;
}

/** Permits of one incarnation, from the first call on. */
interface IssuerState {
  /** Permits issued and not yet drained; full at the start, because a previous issuer may have issued permits just before. */
  readonly bucket: LeakyBucket;
  place: number;
  /** Permits that may be saved up. */
  depth: number;
  /** Until when each instance that has requested permits counts as waiting. */
  readonly requesters: Map<string, number>;
  /** When permits were last requested for each rank. */
  readonly ranks: Map<number, number>;
  requestedAt: number;
}

/**
 * An endpoint with a lower limit is sent one request every five seconds, because otherwise no response would show that its
 * overload ended.
 */
const minPerSecond = 0.2;
/**
 * Permits that may be saved up, by the first issuer and by each other one: the tolerated burst beside the rate is five requests.
 */
const firstIssuerDepth = 2;
const otherIssuerDepth = 1;
/** For a high limit, the permits of this many seconds may be saved up. */
const depthSeconds = 0.05;
/**
 * Share of the limit that the second issuer in the order of preference issues; each further one issues half of the one before.
 */
const secondIssuerShare = 0.2;
/** Maximum wait that an issuer other than the first returns, because the first may be reachable again by then. */
const otherIssuerMaxWaitMs = 2_000;
/** Maximum permit calls a second for one incarnation: a base plus this many for each permit a second, up to a cap. */
const baseRequestsPerSecond = 1;
const requestsPerPermit = 2;
const maxRequestsPerSecond = 100;
/** Time for which an instance counts as waiting after the time at which it may call again. */
const requesterWindowMs = 5_000;
/**
 * Time for which a permit is reserved for more urgent requests after one was requested for them; the longer of these milliseconds
 * and this many intervals between permits.
 */
const minUrgentReserveMs = 2_000;
const urgentReservePeriods = 2;
/** Time without calls after which the state of an incarnation is dropped. */
const idleMs = 60_000;
/** Incarnations at a time: enough when all endpoints of a fleet are overloaded. */
const maxIncarnations = 2_048;
const millisecondsPerSecond = 1_000;

/** Issues permits. */
export class PermitIssuer {
  /** State by incarnation, the most recently requested last. */
  private readonly states = new Map<string, IssuerState>();

  private constructor(private readonly options: PermitIssuerOptions) {}

  static create(options: PermitIssuerOptions): PermitIssuer {
    return new PermitIssuer(options);
  }

  /** Decides on a call: grants permits, or returns the time until it may be retried. */
  issue(request: PermitCallArguments): PermitGrant {
    const { wanted, rank, requester } = request;
    const time = this.options.clock.getTime();
    const perSecond = Math.max(minPerSecond, request.perSecond);
    const state = this.getState(request, perSecond, time);
    state.ranks.set(rank, time);
    const available = state.depth - state.bucket.getSum(time);
    // One permit is reserved for more urgent requests while there are any.
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
    this.removeOldest();
    state.requestedAt = time;
    state.bucket.setRate(time, perSecond * getShare(place));
    const newDepth = getDepth(perSecond, place);
    // A change of the bucket's depth must not make permits available by itself.
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

  private removeOldest(): void {
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

  /** Milliseconds until the next permit, but long enough to keep the calls of all waiting instances within the bound. */
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
 * Share of the limit that an issuer issues. Instances may disagree on the issuer, because some can't reach the first one. All
 * issuers together stay within one and a half times the limit: the first issues all of it, the others a fifth, a tenth and so on.
 */
function getShare(place: number): number {
  return place === 0 ? 1 : secondIssuerShare / 2 ** (place - 1);
}

function getDepth(perSecond: number, place: number): number {
  return place === 0 ? Math.max(firstIssuerDepth, perSecond * depthSeconds) : otherIssuerDepth;
}
