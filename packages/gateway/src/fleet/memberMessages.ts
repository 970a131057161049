/**
 * Messages between the members of the fleet. A member is an instance that is listed in the store.
 * @module
 */
import type { PeerMessage } from "@gladewall/coordination";
import type { ArbiterCall } from "../limits/arbiters.js";
import type { EndpointWork } from "../endpoints/endpointWork.js";
import type { FeedMessage, FeedState } from "../store/feedReplication.js";
import type { PrefixReport } from "../placement/prefixIndex.js";
import type { RateReport } from "../prefillRates.js";
import type { CounterReport, CounterView } from "../limits/counterTypes.js";
import { GrantDecision } from "../limits/grantDecision.js";
import type { WindowCounts } from "../usage/usageCounts.js";

/** Message numbers of the messages between members; the links themselves use lower ones. */
export enum MemberMessageKind {
  Report = 32,
  View = 33,
  Placement = 34,
  Feed = 35,
  PlacementRelay = 36,
  Counts = 37,
  QuotaCall = 38,
}

/**
 * The report that an instance sends several times a second: to every peer in a small fleet, to the readers in a
 * large one.
 */
export interface ReportMessage extends PeerMessage {
  readonly kind: MemberMessageKind.Report;
  /** Number of the report since the sender's start. */
  readonly sequence: number;
  /** Time of day by the sender's clock, in milliseconds since 1970. */
  readonly time: number;
  readonly counters: CounterReport;
  readonly work: EndpointWork;
  /** Prefill rates that the sender has learned; earlier builds leave them out. */
  readonly rates?: RateReport;
  /**
   * Prompt parts that endpoints have processed since the last report; earlier builds leave them out in large
   * fleets.
   */
  readonly read?: PrefixReport;
  /** Left out in some reports. */
  readonly usage?: WindowCounts;
  /** State of the sender's copy of the store's content; set if the sender requests the rest from the receiver. */
  readonly feed?: FeedState;
  /**
   * Whether the sender is a collector, which receives the reports of all instances. A reader's reply to it then
   * contains no view.
   */
  readonly hearsAll?: boolean;
  /** Whether the sender has just become a collector and requests the receiver's counts of the fleet. */
  readonly wantsCounts?: boolean;
}

/** Counts of a collector, sent to an instance that has just become one. */
export interface CountsMessage extends PeerMessage {
  readonly kind: MemberMessageKind.Counts;
  /** Number of the receiver's report that requested them; the counts include the receiver's own up to that report. */
  readonly sequence: number;
  readonly counters: CounterView;
}

/** A reader's reply to a report of a collector. */
export interface FeedReply extends PeerMessage {
  readonly kind: MemberMessageKind.Feed;
  /** Number of the receiver's report that this replies to. */
  readonly sequence: number;
  readonly feed: FeedMessage;
}

/**
 * A reader's reply to a report of an instance in a large fleet: the aggregated counts and work of the fleet.
 */
export interface ViewMessage extends PeerMessage {
  readonly kind: MemberMessageKind.View;
  /** Number of the receiver's report up to which its own counts are included. */
  readonly sequence: number;
  readonly counters: CounterView;
  /** Work of all instances except the receiver. */
  readonly work: EndpointWork;
  /** Number of the last relayed placement that the work includes; earlier builds relay none. */
  readonly placedNumber?: number;
  /** Share of the fleet whose reports the sender receives, 0 to 1. */
  readonly knownShare: number;
  /** Prefill rates that the sender uses; earlier builds leave them out. */
  readonly rates?: RateReport;
  readonly feed: FeedMessage;
}

/**
 * A long prompt was sent to an endpoint. This is sent immediately, because the next report may come too late to
 * keep other instances from choosing the same endpoint.
 */
export interface PlacementMessage extends PeerMessage {
  readonly kind: MemberMessageKind.Placement;
  /** Earlier builds send it under another name. */
  readonly endpoint?: string;
  readonly tokens: number;
}

/** Fields that the links' pings carry. */
export interface PingMessage extends PeerMessage {
  /** The sender's time of day. */
  readonly time?: number;
  /** Milliseconds since the sender's start; earlier builds leave it out. */
  readonly uptime?: number;
}

/** The endpoint that a long prompt was sent to, and the prompt's tokens. */
export type PlacementEntry = readonly [endpoint: string, tokens: number];

/** Placements of other instances, relayed by a reader in a large fleet. */
export interface PlacementRelayMessage extends PeerMessage {
  readonly kind: MemberMessageKind.PlacementRelay;
  /** Number of the first entry since the reader's start; the others follow consecutively. */
  readonly first: number;
  /** Placements of the receiver itself have an empty endpoint. */
  readonly entries: readonly PlacementEntry[];
  /** Prompt parts that endpoints have processed. */
  readonly read: PrefixReport;
}

/** What the units of a limit are charged for. */
export enum QuotaUse {
  /** The first run of a request. */
  First = 1,
  /** A retry of a request that was admitted. */
  Retry = 2,
}

/** A call to the arbiter of a workspace's limit: requests that the sender's total may rise to this value. */
export interface QuotaCall extends PeerMessage {
  readonly kind: MemberMessageKind.QuotaCall;
  readonly workspace: string;
  /** Units that the sender has taken since its start, including those that it requests. */
  readonly total: number;
  /** Milliseconds since the sender's start. */
  readonly uptime: number;
  readonly use: QuotaUse;
  /** Priority of the request's route. Left out by earlier builds and for retries; the limit alone then decides. */
  readonly rank?: number;
  /** Name of the request's route, with `rank`; earlier builds leave it out. */
  readonly route?: string;
  /** Units of the request alone; `total` may include other requests of the sender on which no reply has arrived yet. */
  readonly units?: number;
}

/** The fields of a call; the message without its kind. */
export type QuotaCallArguments = Omit<QuotaCall, "kind" | "call">;

/** Reply to a quota call. */
export interface QuotaReply {
  readonly word: GrantDecision;
  /** Units of the limit that the fleet has taken, by the arbiter's count. */
  readonly level: number;
  /**
   * Set if the limit has room, but the share of the request's rank is used up: milliseconds until that share has room. Earlier
   * builds leave it out.
   */
  readonly waitMs?: number;
}

/** Creates the call to the arbiter of the workspace's limit. */
export function createQuotaCall(call: QuotaCallArguments): ArbiterCall<QuotaReply> {
  return {
    subject: call.workspace,
    message: { kind: MemberMessageKind.QuotaCall, ...call },
    isUndecided: ({ word }) => word === GrantDecision.Unknown,
  };
}
