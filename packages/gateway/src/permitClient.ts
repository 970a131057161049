/**
 * Permits of this instance to send requests to endpoints that have named a limit: one issuer for each life gives them out,
 * to all instances together.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import type { Arbiters } from "./arbiters.js";
import type { Endpoint } from "./endpoint.js";
import type { PermitGrant } from "./endpointLimit.js";
import type { EndpointLimits } from "./endpointLimits.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import { LeakyBucket } from "./leakyBucket.js";
import type { PermitIssuer } from "./permitIssuer.js";
import {
  LimitMessageKind,
  type PermitReply,
  type PermitCall,
  PermitDecision,
  type PeerLimit,
} from "./limitMessages.js";

/** Request for which a permit is wanted. */
export interface PermitRequest {
  readonly id: string;
  /** Urgency, 0 first. */
  readonly rank: number;
  /** Time until it must have its final answer. */
  readonly leftMs: number;
}

/** Options of the permits. */
export interface PermitClientOptions {
  /** Name of this instance. */
  readonly own: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<GatewayMetrics, "countPermit">;
  readonly limits: EndpointLimits;
  readonly issuer: PermitIssuer;
  readonly arbiters: Pick<Arbiters, "find" | "countBefore" | "call">;
  /** Whether an instance gives permits out. */
  readonly isAble: (name: string) => boolean;
  readonly getFleetSize: () => number;
}

interface WantedPermits extends PermitRequest {
  /** Permits that can be used at once. */
  readonly wanted: number;
}

/** Where permits came from. */
enum PermitSource {
  Own = 1,
  Issuer = 2,
  /** Nobody gives any out; this instance keeps to its own share. */
  Alone = 3,
}

/** An issuer's answer, and who gave it. */
interface SourcedAnswer extends PermitGrant {
  readonly source: PermitSource;
  readonly word: PermitDecision;
}

/** Of the time that a request has left, an issuer is waited for this share at most, and no longer than `longestWaitMs`. */
const waitedShare = 0.1;
const longestWaitMs = 100;
/** Time for which nobody asks about an endpoint after an issuer did not answer. */
const silentMs = 250;
/** Share of a limit that instances use without an issuer, all together. */
const aloneShare = 0.5;
/** Fleets in which each instance may have one request saved up: what is borne beside the share is so many for the limit, and five. */
const aloneFleetPerLimit = 4;
const aloneFleetLeast = 5;
/** Lives of which such a use is remembered; a share that is forgotten begins with nothing in hand. */
const mostLives = 2_048;

/** Permits at hand. */
export class PermitClient {
  /** What this instance used of its own share while nobody gave permits out, by life. */
  private readonly alone = new Map<string, LeakyBucket>();

  private constructor(private readonly options: PermitClientOptions) {}

  static create(options: PermitClientOptions): PermitClient {
    return new PermitClient(options);
  }

  /** Whether an endpoint needs no permit. */
  isUnlimited({ availability: words }: Endpoint): boolean {
    return words.limit.perSecond === undefined;
  }

  /** Takes a permit for one request to an endpoint that has named a limit; false where none is to be had now. */
  async acquire(
    { incarnation: life, availability: words }: Endpoint,
    request: PermitRequest,
  ): Promise<boolean> {
    const { clock } = this.options;
    const { limit } = words;
    if (limit.perSecond === undefined || limit.tryUsePermit(clock.getTime())) return true;
    if (!limit.mayRequestPermits(clock.getTime(), request.rank)) return false;
    const wanted = limit.beginPermitCall();
    const answer = await this.ask(life, limit.perSecond, { ...request, wanted });
    const time = clock.getTime();
    limit.endPermitCall(answer, request.rank, time);
    this.note(life, request, answer);
    return limit.tryUsePermit(time) || words.limit.perSecond === undefined;
  }

  private async ask(life: string, perSecond: number, request: WantedPermits): Promise<SourcedAnswer> {
    const { own, arbiters, isAble, limits } = this.options;
    const issuer = arbiters.find(life, isAble);
    if (issuer === undefined) return this.takeAlone(life, perSecond);
    const ask = { ...limits.get(life), rank: request.rank, wanted: request.wanted };
    if (issuer === own) return { source: PermitSource.Own, ...this.decide(ask, own) };
    const message: PermitCall = { kind: LimitMessageKind.PermitCall, ...ask };
    const waitMs = Math.min(longestWaitMs, request.leftMs * waitedShare);
    const isUnclear = ({ word }: PermitReply): boolean => word === PermitDecision.Unknown;
    const answer = await arbiters.call<PermitReply>(
      { subject: life, message, isUndecided: isUnclear, supportsCall: isAble },
      waitMs,
    );
    if (answer.isErr()) {
      const silent = { word: PermitDecision.Unknown, permits: 0, waitMs: silentMs };
      return { source: PermitSource.Issuer, ...silent };
    }
    const { word, permits, waitMs: nextMs, endedMs } = answer.value;
    if (word === PermitDecision.Free) limits.mergePeer({ life, ageMs: endedMs ?? 0 }, issuer);
    return { source: PermitSource.Issuer, word, permits, waitMs: nextMs };
  }

  /** Decides as the issuer. */
  decide(
    { rank, wanted, ...told }: PeerLimit & Pick<PermitCall, "rank" | "wanted">,
    asker: string,
  ): PermitReply {
    const { own, arbiters, isAble, issuer, limits } = this.options;
    const { life } = told;
    if (asker !== own) limits.mergePeer(told, asker);
    const { perSecond, ageMs } = limits.get(life);
    if (perSecond === undefined) return { word: PermitDecision.Free, permits: 0, waitMs: 0, endedMs: ageMs };
    const place = arbiters.countBefore(life, isAble);
    const grant = issuer.issue({ life, perSecond, requester: asker, rank, wanted, place });
    return { word: grant.permits > 0 ? PermitDecision.Granted : PermitDecision.Refused, ...grant };
  }

  /** The share of one instance, which adds up to half of the limit over the fleet; nothing where one saved by each is too much. */
  private takeAlone(life: string, perSecond: number): SourcedAnswer {
    const { clock, getFleetSize } = this.options;
    const time = clock.getTime();
    const fleet = getFleetSize();
    const none = { source: PermitSource.Alone, word: PermitDecision.Refused, permits: 0 };
    if (fleet > aloneFleetPerLimit * perSecond + aloneFleetLeast) return { ...none, waitMs: silentMs };
    const bucket = this.alone.get(life) ?? createSpentBucket(time);
    if (this.alone.size >= mostLives) this.alone.clear();
    this.alone.set(life, bucket);
    bucket.setRate(time, (perSecond * aloneShare) / fleet);
    const missing = bucket.getSum(time);
    if (missing > 0) return { ...none, waitMs: bucket.getTimeUntilFreed(time, missing) };
    bucket.add(time, 1);
    return { source: PermitSource.Alone, word: PermitDecision.Granted, permits: 1, waitMs: 0 };
  }

  private note(life: string, { id, rank }: PermitRequest, answer: SourcedAnswer): void {
    const { logger, metrics } = this.options;
    const { source, word, permits, waitMs } = answer;
    metrics.countPermit(PermitDecision[word]);
    const fields = { request: id, life, rank, source: PermitSource[source], word: PermitDecision[word] };
    logger.debug("permit.asked", { ...fields, permits, waitMs: Math.round(waitMs) });
  }
}

function createSpentBucket(time: number): LeakyBucket {
  const bucket = LeakyBucket.create();
  bucket.set(time, 1);
  return bucket;
}
