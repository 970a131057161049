/**
 * Kinds and shapes of the messages between entries. Kinds below 16 are reserved for the peer links.
 * @module
 */
import type { Amounts, Claim, InstanceUpdate, PeerMessage, ShareDemand } from "@gladewall/coordination";
import type { FailureCode, Outcome } from "@gladewall/kernel";
import type { DecisionRecord } from "@gladewall/policy";
import type { ResponseChunk, ResponseHead, Envelope, Usage } from "./types.js";

/** Kinds of messages. */
export enum PeerKind {
  AskConfiguration = 16,
  InstanceUpdate = 17,
  Copy = 18,
  Progress = 19,
  Handover = 20,
  Locate = 21,
  Follow = 22,
  FollowPart = 23,
  Claim = 24,
  AskShare = 25,
  NeverStart = 26,
  Cancel = 27,
  Drop = 28,
  FindKey = 29,
}

/** Fields of a ping: the configuration's version and the milliseconds since its sender knew it to be current. */
export interface PingFields {
  readonly version: number;
  readonly age: number;
}

/** Reply to `AskConfiguration`: the encoded configuration, undefined if there is none, and its age as in a ping. */
export interface ConfigurationReply {
  readonly bytes: Uint8Array | undefined;
  readonly age: number;
}

/** A membership update, forwarded by a peer. */
export interface InstanceUpdateMessage extends PeerMessage {
  readonly kind: PeerKind.InstanceUpdate;
  readonly word: InstanceUpdate;
}

/** A run of a request at an endpoint. */
export interface RunLocation {
  readonly runId: string;
  readonly attempt: number;
  readonly endpoint: string;
}

/** A response chunk as an array, which encodes smaller than a map. */
export type WireChunk = readonly [
  position: number,
  data: string | Uint8Array,
  choices?: string,
  finish?: string,
  usage?: Usage,
];

/** A failure as its code and values, without text. */
export interface WireFailure {
  readonly code: FailureCode;
  readonly values: Readonly<Record<string, string | number>>;
  readonly outcome: Outcome;
  readonly retryAfter: number | undefined;
}

/** Sends a copy of an accepted request to a backup. */
export interface CopyMessage extends PeerMessage {
  readonly kind: PeerKind.Copy;
  readonly envelope: Envelope;
  /** Milliseconds left until the request's deadline. */
  readonly remaining: number;
  /** Whether the holder is the home of the request's key, so that other requests with the key follow this one. */
  readonly isHome: boolean;
  /** Progress so far, for a request that gets another backup while it runs. */
  readonly progress: ProgressItem;
}

/** Reply to `Copy`. */
export interface CopyReply {
  readonly isHeld: boolean;
  /** Id of another request that has the same key; undefined if there is none. */
  readonly existing: string | undefined;
  /** Digest of that request's body. */
  readonly existingBody: string | undefined;
}

/** New progress of one request. */
export interface ProgressItem {
  readonly request: string;
  readonly run?: RunLocation | undefined;
  readonly head?: ResponseHead | undefined;
  /** Index of the first chunk in `chunks`. */
  readonly from: number;
  readonly chunks: readonly WireChunk[];
  readonly isComplete: boolean;
  readonly failure?: WireFailure | undefined;
  readonly decisions: readonly DecisionRecord[];
}

/** New progress of several requests of one holder. */
export interface ProgressMessage extends PeerMessage {
  readonly kind: PeerKind.Progress;
  readonly items: readonly ProgressItem[];
}

/** Reply to `Progress`: ids of the requests of which the backup has no usable copy. */
export interface ProgressReply {
  readonly unknown: readonly string[];
}

/** A leaving holder hands requests over to a backup. */
export interface HandoverMessage extends PeerMessage {
  readonly kind: PeerKind.Handover;
  readonly requests: readonly string[];
}

/** Reply to `Handover`: ids of the requests that the backup now holds. */
export interface HandoverReply {
  readonly taken: readonly string[];
}

