/**
 * Messages among instances about the rate limits that endpoints advertise, and about permits.
 * @module
 */
import type { PeerMessage } from "@gladewall/coordination";

/** The limit of one incarnation (`life`) as one instance reports it to another. */
export interface PeerLimit {
  readonly life: string;
  /** Requests a second; left out if the endpoint no longer advertises a limit. */
  readonly perSecond?: number | undefined;
  /** Milliseconds since a response advertised it, or since a request was sent whose response advertised none. */
  readonly ageMs: number;
}

/** Numbers of the messages; they follow that of leaving endpoints. */
export enum LimitMessageKind {
  Limits = 45,
  PermitCall = 46,
}

/** Limits that began or ended, or all known limits for a peer that has just connected. */
export interface LimitsMessage extends PeerMessage {
  readonly kind: LimitMessageKind.Limits;
  readonly limits: readonly PeerLimit[];
}

/** A permit call: requests permits for an endpoint from its issuer, and reports the sender's view of its limit. */
export interface PermitCall extends PeerMessage, PeerLimit {
  /** Urgency of the request, 0 first. */
  readonly rank: number;
  /** Number of permits that can be used at once. */
  readonly wanted: number;
}

/** An issuer's decision on a permit call. */
export enum PermitDecision {
  Granted = 1,
  Refused = 2,
  /** The endpoint no longer advertises a limit. */
  Free = 3,
  /** The receiver does not know enough to decide. */
  Unknown = 4,
}

/** Reply to a permit call. */
export interface PermitReply {
  readonly word: PermitDecision;
  readonly permits: number;
  /** Time after which the next permit is likely to be available; milliseconds. */
  readonly waitMs: number;
  /** Milliseconds since a request was sent whose response advertised no limit; only with `Free`. */
  readonly endedMs?: number;
}

/** Whether a value received from a peer is a limit report. */
export function isPeerLimit(value: unknown): value is PeerLimit {
  if (typeof value !== "object" || value === null) return false;
  const { life, perSecond, ageMs } = value as Partial<PeerLimit>;
  const isLimit = perSecond === undefined || (isFinite(perSecond) && perSecond >= 0);
  return typeof life === "string" && isFinite(ageMs) && isLimit;
}

/** Whether the fields that a permit call has in addition to the limit report are valid. */
export function isPermitCall({ rank, wanted }: Partial<PermitCall>): boolean {
  return isFinite(rank) && isFinite(wanted);
}

function isFinite(value: unknown): value is number {
  return Number.isFinite(value);
}
