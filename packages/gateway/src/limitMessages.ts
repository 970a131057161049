/**
 * Shapes of what instances tell each other of limits that endpoints have named.
 * @module
 */
import type { PeerMessage } from "@gladewall/coordination";

/** A life's limit as one instance tells it to another. */
export interface PeerLimit {
  readonly life: string;
  /** Requests a second; left out where it names none any more. */
  readonly perSecond?: number | undefined;
  /** Milliseconds since an answer named it, or since a request was sent whose answer did not. */
  readonly ageMs: number;
}

/** Numbers of the messages; after that of endpoints that leave. */
export enum LimitMessageKind {
  Limits = 45,
  PermitCall = 46,
}

/** Limits that began or ended, or all that are known. */
export interface LimitsMessage extends PeerMessage {
  readonly kind: LimitMessageKind.Limits;
  readonly limits: readonly PeerLimit[];
}

/** A call: may this instance send so many requests to an endpoint? */
export interface PermitCall extends PeerMessage, PeerLimit {
  /** Urgency of the request, 0 first. */
  readonly rank: number;
  /** Permits that can be used at once. */
  readonly wanted: number;
}

/** What an issuer says. */
export enum PermitDecision {
  Granted = 1,
  Refused = 2,
  /** The endpoint names no limit any more. */
  Free = 3,
  /** The receiver does not know enough to decide. */
  Unknown = 4,
}

/** Answer to a question. */
export interface PermitReply {
  readonly word: PermitDecision;
  readonly permits: number;
  /** Time after which the next is likely to be there; milliseconds. */
  readonly waitMs: number;
  /** Milliseconds since a request was sent whose answer named no limit; only with `Free`. */
  readonly endedMs?: number;
}

/** Whether a peer's word is one. */
export function isPeerLimit(value: unknown): value is PeerLimit {
  if (typeof value !== "object" || value === null) return false;
  const { life, perSecond, ageMs } = value as Partial<PeerLimit>;
  const isLimit = perSecond === undefined || (isFinite(perSecond) && perSecond >= 0);
  return typeof life === "string" && isFinite(ageMs) && isLimit;
}

/** Whether a peer's question, its limit aside, is one. */
export function isPermitCall({ rank, wanted }: Partial<PermitCall>): boolean {
  return isFinite(rank) && isFinite(wanted);
}

function isFinite(value: unknown): value is number {
  return Number.isFinite(value);
}