/** A holder instructs a backup never to start a request by itself. */
export interface NeverStartMessage extends PeerMessage {
  readonly kind: PeerKind.NeverStart;
  readonly request: string;
}

/** A holder notifies a peer that it is no longer the backup of a request. */
export interface DropMessage extends PeerMessage {
  readonly kind: PeerKind.Drop;
  readonly request: string;
}

/** Requests the id of the request that a key was used for from the key's home. */
export interface FindKeyMessage extends PeerMessage {
  readonly kind: PeerKind.FindKey;
  readonly keyDigest: string;
}

/** Reply to `FindKey`: the request's id and the digest of its body; undefined if the key is unknown. */
export interface FindKeyReply {
  readonly found: { readonly request: string; readonly body: string } | undefined;
}

/** Whether an entry has a request. */
export enum HoldState {
  /** The request is unknown. */
  None = 0,
  /** The entry holds the request; its response can be followed. */
  Held = 1,
  /** The entry has a backup copy, and takes the request over if its holder is lost. */
  Copied = 2,
}

/** Queries whether a peer has a request. */
export interface LocateMessage extends PeerMessage {
  readonly kind: PeerKind.Locate;
  readonly request: string;
}

/** Requests the holder of a request to cancel it. */
export interface CancelMessage extends PeerMessage {
  readonly kind: PeerKind.Cancel;
  readonly request: string;
}

/** Reply to `Locate`. */
export interface LocateReply {
  readonly state: HoldState;
}

/** Requests the holder of a request to send its response, from the beginning. */
export interface FollowMessage extends PeerMessage {
  readonly kind: PeerKind.Follow;
  readonly request: string;
  /** Number that identifies the stream at the requester. */
  readonly stream: number;
}

/** Reply to `Follow`: the request without its body; undefined if it is not held. */
export interface FollowReply {
  readonly envelope: Envelope | undefined;
  /** Id of the request that this one follows itself. */
  readonly attachedTo: string | undefined;
  /** Whether the response is still held from the beginning; if not, no part of it is sent. */
  readonly isWhole: boolean;
}

/** A part of a followed response. */
export interface FollowPart extends PeerMessage {
  readonly kind: PeerKind.FollowPart;
  readonly stream: number;
  readonly head?: ResponseHead | undefined;
  readonly chunks: readonly WireChunk[];
  readonly isComplete: boolean;
  readonly failure?: WireFailure | undefined;
  /** Whether the response continues at another entry. */
  readonly isMoved: boolean;
}

/** Requests the preferred writer of a shard to record a claim. */
export interface ClaimMessage extends PeerMessage {
  readonly kind: PeerKind.Claim;
  readonly claim: Claim;
}

/** Reply to `Claim`: whether the claim was won, and the claim that holds the key; undefined if it is unknown. */
export interface ClaimReply {
  readonly isWon: boolean;
  readonly claim: Claim | undefined;
}

/** Requests a share of a row's limits from the row's allocator. */
export interface AskShareMessage extends PeerMessage {
  readonly kind: PeerKind.AskShare;
  readonly row: string;
  readonly demand: ShareDemand;
}

/** Reply to `AskShare`; undefined if the row is unknown to the entry or it cannot allocate shares of it now. */
export interface ShareReply {
  readonly amounts: Amounts | undefined;
}

/** Encodes a chunk for the peer link. */
export function encodeChunk(chunk: ResponseChunk): WireChunk {
  const { position, data, choices, finish, usage } = chunk;
  if (usage) return [position, data, choices ?? "", finish ?? "", usage];
  if (finish !== undefined) return [position, data, choices ?? "", finish];
  return choices === undefined ? [position, data] : [position, data, choices];
}

/** Decodes a chunk received over the peer link. */
export function decodeChunk([position, data, choices, finish, usage]: WireChunk): ResponseChunk {
  return {
    position,
    data,
    choices: choices === "" ? undefined : choices,
    finish: finish === "" ? undefined : finish,
    usage,
  };
}
