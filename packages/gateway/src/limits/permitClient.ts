/**
 * Obtains permits to send requests to endpoints that advertise a rate limit. One issuer for each incarnation issues them to all
 * instances together; without an issuer, each instance keeps to a small share of the limit.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import type { Arbiters } from "./arbiters.js";
import type { Endpoint } from "../endpoints/endpoint.js";
import type { PermitGrant } from "./endpointLimit.js";
import type { EndpointLimits } from "./endpointLimits.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import { LeakyBucket } from "./leakyBucket.js";
import type { PermitIssuer } from "./permitIssuer.js";
import {
  LimitMessageKind,
  type PermitReply,
  type PermitCall,
  PermitDecision,
  type PeerLimit,
} from "./limitMessages.js";

/** A request for which a permit is wanted. */
export interface PermitRequest {
  readonly id: string;
  /** Urgency, 0 first. */
  readonly rank: number;
  /** Milliseconds until it must have its final response. */
  readonly leftMs: number;
}

/** Options of the client. */
export interface PermitClientOptions {
  /** Name of this instance. */
  readonly ownName: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<GatewayMetrics, "countPermit">;
  readonly limits: EndpointLimits;
  readonly issuer: PermitIssuer;
  readonly arbiters: Pick<Arbiters, "find" | "countPrecedingReaders" | "call">;
  /** Whether an instance can issue permits. */
  readonly canIssuePermits: (name: string) => boolean;
  readonly getFleetSize: () => number;
}

/** A request, and the number of permits that this instance requests for it and others. */
interface PermitBatchRequest extends PermitRequest {
  /** Number of permits that can be used at once. */
  readonly wanted: number;
}

/** Which part decided on a permit. The names of the members are written to the log. */
enum PermitSource {
  Own = 1,
  Issuer = 2,
  /** No issuer can be reached; this instance keeps to its own share. */
  Alone = 3,
}

/** An issuer's decision and its source. */
interface SourcedReply extends PermitGrant {
  readonly source: PermitSource;
  readonly word: PermitDecision;
}

/** Share of a request's remaining time that a permit call may take; it never takes longer than `maxReplyWaitMs`. */
const replyWaitShare = 0.1;
const maxReplyWaitMs = 100;
/** Time for which this instance requests no permit for an endpoint after its issuer did not reply. */
const silentIssuerRetryMs = 250;
/** Share of a limit that all instances together use without an issuer. */
const issuerlessShare = 0.5;
/**
 * Largest fleet in which each instance may save up one request without an issuer: this many instances for each request a second
 * of the limit, plus the base. The tolerated burst is the same number of requests.
 */
const issuerlessFleetPerLimit = 4;
const issuerlessFleetBase = 5;
/** Incarnations whose use without an issuer is remembered; a forgotten share starts again without a saved request. */
const maxIncarnations = 2_048;

/** Obtains permits for this instance, and decides on them where this instance is the issuer. */
export class PermitClient {
  /** Use of this instance's own share while no issuer could be reached, by incarnation. */
  private readonly ownShares = new Map<string, LeakyBucket>();

  private constructor(private readonly options: PermitClientOptions) {}

  static create(options: PermitClientOptions): PermitClient {
    return new PermitClient(options);
  }

  /** Whether an endpoint advertises no limit, so that no permit is needed. */
  isUnlimited({ availability }: Endpoint): boolean {
    return availability.limit.perSecond === undefined;
  }

  /** Obtains a permit for one request to an endpoint; returns false if none is available now. */
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
    const { ownName, arbiters, canIssuePermits, limits } = this.options;
    const issuer = arbiters.find(incarnation, canIssuePermits);
    if (issuer === undefined) return this.useOwnShare(incarnation, perSecond);
    const callArguments = { ...limits.get(incarnation), rank: request.rank, wanted: request.wanted };
    if (issuer === ownName) return { source: PermitSource.Own, ...this.decide(callArguments, ownName) };
    const message: PermitCall = { kind: LimitMessageKind.PermitCall, ...callArguments };
    const waitMs = Math.min(maxReplyWaitMs, request.leftMs * replyWaitShare);
    const isUndecided = ({ word }: PermitReply): boolean => word === PermitDecision.Unknown;
    const reply = await arbiters.call<PermitReply>(
      { subject: incarnation, message, isUndecided, supportsCall: canIssuePermits },
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

  /** Decides on a permit call as the issuer. */
  decide(
    { rank, wanted, ...report }: PeerLimit & Pick<PermitCall, "rank" | "wanted">,
    requester: string,
  ): PermitReply {
    const { ownName, arbiters, canIssuePermits, issuer, limits } = this.options;
    const { life: incarnation } = report;
    if (requester !== ownName) limits.mergePeer(report, requester);
    const { perSecond, ageMs } = limits.get(incarnation);
    if (perSecond === undefined) return { word: PermitDecision.Free, permits: 0, waitMs: 0, endedMs: ageMs };
    const place = arbiters.countPrecedingReaders(incarnation, canIssuePermits);
    const grant = issuer.issue({ life: incarnation, perSecond, requester, rank, wanted, place });
    return { word: grant.permits > 0 ? PermitDecision.Granted : PermitDecision.Refused, ...grant };
  }

  /**
   * Uses this instance's own share; the shares add up to half of the limit over the fleet. Refuses in a fleet so large that one
   * saved request of each instance would exceed the tolerated burst.
   */
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
