/**
 * What endpoints in need name as their limits: heard in answers, told by peers, ended by answers without the word.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import type { Endpoint } from "./endpoint.js";
import type { EndpointDirectory, LogFields, ResponseReference } from "./endpointDirectory.js";
import { type ResponseTimes, LimitChange } from "./endpointLimit.js";
import type { PeerLimit } from "./limitMessages.js";
import type { AdvertisedLimit } from "./types.js";

/** An answer, and when its request was sent; monotonic. */
export interface LimitSource extends ResponseReference {
  readonly sentAt: number;
}

/** Options of the limits. */
export interface EndpointLimitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: EndpointDirectory;
}

/** Limits of all endpoints. */
export class EndpointLimits {
  private readonly listeners: ((incarnation: string) => void)[] = [];

  private constructor(private readonly options: EndpointLimitsOptions) {}

  static create(options: EndpointLimitsOptions): EndpointLimits {
    return new EndpointLimits(options);
  }

  /** Calls back with a life whose limit an answer to this instance began or ended. */
  onLimitChange(listener: (incarnation: string) => void): void {
    this.listeners.push(listener);
  }

  /** Takes an answer of an endpoint; `limit` is undefined where it names none. */
  handleResponse(
    { incarnation, availability }: Endpoint,
    limit: AdvertisedLimit | undefined,
    source: LimitSource,
  ): void {
    // Nearly all answers end here.
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
    // A word that can't be read is a word all the same: it does not end the limit.
    if (limit !== undefined && limit.perSecond === undefined) return;
    const receivedAt = this.options.clock.getTime();
    const change = this.applyLimit(incarnation, limit?.perSecond, { sentAt, receivedAt }, response);
    if (change !== LimitChange.Begun && change !== LimitChange.Ended) return;
    for (const listener of this.listeners) listener(incarnation);
  }

  /** Takes a peer's word; returns whether it began or ended a limit here. */
  mergePeer({ life: incarnation, perSecond, ageMs }: PeerLimit, peer: string): boolean {
    const at = this.options.clock.getTime() - Math.max(0, ageMs);
    const change = this.applyLimit(incarnation, perSecond, { sentAt: at, receivedAt: at }, { peer });
    return change === LimitChange.Begun || change === LimitChange.Ended;
  }

  /** Returns what is known here of a life's limit. */
  get(incarnation: string): PeerLimit {
    const { limit } = this.options.directory.getAvailability(incarnation);
    return {
      life: incarnation,
      perSecond: limit.perSecond,
      ageMs: Math.round(limit.getAge(this.options.clock.getTime())),
    };
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
        : availability.noteLimit(perSecond, times, time);
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
