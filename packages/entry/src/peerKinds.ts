/**
 * Messages between entries: kinds and shapes. Kinds below 16 belong to the links themselves.
 * @module
 */
import type { Amounts, Claim, InstanceUpdate, PeerMessage, ShareDemand } from "@gladewall/coordination";
import type { FailureCode, Outcome } from "@gladewall/kernel";
import type { DecisionRecord } from "@gladewall/policy";
import type { ResponseChunk, ResponseHead, Envelope, Usage } from "./types.js";

/** Kinds of message. */
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

/** Fields of a ping: the configuration's version, and how long ago its sender knew it to be current. */
export interface PingFields {
  readonly version: number;
  readonly age: number;
}

/** Answer to `AskConfiguration`. */
export interface ConfigurationReply {
  readonly bytes: Uint8Array | undefined;
  readonly age: number;
}

/** Word about an instance, passed on. */
export interface InstanceUpdateMessage extends PeerMessage {
  readonly kind: PeerKind.InstanceUpdate;
  readonly word: InstanceUpdate;
}

/** A run as peers tell it. */
export interface RunLocation {
  readonly runId: string;
  readonly attempt: number;
  readonly endpoint: string;
}

/** Chunk in an array, to be small. */
export type WireChunk = readonly [
  position: number,
  data: string | Uint8Array,
  choices?: string,
  finish?: string,
  usage?: Usage,
];

/** A failure in numbers. */
export interface WireFailure {
  readonly code: FailureCode;
  readonly values: Readonly<Record<string, string | number>>;
  readonly outcome: Outcome;
  readonly retryAfter: number | undefined;
}

/** A copy of an accepted request for its backup. */
export interface CopyMessage extends PeerMessage {
  readonly kind: PeerKind.Copy;
  readonly envelope: Envelope;
  /** Milliseconds left to the request's deadline. */
  readonly remaining: number;
  /** The holder is the home of the request's key: its own request is the one that others of the key follow. */
  readonly isHome: boolean;
  /** What was given already, where a request gets another backup midway. */
  readonly progress: ProgressItem;
}

/** Answer to a copy. */
export interface CopyReply {
  readonly isHeld: boolean;
  /** Another request that has the same key. */
  readonly existing: string | undefined;
  /** Body digest of that request. */
  readonly existingBody: string | undefined;
}

/** What is new about one request. */
export interface ProgressItem {
  readonly request: string;
  readonly run?: RunLocation | undefined;
  readonly head?: ResponseHead | undefined;
  /** Index of the first chunk. */
  readonly from: number;
  readonly chunks: readonly WireChunk[];
  readonly isComplete: boolean;
  readonly failure?: WireFailure | undefined;
  readonly decisions: readonly DecisionRecord[];
}

/** What is new about requests of one holder. */
export interface ProgressMessage extends PeerMessage {
  readonly kind: PeerKind.Progress;
  readonly items: readonly ProgressItem[];
}

/** Answer to progress: requests the backup knows nothing of. */
export interface ProgressReply {
  readonly unknown: readonly string[];
}

/** A leaving holder asks its backup to go on with requests. */
export interface HandoverMessage extends PeerMessage {
  readonly kind: PeerKind.Handover;
  readonly requests: readonly string[];
}

/** Answer to a handover: requests that the backup now holds. */
export interface HandoverReply {
  readonly taken: readonly string[];
}

/** A holder tells its backup never to start a request by itself. */
export interface NeverStartMessage extends PeerMessage {
  readonly kind: PeerKind.NeverStart;
  readonly request: string;
}

/** A holder tells a peer that it is no longer the backup of a request. */
export interface DropMessage extends PeerMessage {
  readonly kind: PeerKind.Drop;
  readonly request: string;
}

/** Asks the home of a key for the request that the key was used for. */
export interface FindKeyMessage extends PeerMessage {
  readonly kind: PeerKind.FindKey;
  readonly keyDigest: string;
}

/** Answer to `FindKey`. */
export interface FindKeyReply {
  readonly found: { readonly request: string; readonly body: string } | undefined;
}

/** Where a request is. */
export enum HoldState {
  /** Not known here. */
  None = 0,
  /** Held here: its answer can be followed. */
  Held = 1,
  /** A copy is here; its holder may be gone, and then it will be held here. */
  Copied = 2,
}

/** Asks whether a peer holds a request. */
export interface LocateMessage extends PeerMessage {
  readonly kind: PeerKind.Locate;
  readonly request: string;
}

/** Asks the holder of a request to cancel it. */
export interface CancelMessage extends PeerMessage {
  readonly kind: PeerKind.Cancel;
  readonly request: string;
}

/** Answer to `Locate`. */
export interface LocateReply {
  readonly state: HoldState;
}

/** Asks for a request's answer from a position on. */
export interface FollowMessage extends PeerMessage {
  readonly kind: PeerKind.Follow;
  readonly request: string;
  /** Number by which the asking side tells its streams apart. */
  readonly stream: number;
}

/** Answer to `Follow`: the request without its body, undefined where it is not held. */
export interface FollowReply {
  readonly envelope: Envelope | undefined;
  /** Request that this one follows itself. */
  readonly attachedTo: string | undefined;
  /** Index of the first chunk that is still held. */
  readonly isWhole: boolean;
}

/** A part of a followed answer. */
export interface FollowPart extends PeerMessage {
  readonly kind: PeerKind.FollowPart;
  readonly stream: number;
  readonly head?: ResponseHead | undefined;
  readonly chunks: readonly WireChunk[];
  readonly isComplete: boolean;
  readonly failure?: WireFailure | undefined;
  /** The answer goes on elsewhere. */
  readonly isMoved: boolean;
}

/** Asks the usual writer of a shard to record a claim. */
export interface ClaimMessage extends PeerMessage {
  readonly kind: PeerKind.Claim;
  readonly claim: Claim;
}

/** Answer to a claim. */
export interface ClaimReply {
  readonly isWon: boolean;
  readonly claim: Claim | undefined;
}

/** Asks the lender of a row for a share. */
export interface AskShareMessage extends PeerMessage {
  readonly kind: PeerKind.AskShare;
  readonly row: string;
  readonly demand: ShareDemand;
}

/** Answer to `AskShare`; undefined where the asked entry is not the lender. */
export interface ShareReply {
  readonly amounts: Amounts | undefined;
}

/** Returns a chunk as it is sent. */
export function encodeChunk(chunk: ResponseChunk): WireChunk {
  const { position, data, choices, finish, usage } = chunk;
  if (usage) return [position, data, choices ?? "", finish ?? "", usage];
  if (finish !== undefined) return [position, data, choices ?? "", finish];
  return choices === undefined ? [position, data] : [position, data, choices];
}

/** Returns a chunk as it was before it was sent. */
export function decodeChunk([position, data, choices, finish, usage]: WireChunk): ResponseChunk {
  return {
    position,
    data,
    choices: choices === "" ? undefined : choices,
    finish: finish === "" ? undefined : finish,
    usage,
  };
}
