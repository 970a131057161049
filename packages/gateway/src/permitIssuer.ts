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
interface IssuerTerm {
  /** What was given out and has not been made up for; full at the start, as a predecessor may have given out just now. */
  readonly bucket: LeakyBucket;
  place: number;
  depth: number;
  /** Until when each instance that has asked is counted with. */
  readonly requesters: Map<string, number>;
  /** When a request of each rank was asked for last. */
  readonly ranks: Map<number, number>;
  askedAt: number;
}

/** An endpoint that takes less is sent a lone request every five seconds, as nobody would hear the end of its need. */
const leastPerSecond = 0.2;
/** Permits that may be saved up, by the one issuer and by others: what is borne beside the rate is five requests. */
const depth = 2;
const otherDepth = 1;
/** Seconds for which permits of a high limit may be saved up. */
const depthSeconds = 0.05;
/** Share of a limit that an issuer gives out which is not the first by its own view; each further one half of that. */
const otherShare = 0.2;
/** Longest time until an issuer that is not the first is asked again: the first may be back. */
const otherWaitMs = 2_000;
/** Questions a second about one life: these, and so many for each permit, up to a most. */
const leastAsks = 1;
const asksPerPermit = 2;
const mostAsks = 100;
/** Time for which an instance is counted with after it may ask again. */
const askerMs = 5_000;
/** Time for which a permit is kept for the more urgent after they asked, and the same in times between two permits. */
const urgentLeastMs = 2_000;
const urgentPeriods = 2;
/** Time after which a life that nobody asks about is forgotten. */
const idleMs = 60_000;
/** Lives at a time: all endpoints of a fleet in need. */
const mostLives = 2_048;
const millisecondsPerSecond = 1_000;

/** Gives permits out. */
export class PermitIssuer {
  /** Terms by life, the one that was asked about last at the end. */
  private readonly terms = new Map<string, IssuerTerm>();

  private constructor(private readonly options: PermitIssuerOptions) {}

  static create(options: PermitIssuerOptions): PermitIssuer {
    return new PermitIssuer(options);
  }

  /** Decides on a question. */
  issue(question: PermitCallArguments): PermitGrant {
    const { wanted, rank, requester: asker } = question;
    const time = this.options.clock.getTime();
    const perSecond = Math.max(leastPerSecond, question.perSecond);
    const term = this.getTerm(question, perSecond, time);
    term.ranks.set(rank, time);
    const free = term.depth - term.bucket.getSum(time);
    // One permit is kept for the more urgent while they ask.
    const kept = this.hasMoreUrgent(term, rank, perSecond, time) ? 1 : 0;
    const permits = Math.max(0, Math.min(Math.max(1, wanted), Math.floor(free - kept)));
    if (permits > 0) term.bucket.add(time, permits);
    const missing = Math.max(0, 1 + kept - free);
    const waitMs = permits > 0 ? 0 : this.getWaitMs(term, missing, perSecond, time);
    term.requesters.set(asker, time + waitMs + askerMs);
    return { permits, waitMs };
  }

  private getTerm({ life, place }: PermitCallArguments, perSecond: number, time: number): IssuerTerm {
    const known = this.terms.get(life);
    const isStanding = known !== undefined && time - known.askedAt < idleMs;
    const term = isStanding ? known : this.createTerm(life, perSecond, place);
    this.terms.delete(life);
    this.terms.set(life, term);
    this.forgetOldest();
    term.askedAt = time;
    term.bucket.setRate(time, perSecond * getShare(place));
    const depthNow = getDepth(perSecond, place);
    // A depth that grows or shrinks gives nothing out by itself.
    if (depthNow !== term.depth) term.bucket.add(time, depthNow - term.depth);
    term.depth = depthNow;
    if (term.place !== place) this.log("limit.issuer-place", life, perSecond, place);
    term.place = place;
    return term;
  }

  private createTerm(life: string, perSecond: number, place: number): IssuerTerm {
    const time = this.options.clock.getTime();
    const bucket = LeakyBucket.create();
    const depthNow = getDepth(perSecond, place);
    bucket.set(time, depthNow);
    this.log("limit.issuer-begun", life, perSecond, place);
    return { bucket, place, depth: depthNow, requesters: new Map(), ranks: new Map(), askedAt: time };
  }

  private forgetOldest(): void {
    if (this.terms.size <= mostLives) return;
    const [oldest] = this.terms.keys();
    if (oldest !== undefined) this.terms.delete(oldest);
  }

  private hasMoreUrgent({ ranks }: IssuerTerm, rank: number, perSecond: number, time: number): boolean {
    const waitedMs = Math.max(urgentLeastMs, (urgentPeriods * millisecondsPerSecond) / perSecond);
    for (const [other, at] of ranks) {
      if (time - at > waitedMs) ranks.delete(other);
      else if (other < rank) return true;
    }
    return false;
  }

  /** Time until the permit is there, and no shorter than keeps all who ask within the questions that are borne. */
  private getWaitMs(
    { requesters: askers, bucket, place }: IssuerTerm,
    missing: number,
    perSecond: number,
    time: number,
  ): number {
    for (const [name, until] of askers) if (time > until) askers.delete(name);
    const asks = Math.min(mostAsks, leastAsks + asksPerPermit * perSecond);
    const turnMs = (Math.max(1, askers.size) / asks) * millisecondsPerSecond;
    const freedMs = bucket.getTimeUntilFreed(time, missing);
    const waitMs = Math.max(freedMs, turnMs) + turnMs * this.options.getRandom();
    return place === 0 ? waitMs : Math.min(otherWaitMs, waitMs);
  }

  private log(event: string, life: string, perSecond: number, place: number): void {
    this.options.logger.info(event, { life, perSecond, place, share: getShare(place) });
  }
}

/**
 * Where instances don't agree who issues, as some can't reach the one, all issuers together stay within one and a half times
 * the limit: the first gives it all, the others a fifth, a tenth and so on.
 */
function getShare(place: number): number {
  return place === 0 ? 1 : otherShare / 2 ** (place - 1);
}

function getDepth(perSecond: number, place: number): number {
  return place === 0 ? Math.max(depth, perSecond * depthSeconds) : otherDepth;
}
