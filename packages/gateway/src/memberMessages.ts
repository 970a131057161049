/**
 * Shapes of what members tell each other.
 * @module
 */
import type { PeerMessage } from "@gladewall/coordination";
import type { ArbiterCall } from "./arbiters.js";
import type { EndpointWork } from "./endpointWork.js";
import type { FeedMessage, FeedState } from "./feedReplication.js";
import type { PrefixReport } from "./prefixIndex.js";
import type { RateReport } from "./prefillRates.js";
import type { CounterReport, CounterView } from "./sharedCounters.js";
import type { WindowCounts } from "./usageCounts.js";

/** Numbers of the messages between members; the links keep the lower ones. */
export enum MemberMessageKind {
  Report = 32,
  View = 33,
  Placement = 34,
  Feed = 35,
  PlacementRelay = 36,
  Counts = 37,
  QuotaCall = 38,
}

/** What an instance tells several times a second. */
export interface ReportMessage extends PeerMessage {
  readonly kind: MemberMessageKind.Report;
  /** Number of the report within the sender's life. */
  readonly sequence: number;
  /** Time of day as the sender counts it. */
  readonly time: number;
  readonly counters: CounterReport;
  readonly work: EndpointWork;
  /** Reading rates that the sender has learned; earlier builds leave them out. */
  readonly rates?: RateReport;
  /** Parts of prompts that endpoints have read since the last report; earlier builds leave them out in large fleets. */
  readonly read?: PrefixReport;
  /** Left out in some reports. */
  readonly usage?: WindowCounts;
  /** What the sender knows of the store, where it asks what it holds. */
  readonly feed?: FeedState;
  /** Whether the sender hears the whole fleet: asked what the store holds, a reader then answers with no view. */
  readonly hearsAll?: boolean;
  /** Whether the sender has begun to hear the whole fleet, and asks for the receiver's counts of it. */
  readonly wantsCounts?: boolean;
}

/** Counts of an instance that hears the whole fleet, for one that has begun to. */
export interface CountsMessage extends PeerMessage {
  readonly kind: MemberMessageKind.Counts;
  /** Report of the receiver that asked, up to which its counts are included. */
  readonly sequence: number;
  readonly counters: CounterView;
}

/** What a reader answers to an instance that hears the whole fleet itself. */
export interface FeedAnswer extends PeerMessage {
  readonly kind: MemberMessageKind.Feed;
  /** Report of the receiver that asked. */
  readonly sequence: number;
  readonly feed: FeedMessage;
}

/** What a reader answers to an instance of a large fleet. */
export interface ViewMessage extends PeerMessage {
  readonly kind: MemberMessageKind.View;
  /** Report of the receiver up to which its counts are included. */
  readonly sequence: number;
  readonly counters: CounterView;
  /** Work of all instances but the receiver. */
  readonly work: EndpointWork;
  /** Number of the last relayed placement that the work includes; earlier builds relay none. */
  readonly placedNumber?: number;
  /** Share of the fleet that is heard. */
  readonly knownShare: number;
  /** Reading rates that the sender goes by; earlier builds leave them out. */
  readonly rates?: RateReport;
  readonly feed: FeedMessage;
}

/** A long prompt was sent to an endpoint; told at once, as the next report may come too late to keep others away. */
export interface PlacementMessage extends PeerMessage {
  readonly kind: MemberMessageKind.Placement;
  /** Earlier builds name it otherwise. */
  readonly endpoint?: string;
  readonly tokens: number;
}

/** Field that the links' pings carry. */
export interface PingMessage extends PeerMessage {
  readonly time?: number;
}

/** A long prompt and where it was sent. */
export type PlacementEntry = readonly [endpoint: string, tokens: number];

/** Placements of other instances, handed on by a reader of a large fleet. */
export interface PlacementRelayMessage extends PeerMessage {
  readonly kind: MemberMessageKind.PlacementRelay;
  /** Number of the first entry within the reader's life; the others follow. */
  readonly first: number;
  /** The receiver's own have an empty endpoint. */
  readonly entries: readonly PlacementEntry[];
  /** Parts of prompts that endpoints have read. */
  readonly read: PrefixReport;
}

/** What units of a limit are taken for. */
export enum QuotaUse {
  /** A request's first run. */
  First = 1,
  /** A further run of a request that was let in. */
  Retry = 2,
}

/** A call: may this instance have taken so many units of a workspace's limit in all? */
export interface QuotaCall extends PeerMessage {
  readonly kind: MemberMessageKind.QuotaCall;
  readonly workspace: string;
  /** Units that this life of the sender has taken, with those it asks for. */
  readonly total: number;
  /** Milliseconds that this life has lasted. */
  readonly uptime: number;
  readonly use: QuotaUse;
}

/** What an instance asks; the message without its kind. */
export type QuotaCallArguments = Omit<QuotaCall, "kind" | "call">;

/** What an arbiter says to a question. */
export enum GrantDecision {
  /** The total is counted. */
  Granted = 1,
  /** It is not, as there is no room. */
  Refused = 2,
  /** The receiver does not know enough of the sender, or of the workspace. */
  Unknown = 3,
}

/** Answer to a question. */
export interface QuotaReply {
  readonly word: GrantDecision;
  /** Units of the limit that the fleet has taken, as the arbiter counts them. */
  readonly level: number;
}

/** Puts a question so that the arbiter of the workspace's limit can be asked. */
export function createQuotaCall(question: QuotaCallArguments): ArbiterCall<QuotaReply> {
  return {
    subject: question.workspace,
    message: { kind: MemberMessageKind.QuotaCall, ...question },
    isUndecided: ({ word }) => word === GrantDecision.Unknown,
  };
}
