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

interface PermitBatchRequest extends PermitRequest {
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
interface SourcedReply extends PermitGrant {
  readonly source: PermitSource;
  readonly word: PermitDecision;
}

/** Of the time that a request has left, an issuer is waited for this share at most, and no longer than `longestWaitMs`. */
const replyWaitShare = 0.1;
const maxReplyWaitMs = 100;
/** Time for which nobody asks about an endpoint after an issuer did not answer. */
const silentIssuerRetryMs = 250;
/** Share of a limit that instances use without an issuer, all together. */
const issuerlessShare = 0.5;
/** Fleets in which each instance may have one request saved up: what is borne beside the share is so many for the limit, and five. */
const issuerlessFleetPerLimit = 4;
const issuerlessFleetBase = 5;
/** Lives of which such a use is remembered; a share that is forgotten begins with nothing in hand. */
const maxIncarnations = 2_048;

/** Permits at hand. */
export class PermitClient {
  /** What this instance used of its own share while nobody gave permits out, by life. */
  private readonly ownShares = new Map<string, LeakyBucket>();

  private constructor(private readonly options: PermitClientOptions) {}

  static create(options: PermitClientOptions): PermitClient {
    return new PermitClient(options);
  }

  /** Whether an endpoint needs no permit. */
  isUnlimited({ availability }: Endpoint): boolean {
    return availability.limit.perSecond === undefined;
  }

  /** Takes a permit for one request to an endpoint that has named a limit; false where none is to be had now. */
  async acquire({ incarnation, availability }: Endpoint, request: PermitRequest): Promise<boolean> {
    const { clock } = this.options;
    const { limit } = availability;
    if (limit.perSecond === undefined || limit.tryUsePermit(clock.getTime())) return true;
    if (!limit.mayRequestPermits(clock.getTime(), request.rank)) return false;
    const wanted = limit.beginPermitCall();
    const reply = await this.requestPermits(incarnation, limit.perSecond, { ...request, wanted });
    const time = clock.getTime();
    limit.endPermitCall(reply, request.rank, time);
    this.logDecision(incarnation, request, reply);
    return limit.tryUsePermit(time) || availability.limit.perSecond === undefined;
  }

  private async requestPermits(
    incarnation: string,
    perSecond: number,
    request: PermitBatchRequest,
  ): Promise<SourcedReply> {
    const { own, arbiters, isAble, limits } = this.options;
    const issuer = arbiters.find(incarnation, isAble);
    if (issuer === undefined) return this.useOwnShare(incarnation, perSecond);
    const callArguments = { ...limits.get(incarnation), rank: request.rank, wanted: request.wanted };
    if (issuer === own) return { source: PermitSource.Own, ...this.decide(callArguments, own) };
    const message: PermitCall = { kind: LimitMessageKind.PermitCall, ...callArguments };
    const waitMs = Math.min(maxReplyWaitMs, request.leftMs * replyWaitShare);
    const isUndecided = ({ word }: PermitReply): boolean => word === PermitDecision.Unknown;
    const reply = await arbiters.call<PermitReply>(
      { subject: incarnation, message, isUndecided, supportsCall: isAble },
      waitMs,
    );
    if (reply.isErr()) {
      const noReply = { word: PermitDecision.Unknown, permits: 0, waitMs: silentIssuerRetryMs };
      return { source: PermitSource.Issuer, ...noReply };
    }
    const { word, permits, waitMs: nextMs, endedMs } = reply.value;
    if (word === PermitDecision.Free) limits.mergePeer({ life: incarnation, ageMs: endedMs ?? 0 }, issuer);
    return { source: PermitSource.Issuer, word, permits, waitMs: nextMs };
  }

  /** Decides as the issuer. */
  decide(
    { rank, wanted, ...report }: PeerLimit & Pick<PermitCall, "rank" | "wanted">,
    requester: string,
  ): PermitReply {
    const { own, arbiters, isAble, issuer, limits } = this.options;
    const { life: incarnation } = report;
    if (requester !== own) limits.mergePeer(report, requester);
    const { perSecond, ageMs } = limits.get(incarnation);
    if (perSecond === undefined) return { word: PermitDecision.Free, permits: 0, waitMs: 0, endedMs: ageMs };
    const place = arbiters.countBefore(incarnation, isAble);
    const grant = issuer.issue({ life: incarnation, perSecond, requester, rank, wanted, place });
    return { word: grant.permits > 0 ? PermitDecision.Granted : PermitDecision.Refused, ...grant };
  }

  /** The share of one instance, which adds up to half of the limit over the fleet; nothing where one saved by each is too much. */
  private useOwnShare(incarnation: string, perSecond: number): SourcedReply {
    const { clock, getFleetSize } = this.options;
    const time = clock.getTime();
    const fleet = getFleetSize();
    const refusal = { source: PermitSource.Alone, word: PermitDecision.Refused, permits: 0 };
    if (fleet > issuerlessFleetPerLimit * perSecond + issuerlessFleetBase)
      return { ...refusal, waitMs: silentIssuerRetryMs };
    const bucket = this.ownShares.get(incarnation) ?? createFullBucket(time);
    if (this.ownShares.size >= maxIncarnations) this.ownShares.clear();
    this.ownShares.set(incarnation, bucket);
    bucket.setRate(time, (perSecond * issuerlessShare) / fleet);
    const missing = bucket.getSum(time);
    if (missing > 0) return { ...refusal, waitMs: bucket.getTimeUntilFreed(time, missing) };
    bucket.add(time, 1);
    return { source: PermitSource.Alone, word: PermitDecision.Granted, permits: 1, waitMs: 0 };
  }

  private logDecision(incarnation: string, { id, rank }: PermitRequest, reply: SourcedReply): void {
    const { logger, metrics } = this.options;
    const { source, word, permits, waitMs } = reply;
    metrics.countPermit(PermitDecision[word]);
    const fields = {
      request: id,
      life: incarnation,
      rank,
      source: PermitSource[source],
      word: PermitDecision[word],
    };
    logger.debug("permit.asked", { ...fields, permits, waitMs: Math.round(waitMs) });
  }
}

function createFullBucket(time: number): LeakyBucket {
  const bucket = LeakyBucket.create();
  bucket.set(time, 1);
  return bucket;
}
