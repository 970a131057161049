/**
 * One endpoint as this instance knows it: its record, whether it takes work, and how it has answered lately.
 * @module
 */
import { hashText } from "@gladewall/kernel";
import type { InFlightRequest } from "./crashDetector.js";
import { leastUrgentRank } from "./endpointLimit.js";
import { EndpointAvailability } from "./endpointAvailability.js";
import type { EndpointLoad, EndpointRecord } from "./types.js";

/** Whether an endpoint takes work. */
export enum EndpointState {
  Ready = 1,
  /** Its record vanished while the store was in trouble; it is used as long as it answers, for a short time. */
  Unlisted = 2,
  /** It says that it leaves, or is gone. */
  Leaving = 3,
}

/** Work of other instances at an endpoint. */
export interface PeerWork {
  readonly active: number;
  readonly pendingTokens: number;
}

const failureWeight = 0.2;
const failureHalfLifeMs = 2_500;
const latencyWeight = 0.2;
const firstUnreachableMs = 400;
const maxUnreachableMs = 3_000;
/** Share of failures below which an endpoint counts as sound. */
const healthyFailureShare = 0.02;

/** An endpoint and this instance's own view of it. */
export class Endpoint {
  state = EndpointState.Ready;
  /** Monotonic time at which the record was read last. */
  recordAt = -Infinity;
  /** Requests of this instance that it has and that have not ended. */
  active = 0;
  /** Prompt tokens of this instance's requests that have not given a first event. */
  pendingTokens = 0;
  /** These requests, to tell which it had when it ends. */
  readonly inFlight = new Set<InFlightRequest>();
  /** Load it last told. */
  load: EndpointLoad | undefined;
  loadAt = -Infinity;
  /** Usual milliseconds of an answer; undefined before the first. */
  latencyMs: number | undefined;
  /** Monotonic time of its last answer, while it counted as ready, that did not say that it leaves. */
  servedAt = -Infinity;
  private unreachableUntil = -Infinity;
  private unreachableCount = 0;
  private failureShare = 0;
  private failureShareAt = 0;

  /**
   * Names this life, the same on all instances. What is known by id would be held against, or counted for, the next life
   * that has it: a name once told to be leaving was never used again.
   */
  readonly incarnation: string;
  /** Hash of the life, the same on all instances. */
  readonly hash: number;

  private constructor(
    public record: EndpointRecord,
    /** What this life has said of itself. */
    readonly availability: EndpointAvailability,
  ) {
    this.incarnation = getIncarnation(record);
    this.hash = hashText(this.incarnation);
  }

  static create(
    record: EndpointRecord,
    availability: EndpointAvailability = EndpointAvailability.create(),
  ): Endpoint {
    return new Endpoint(record, availability);
  }

  get id(): string {
    return this.record.id;
  }

  /** Whether new work may go there, of whichever instance. */
  isUsable(): boolean {
    return this.state !== EndpointState.Leaving;
  }

  /** Whether this instance may send it a request of a rank now. */
  acceptsRequest(time: number, rank = leastUrgentRank): boolean {
    return this.isUsable() && this.availability.acceptsRequest(time, rank);
  }

  /** The same for a request that has a permit. */
  acceptsPermitted(time: number): boolean {
    return this.isUsable() && this.availability.acceptsPermitted(time);
  }

  /** Whether it could not be reached a moment ago. */
  isUnreachable(time: number): boolean {
    return time < this.unreachableUntil;
  }

  /** Takes note that it could not be reached. */
  noteUnreachable(time: number): void {
    this.unreachableCount += 1;
    const durationMs = Math.min(maxUnreachableMs, firstUnreachableMs * 2 ** (this.unreachableCount - 1));
    this.unreachableUntil = time + durationMs;
    this.noteOutcome(false, time);
  }

  /** Share of late attempts that failed, 0 to 1; fades, or an endpoint that failed would never be tried again. */
  getFailureShare(time: number): number {
    if (this.failureShare === 0) return 0;
    const age = Math.max(0, time - this.failureShareAt);
    return this.failureShare * 0.5 ** (age / failureHalfLifeMs);
  }

  /** Takes note of how an attempt ended; after one that ends well it counts as reachable. */
  noteOutcome(isSuccess: boolean, time: number): void {
    const share = this.getFailureShare(time);
    this.failureShare = share + ((isSuccess ? 0 : 1) - share) * failureWeight;
    this.failureShareAt = time;
    if (this.failureShare < healthyFailureShare) this.failureShare = 0;
    if (!isSuccess) return;
    this.unreachableCount = 0;
    this.unreachableUntil = -Infinity;
  }

  /** Takes note of an answer that did not say that it leaves; from a word on, whatever brought it, none counts any more. */
  noteServed(time: number): void {
    if (this.state === EndpointState.Ready) this.servedAt = time;
  }

  noteLatency(milliseconds: number): void {
    this.latencyMs ??= milliseconds;
    this.latencyMs += (milliseconds - this.latencyMs) * latencyWeight;
  }

  noteLoad(load: EndpointLoad, time: number): void {
    this.load = load;
    this.loadAt = time;
  }
}

/** Stands between an endpoint's id and the start of its life. */
const incarnationSeparator = "@";

/** Returns the name of a life; the id alone where its record does not say when it began. */
export function getIncarnation({ id, born }: Pick<EndpointRecord, "id" | "born">): string {
  return born === undefined ? id : `${id}${incarnationSeparator}${born}`;
}

/** Returns the id that a life goes by. */
export function getEndpointId(incarnation: string): string {
  const end = incarnation.lastIndexOf(incarnationSeparator);
  return end < 0 ? incarnation : incarnation.slice(0, end);
}
