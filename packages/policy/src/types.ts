/**
 * Types of the configuration that operators edit, and of the records that explain the decisions made about a request.
 * @module
 */
import type { PriceClass, ServiceKind } from "@gladewall/coordination";
import type { FailureCode } from "@gladewall/kernel";

/** Name in a row that matches every workspace, service or class. */
export const wildcard = "*";

/** Whether a request may run more than once. */
export enum RepeatRule {
  Allowed = 1,
  Never = 2,
}

/** One row of the operators' policy table. Limits apply to the whole fleet; a limit of 0 admits no request. */
export interface PolicyRow {
  readonly workspace: string;
  readonly service: string;
  readonly class: string;
  /** Share of the service's capacity relative to other rows, in tokens of work. */
  readonly weight: number;
  /** 0 (lowest) to 9 (highest). */
  readonly priority: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrency: number;
  /** Target time to the first token or byte, in milliseconds. */
  readonly latencyTarget: number;
  /** Whether the row's requests may run more than once. A caller can only restrict this further. */
  readonly repeat: RepeatRule;
}

/** A workspace and the hashes of its bearer keys. */
export interface WorkspaceRecord {
  readonly name: string;
  /** SHA-256 of each key, in hex. */
  readonly keyHashes: readonly string[];
}

/** Matches calls of a web service that may run only once, by method (`*` for any) and path prefix. */
export interface RepeatPattern {
  readonly method: string;
  readonly pathPrefix: string;
}

/** A service that endpoints provide. */
export interface ServiceRecord {
  readonly name: string;
  readonly kind: ServiceKind;
  /** Calls that may run only once; used for web services. */
  readonly never: readonly RepeatPattern[];
}

/** An edit that the document records, so that an editor whose response was lost can find out whether it was applied. */
export interface EditRecord {
  readonly id: string;
  readonly version: number;
  readonly author: string;
  /** Wall-clock time in milliseconds. */
  readonly time: number;
}

/** The versioned document that holds everything operators configure. */
export interface Configuration {
  readonly version: number;
  readonly rows: readonly PolicyRow[];
  readonly workspaces: readonly WorkspaceRecord[];
  readonly services: readonly ServiceRecord[];
  /** The most recent edits, newest last. */
  readonly edits: readonly EditRecord[];
}

/** Processing stage of a request in which a decision was made. */
export enum DecisionStage {
  Admission = 1,
  Queue = 2,
  Backup = 3,
  Claim = 4,
  Placement = 5,
  Retry = 6,
  Move = 7,
  Takeover = 8,
  Outcome = 9,
}

/** Rule that a decision followed. The module `reasons` has a sentence for each. */
export enum DecisionRule {
  RowAdmitted = 1,
  Refused = 2,
  QueuedBehind = 3,
  ServedAtOnce = 4,
  CopyHeld = 5,
  NoBackup = 6,
  ClaimWon = 7,
  ClaimLost = 8,
  PlacedByScore = 9,
  RetriedElsewhere = 10,
  NotRetried = 11,
  LetFinish = 12,
  MovedWithCache = 13,
  RerunFromEmitted = 14,
  TakenOver = 15,
  HandedOver = 16,
  Finished = 17,
  Failed = 18,
  Attached = 19,
  SentWithoutClaim = 20,
  CallerLeft = 21,
}

/** An endpoint that was considered in a placement, with the figures its score is based on. */
export interface PlacementAlternative {
  readonly endpoint: string;
  readonly score: number;
  readonly waitMs: number;
  readonly cachedTokens: number;
  readonly hall: string;
  readonly priceClass: PriceClass;
}

/** One decision about one request. */
export interface DecisionRecord {
  readonly stage: DecisionStage;
  readonly rule: DecisionRule;
  /** Wall-clock time in milliseconds. */
  readonly time: number;
  readonly entry: string;
  /** Values for the placeholders of the rule's sentence. */
  readonly inputs: Readonly<Record<string, string | number>>;
  readonly alternatives: readonly PlacementAlternative[];
  readonly failure: FailureCode | undefined;
}
