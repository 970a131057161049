/**
 * Messages among instances about the slots of a service: requests for a slot, waits for a turn, and ends of grants. Times travel as
 * remaining milliseconds, because the clocks of instances differ.
 * @module
 */
import type { PeerMessage } from "@gladewall/coordination";
import { type EndpointLoad, type SlotEnd, SlotRefusal } from "@gladewall/policy";

/** Numbers of the messages; they follow that of retry calls. */
export enum SlotMessageKind {
  Call = 48,
  Wait = 49,
  End = 50,
  Claim = 56,
  Load = 57,
}

/** Fields of a call that requests a slot. */
export interface SlotCall {
  readonly service: string;
  /** Identifies the request among those of the sender's present incarnation. */
  readonly id: string;
  /** Empty for requests without a workspace. */
  readonly workspace: string;
  readonly route: string;
  /** Urgency, 0 first. */
  readonly rank: number;
  /** Milliseconds since the request arrived. */
  readonly ageMs: number;
  /** Milliseconds until the response should be received; negative if that time has passed. */
  readonly objectiveMs: number;
  /** Milliseconds until nobody waits for the response. */
  readonly deadlineMs: number;
  /** Incarnations of endpoints that the request must not be sent to. */
  readonly excluded: readonly string[];
  /** Incarnations of the endpoints that it is best sent to, the best one first; left out if any will do. */
  readonly preferred?: readonly string[] | undefined;
  /** Tokens of an engine's memory that it may take; left out if none. */
  readonly tokens?: number | undefined;
}

/** Fields of a call that waits for the turn of a queued request. */
export interface SlotWait {
  readonly service: string;
  readonly id: string;
  /** Milliseconds after which the arbiter replies even if the request is still queued. */
  readonly waitMs: number;
}

/** Fields of the message that ends a grant, or cancels a request that waits or has a grant. */
export interface SlotEndReport extends SlotEnd {
  readonly service: string;
  /** Whether the request was not sent with the grant. */
  readonly isCancelled: boolean;
}

/** Announces what the sender's build can do. */
interface SlotAnnouncement extends PeerMessage {
  readonly answersClaims: true;
}

/** Fields of the message that tells the load which an endpoint reported while a request with a place runs there. */
export interface SlotLoadReport {
  readonly service: string;
  readonly id: string;
  readonly load: EndpointLoad;
}

/** Fields of the call by which an arbiter that begins to decide on a brittle service asks for the places taken there. */
export interface SlotClaim {
  readonly service: string;
  /** Refusals a second that an endpoint of the service bears. */
  readonly limit: number;
  /** Whether the sender is linked with enough of the fleet to decide on all places. */
  readonly hasFleet: boolean;
}

/** A place that a request has at an endpoint. */
export interface ClaimedSlot {
  readonly id: string;
  /** Incarnation of the endpoint. */
  readonly endpoint: string;
  /** Milliseconds until the request has ended at the latest. */
  readonly deadlineMs: number;
  readonly tokens: number;
}

/** Reply to a claim. */
export interface SlotClaimReply {
  /** Incarnation of the instance that replies, by which its later reports are known. */
  readonly incarnation: number;
  readonly slots: readonly ClaimedSlot[];
  /** Instance that decided on a request of the sender a moment ago, if it is not the one that claims. */
  readonly arbiter?: string | undefined;
}

/** An arbiter's decision, in the field `word` of a reply. The numbers are sent to peers, the names are written to logs and metrics. */
export enum SlotReplyKind {
  Granted = 1,
  Queued = 2,
  Refused = 3,
  /** The receiver cannot decide, or does not know the request. */
  Unknown = 4,
}

/** Reply to a call that requests a slot or waits for one. */
export type SlotReply =
  | { readonly word: SlotReplyKind.Granted; readonly arbiter: string; readonly endpoint: string }
  | { readonly word: SlotReplyKind.Queued; readonly arbiter: string; readonly waitMs: number }
  | {
      readonly word: SlotReplyKind.Refused;
      readonly arbiter: string;
      readonly refusal: SlotRefusal;
      /** Milliseconds after which the caller should return; undefined if none is known. */
      readonly retryAfterMs: number | undefined;
    }
  | { readonly word: SlotReplyKind.Unknown };

/** Endpoints that one call may exclude; a request is sent to at most a few. */
export const maxExcluded = 64;
/** Endpoints that one call may prefer. */
export const maxPreferred = 4;
/** Places that one reply may list; an instance has fewer requests open. */
const maxClaimed = 4_096;

/** Creates the message of a call that requests a slot. */
export function createSlotCall(call: SlotCall): PeerMessage {
  return { kind: SlotMessageKind.Call, ...call };
}

export function createSlotWait(wait: SlotWait): PeerMessage {
  return { kind: SlotMessageKind.Wait, ...wait };
}

export function createSlotEnd(end: SlotEndReport): PeerMessage {
  return { kind: SlotMessageKind.End, ...end };
}

