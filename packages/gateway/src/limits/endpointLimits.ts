/**
 * Keeps the rate limits that overloaded endpoints advertise: read from responses, merged from peers' reports, and ended by
 * responses that advertise none.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import type { Endpoint } from "../endpoints/endpoint.js";
import type { EndpointDirectory, LogFields, ResponseReference } from "../endpoints/endpointDirectory.js";
import { type ResponseTimes, LimitChange } from "./endpointLimit.js";
import type { PeerLimit } from "./limitMessages.js";
import type { AdvertisedLimit } from "../types.js";

/** A response, and the monotonic time at which its request was sent. */
export interface LimitSource extends ResponseReference {
  readonly sentAt: number;
}

/** Options of the limits. */
export interface EndpointLimitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: EndpointDirectory;
}

/**
 * Age that a limit read from the store is given. It is not known when an endpoint advertised it last, so everything that a response or
 * a peer tells replaces it: the age is the time for which the end of a limit is remembered.
 */
const keptAgeMs = 600_000;

/** Limits of all endpoints. */
export class EndpointLimits {
  private readonly listeners: ((incarnation: string) => void)[] = [];

  private constructor(private readonly options: EndpointLimitsOptions) {}

  static create(options: EndpointLimitsOptions): EndpointLimits {
    return new EndpointLimits(options);
  }

  /** Calls back with an incarnation whose limit began or ended by a response to this instance. */
  onLimitChange(listener: (incarnation: string) => void): void {
    this.listeners.push(listener);
  }

  /** Applies a response of an endpoint; `limit` is undefined if it advertises none. */
  handleResponse(
    { incarnation, availability }: Endpoint,
    limit: AdvertisedLimit | undefined,
    source: LimitSource,
  ): void {
    // The common case: neither the response nor the endpoint has a limit.
    if (limit === undefined && availability.limit.perSecond === undefined) return;
    const { requestId: request, status, sentAt } = source;
    const response = { request, status };
    if (limit?.unreadable !== undefined) {
      this.options.logger.warn("endpoint.limit-unreadable", {
        life: incarnation,
        ...response,
        text: limit.unreadable,
      });
    }
    // A limit that can't be parsed is still advertised, so it does not end the known limit.
    if (limit !== undefined && limit.perSecond === undefined) return;
    const receivedAt = this.options.clock.getTime();
    const change = this.applyLimit(incarnation, limit?.perSecond, { sentAt, receivedAt }, response);
    if (change !== LimitChange.Begun && change !== LimitChange.Ended) return;
    for (const listener of this.listeners) listener(incarnation);
  }

  /** Merges a peer's report; returns whether a limit began or ended here by it. */
  mergePeer({ life: incarnation, perSecond, ageMs }: PeerLimit, peer: string): boolean {
    const at = this.options.clock.getTime() - Math.max(0, ageMs);
    const change = this.applyLimit(incarnation, perSecond, { sentAt: at, receivedAt: at }, { peer });
    return change === LimitChange.Begun || change === LimitChange.Ended;
  }

  /** Returns the limit of an incarnation as known here, for a peer. */
  get(incarnation: string): PeerLimit {
    const { limit } = this.options.directory.getAvailability(incarnation);
    return {
      life: incarnation,
      perSecond: limit.perSecond,
      ageMs: Math.round(limit.getAge(this.options.clock.getTime())),
    };
  }

  /** Applies a limit that was read from the store. What is known of the endpoint already is newer. */
  applyKept(incarnation: string, perSecond: number): void {
    const at = this.options.clock.getTime() - keptAgeMs;
    const { limit } = this.options.directory.getAvailability(incarnation);
    if (limit.perSecond !== undefined) return;
    this.applyLimit(incarnation, perSecond, { sentAt: at, receivedAt: at }, { source: "store" });
  }

  /** Returns the limits of listed endpoints, by incarnation; those heard of last come first. */
  list(): readonly (readonly [incarnation: string, perSecond: number])[] {
    const { directory } = this.options;
    return directory.availabilities.getLimited(Infinity).flatMap((incarnation) => {
      const perSecond = directory.find(incarnation)?.availability.limit.perSecond;
      return perSecond === undefined ? [] : [[incarnation, perSecond] as const];
    });
  }

  private applyLimit(
    incarnation: string,
    perSecond: number | undefined,
    times: ResponseTimes,
    source: LogFields,
  ): LimitChange {
    const { clock, logger, directory } = this.options;
    const time = clock.getTime();
    const availability = directory.getAvailability(incarnation);
    const previous = availability.limit.perSecond;
    const previousAgeMs = previous === undefined ? undefined : Math.round(availability.limit.getAge(time));
    const change =
      perSecond === undefined
        ? availability.clearLimit(times.sentAt)
        : availability.recordLimit(perSecond, times, time);
    if (perSecond !== undefined) directory.availabilities.touch(incarnation, availability);
    if (change === LimitChange.None) return change;
    const changeFields = {
      change: LimitChange[change],
      perSecond,
      former: previous,
      formerAgeMs: previousAgeMs,
    };
    logger.info("endpoint.limit", { life: incarnation, ...changeFields, ...source });
    return change;
  }
}
