/**
 * Shapes of the table and of decisions: what operators edit, and what the system says it did.
 * @module
 */
import type { PriceClass, ServiceKind } from "@gladewall/coordination";
import type { FailureCode } from "@gladewall/kernel";

/** Matches every workspace, service or class in a row. */
export const wildcard = "*";

/** Whether a request may be run more than once. */
export enum RepeatRule {
  Allowed = 1,
  Never = 2,
}

/** One row of the operators' table. Limits hold over the whole fleet; 0 means that the row allows none. */
export interface PolicyRow {
  readonly workspace: string;
  readonly service: string;
  readonly class: string;
  /** Share of the service relative to other rows, in tokens of work. */
  readonly weight: number;
  /** 0 (lowest) to 9 (most urgent). */
  readonly priority: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrency: number;
  /** Milliseconds to the first token or byte. */
  readonly latencyTarget: number;
  /** Rule for the row's requests, over which a caller can only be stricter. */
  readonly repeat: RepeatRule;
}

/** A customer and the hashes of its bearer keys. */
export interface WorkspaceRecord {
  readonly name: string;
  /** SHA-256 of each key, in hex. */
  readonly keyHashes: readonly string[];
}

/** Calls of a web service that may not be repeated. */
export interface RepeatPattern {
  readonly method: string;
  readonly pathPrefix: string;
}

/** A service that endpoints give. */
export interface ServiceRecord {
  readonly name: string;
  readonly kind: ServiceKind;
  /** Calls that may not be repeated; for web services. */
  readonly never: readonly RepeatPattern[];
}

/** An edit that the document remembers, so that a lost answer can be settled. */
export interface EditRecord {
  readonly id: string;
  readonly version: number;
  readonly author: string;
  /** Wall clock, milliseconds. */
  readonly time: number;
}

/** The versioned document: everything that operators steer by. */
export interface Configuration {
  readonly version: number;
  readonly rows: readonly PolicyRow[];
  readonly workspaces: readonly WorkspaceRecord[];
  readonly services: readonly ServiceRecord[];
  /** The latest edits, newest last. */
  readonly edits: readonly EditRecord[];
}

/** Stage of a request's life that decided something. */
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

/** Rule that decided. The sentence of each stands in one table. */
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

/** An endpoint that was considered, with what spoke for and against it. */
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
  /** Wall clock, milliseconds. */
  readonly time: number;
  readonly entry: string;
  /** Figures and names that the sentence needs. */
  readonly inputs: Readonly<Record<string, string | number>>;
  readonly alternatives: readonly PlacementAlternative[];
  readonly failure: FailureCode | undefined;
}