/** Creates the message which announces that this instance answers slot calls, and claims. */
export function createSlotAnnouncement(): SlotAnnouncement {
  return { kind: SlotMessageKind.End, answersClaims: true };
}

/** Whether an announcement received from a peer says that it answers claims; earlier builds don't. */
export function announcesClaims(message: PeerMessage): boolean {
  return (message as Partial<SlotAnnouncement>).answersClaims === true;
}

export function createSlotClaim(claim: SlotClaim): PeerMessage {
  return { kind: SlotMessageKind.Claim, ...claim };
}

export function createSlotLoad(report: SlotLoadReport): PeerMessage {
  return { kind: SlotMessageKind.Load, ...report };
}

/** Whether a message received from a peer is a complete request for a slot. */
export function isSlotCall(value: object): value is SlotCall {
  const { service, id, workspace, route, rank, ageMs, objectiveMs, deadlineMs, excluded, preferred, tokens } =
    value as Partial<SlotCall>;
  const areTexts = [service, id, workspace, route].every((text) => typeof text === "string");
  const areNumbers = [rank, ageMs, objectiveMs, deadlineMs].every((number) => Number.isFinite(number));
  const areHintsValid =
    (preferred === undefined || areIncarnations(preferred)) && (tokens === undefined || isCount(tokens));
  return areTexts && areNumbers && areIncarnations(excluded) && areHintsValid;
}

/** Whether a message received from a peer is a complete wait. */
export function isSlotWait(value: object): value is SlotWait {
  const { service, id, waitMs } = value as Partial<SlotWait>;
  return typeof service === "string" && typeof id === "string" && isCount(waitMs);
}

/** Whether a message received from a peer ends a grant; an announcement does not. */
export function isSlotEnd(value: object): value is SlotEndReport {
  const { service, id, isCancelled, isRejected, tookMs, load } = value as Partial<SlotEndReport>;
  const areTexts = typeof service === "string" && typeof id === "string";
  const areFlags = typeof isCancelled === "boolean" && typeof isRejected === "boolean";
  const isTimeValid = tookMs === undefined || isCount(tookMs);
  return areTexts && areFlags && isTimeValid && (load === undefined || isLoad(load));
}

/** Whether a message received from a peer reports an endpoint's load. */
export function isSlotLoad(value: object): value is SlotLoadReport {
  const { service, id, load } = value as Partial<SlotLoadReport>;
  return typeof service === "string" && typeof id === "string" && isLoad(load);
}

/** Whether a message received from a peer is a claim. */
export function isSlotClaim(value: object): value is SlotClaim {
  const { service, limit, hasFleet } = value as Partial<SlotClaim>;
  return typeof service === "string" && isCount(limit) && typeof hasFleet === "boolean";
}

/** Whether a value received from a peer is a reply to a claim. */
export function isSlotClaimReply(value: unknown): value is SlotClaimReply {
  if (typeof value !== "object" || value === null) return false;
  const { incarnation, slots, arbiter } = value as Partial<SlotClaimReply>;
  const areSlotsValid = Array.isArray(slots) && slots.length <= maxClaimed && slots.every(isClaimedSlot);
  return areSlotsValid && isCount(incarnation) && (arbiter === undefined || typeof arbiter === "string");
}

function isClaimedSlot(value: unknown): value is ClaimedSlot {
  if (typeof value !== "object" || value === null) return false;
  const { id, endpoint, deadlineMs, tokens } = value as Partial<ClaimedSlot>;
  return typeof id === "string" && typeof endpoint === "string" && isCount(deadlineMs) && isCount(tokens);
}

/** Whether a value received from a peer is a reply to a slot call or wait. */
export function isSlotReply(value: unknown): value is SlotReply {
  if (typeof value !== "object" || value === null) return false;
  const { word, arbiter, endpoint, waitMs, retryAfterMs, refusal } = value as Record<string, unknown>;
  if (word === SlotReplyKind.Unknown) return true;
  if (typeof arbiter !== "string") return false;
  if (word === SlotReplyKind.Granted) return typeof endpoint === "string";
  if (word === SlotReplyKind.Queued) return isCount(waitMs);
  const isTimeValid = retryAfterMs === undefined || isCount(retryAfterMs);
  return (
    word === SlotReplyKind.Refused && isTimeValid && typeof refusal === "number" && refusal in SlotRefusal
  );
}

function areIncarnations(value: unknown): boolean {
  return Array.isArray(value) && value.length <= maxExcluded && value.every((one) => typeof one === "string");
}

function isLoad(value: unknown): value is EndpointLoad {
  if (typeof value !== "object" || value === null) return false;
  const { running, waiting, slots, pacePercent } = value as Partial<EndpointLoad>;
  const isPaceValid = pacePercent === undefined || isCount(pacePercent);
  return isCount(running) && isCount(waiting) && isCount(slots) && isPaceValid;
}

/** Whether a value is a finite number that is not negative: a duration or a number of requests. */
function isCount(value: unknown): value is number {
  return Number.isFinite(value) && (value as number) >= 0;
}
