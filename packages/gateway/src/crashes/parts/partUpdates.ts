/**
 * What instances tell each other about parts of prompts that may crash endpoints.
 * @module
 */

/** Names a part of prompts. The same id is judged in each service for itself, as its engines run other software. */
export interface PartName {
  readonly service: string;
  readonly part: string;
}

/** The parts of a request that was in flight at an endpoint when it crashed. */
export interface PromptAboard {
  /** Identifies the request, so that a report that arrives twice counts once. */
  readonly fingerprint: string;
  /** Name of the workspace; empty on public routes. */
  readonly workspace: string;
  /** Ids of the parts that other requests may share. */
  readonly parts: readonly string[];
  /** Those of them that were suspected when the request was sent, and those of these because of which it was isolated. */
  readonly suspected: readonly string[];
  readonly tried: readonly string[];
}

/** Prompts of one instance that were in flight at an endpoint when it crashed. */
export interface PartCrash {
  /** Incarnation of the endpoint. */
  readonly life: string;
  readonly service: string;
  readonly aboard: readonly PromptAboard[];
}

/** How strongly a run speaks for the parts of its prompt. The numbers are sent to peers. */
export enum PartEvidence {
  /** It began before the crash, and its endpoint serves on: the part has come back whole before. */
  RanBefore = 1,
  /** It began after the crash, and its stream has gone on for longer than a crash takes. */
  Survived = 2,
  /** It began after the crash, and its complete response was received. */
  Whole = 3,
}

/** Evidence for parts that are suspected. */
export interface PartClearance {
  readonly service: string;
  readonly parts: readonly string[];
  readonly evidence: PartEvidence;
  /** Incarnations whose crashes it speaks about; empty for `RanBefore`, which speaks about none. */
  readonly lives: readonly string[];
}

/** A crash with a part aboard, without its prompts. */
export interface FoundCrash {
  /** Incarnation of the endpoint. */
  readonly life: string;
  /** Whether the part was already suspected when a request with it was sent to the endpoint, and whether it was isolated for it. */
  readonly isRepeated: boolean;
  readonly isTrial: boolean;
  /** Requests with the part. */
  readonly requests: number;
}

/** Crashes that a verdict on a part, or a suspicion which must outlast all instances, is based on. */
export interface PartFinding extends PartName {
  /** Whether requests with the part are refused. */
  readonly isConvicted: boolean;
  /** Parts that were with it in all requests, and that are as likely to be the cause; only requests with all of them are refused. */
  readonly companions: readonly string[];
  /** Workspaces whose requests had the part at the crashes. */
  readonly workspaces: readonly string[];
  /** Whether a request with the part is known to have run without a crash. */
  readonly hasRun: boolean;
  readonly crashes: readonly FoundCrash[];
  /** Unix milliseconds of the verdict, or of the first write. */
  readonly since: number;
}

/** News about parts, which may arrive late, twice and in any order. */
export interface PartUpdate {
  readonly crashes?: readonly PartCrash[];
  readonly clearances?: readonly PartClearance[];
  readonly findings?: readonly PartFinding[];
}
