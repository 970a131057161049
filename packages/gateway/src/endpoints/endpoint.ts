/**
 * One endpoint as this instance knows it: its record, whether it accepts requests, and how its latest attempts ended.
 * @module
 */
import { hashText } from "@gladewall/kernel";
import { EndpointCapacity } from "@gladewall/policy";
import type { InFlightRequest } from "../crashes/inFlightRequest.js";
import { leastUrgentRank } from "../limits/endpointLimit.js";
import { EndpointAvailability } from "./endpointAvailability.js";
import type { EndpointLoad, EndpointRecord } from "../types.js";

/** Whether an endpoint accepts new requests, from its record and its notices. */
export enum EndpointState {
  Ready = 1,
  /** Its record vanished while the store was failing; it stays in use for a short time, as long as it responds. */
  Unlisted = 2,
  /** It has announced that it stops, or its record is gone; it gets no new requests. */
  Leaving = 3,
}

/** Load that other instances have put on an endpoint: open requests, and prompt tokens not yet processed. */
export interface PeerWork {
  readonly active: number;
  readonly pendingTokens: number;
}

const failureWeight = 0.2;
const failureHalfLifeMs = 2_500;
const latencyWeight = 0.2;
/** Assumed latency in milliseconds of an endpoint that has not responded yet. */
export const unknownLatencyMs = 50;
const firstUnreachableMs = 400;
const maxUnreachableMs = 3_000;
/** Failure share below which an endpoint counts as healthy. */
const healthyFailureShare = 0.02;

/** An endpoint and this instance's own view of it. One object stands for one incarnation. */
export class Endpoint {
  state = EndpointState.Ready;
  /** Monotonic time since which it is known to leave. */
  leavingSince = Infinity;
  /** Monotonic time at which the record was last read. */
  recordAt = -Infinity;
  /** Open requests of this instance at the endpoint. */
  active = 0;
  /** Prompt tokens of those open requests that have not returned a first event yet. */
  pendingTokens = 0;
  /** The open requests themselves, so that a crash can be attributed to them. */
  readonly inFlight = new Set<InFlightRequest>();
  /** Room at the endpoint, from the load that it reports. */
  readonly capacity: EndpointCapacity;
  /** Moving average of the response time at the usual pace, in milliseconds; undefined before the first response. */
  latencyMs: number | undefined;
  /** Monotonic time of the last response without a leaving notice that came while the endpoint was ready. */
  servedAt = -Infinity;
  private unreachableUntil = -Infinity;
  private unreachableCount = 0;
  private failureShare = 0;
  private failureShareAt = 0;

  /**
   * Name of this incarnation (one start of the endpoint under its id), the same on all instances. State is keyed by it and
   * not by the id, because otherwise the next incarnation would inherit it: an id once marked as leaving was never used again.
   */
  readonly incarnation: string;
  /** Hash of the incarnation, the same on all instances. */
  readonly hash: number;

  private constructor(
    public record: EndpointRecord,
    /** Leaving state, hold-off and rate limit that this incarnation has announced. */
    readonly availability: EndpointAvailability,
  ) {
    this.incarnation = getIncarnation(record);
    this.hash = hashText(this.incarnation);
    this.capacity = EndpointCapacity.create(record.slots);
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

  /** Whether any instance may send it new requests. */
  isUsable(): boolean {
    return this.state !== EndpointState.Leaving;
  }

  /** Whether this instance may send it a request of the given rank now. */
  acceptsRequest(time: number, rank = leastUrgentRank): boolean {
    return this.isUsable() && this.availability.acceptsRequest(time, rank);
  }

  /** The same for a request that holds a permit, so that the rate limit does not count. */
  acceptsPermitted(time: number): boolean {
    return this.isUsable() && this.availability.acceptsPermitted(time);
  }

  /** Whether the backoff after the last failed connection is still running. */
  isUnreachable(time: number): boolean {
    return time < this.unreachableUntil;
  }

  /** Records a failed connection and starts a backoff that doubles with each failure in a row. */
  recordUnreachable(time: number): void {
    this.unreachableCount += 1;
    const durationMs = Math.min(maxUnreachableMs, firstUnreachableMs * 2 ** (this.unreachableCount - 1));
    this.unreachableUntil = time + durationMs;
    this.recordOutcome(false, time);
  }

  /** Ends the backoff without a success: another path to the endpoint is to be tried. */
  clearUnreachable(): void {
    this.unreachableCount = 0;
    this.unreachableUntil = -Infinity;
  }

  /**
   * Share, 0 to 1, of recent attempts that failed. It decays with time, because otherwise an endpoint that failed would never be
   * tried again.
   */
  getFailureShare(time: number): number {
    if (this.failureShare === 0) return 0;
    const age = Math.max(0, time - this.failureShareAt);
    return this.failureShare * 0.5 ** (age / failureHalfLifeMs);
  }

  /** Records whether an attempt succeeded; a success ends the backoff. */
  recordOutcome(isSuccess: boolean, time: number): void {
    const share = this.getFailureShare(time);
    this.failureShare = share + ((isSuccess ? 0 : 1) - share) * failureWeight;
    this.failureShareAt = time;
    if (this.failureShare < healthyFailureShare) this.failureShare = 0;
    if (isSuccess) this.clearUnreachable();
  }

  /**
   * Records a response without a leaving notice. Once the endpoint is known to be leaving, from whatever source, responses no
   * longer count.
   */
  recordServed(time: number): void {
    if (this.state === EndpointState.Ready) this.servedAt = time;
  }

  /** Records a response time; `pace` is the factor by which the endpoint's work took longer than usual during it. */
  recordLatency(milliseconds: number, pace = 1): void {
    const usualMs = milliseconds / pace;
    this.latencyMs ??= usualMs;
    this.latencyMs += (usualMs - this.latencyMs) * latencyWeight;
  }

  /** Counts a request that this instance sends. */
  recordSent(): void {
    this.active += 1;
    this.capacity.recordSent();
  }

  /** Counts the end of a request that this instance has sent. */
  recordEnded(): void {
    this.active -= 1;
    this.capacity.recordEnded();
  }

  recordLoad(load: EndpointLoad, time: number): void {
    this.capacity.recordReport(load, time, this.getLatency());
  }

  /** Records that the endpoint refused a request because it was full. */
  recordRejected(time: number): void {
    this.capacity.recordRejected(time, this.getLatency());
  }

  /** Returns the mean response time at the usual pace; an assumed one before the first response. */
  getLatency(): number {
    return this.latencyMs ?? unknownLatencyMs;
  }
}

/** Separates the endpoint's id from the time of its start. */
const incarnationSeparator = "@";

/** Returns the name of an incarnation, `id@born`; the id alone if the record has no start time. */
export function getIncarnation({ id, born }: Pick<EndpointRecord, "id" | "born">): string {
  return born === undefined ? id : `${id}${incarnationSeparator}${born}`;
}

/** Returns the endpoint id of an incarnation. */
export function getEndpointId(incarnation: string): string {
  const end = incarnation.lastIndexOf(incarnationSeparator);
  return end < 0 ? incarnation : incarnation.slice(0, end);
}
