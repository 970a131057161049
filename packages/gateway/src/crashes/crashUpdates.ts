/**
 * What instances tell each other of crashes: which requests were in flight, and which did not cause them.
 * @module
 */
import type { PartUpdate } from "./parts/partUpdates.js";

/** Identifies a request by its content, so that it is recognized when it is sent again. */
export interface CrashSubject {
  /** Name of the workspace; empty on public routes. */
  readonly workspace: string;
  /** Digest of the content, including the workspace. */
  readonly fingerprint: string;
}

/** Requests of one instance that were in flight at an endpoint when it crashed. */
export interface CrashReport {
  /** Incarnation of the endpoint. */
  readonly life: string;
  /** Requests that were suspects before this crash. */
  readonly suspects: readonly CrashSubject[];
  readonly others: readonly CrashSubject[];
}

/** A request got a complete response, so it did not cause the crashes of these incarnations. */
export interface Clearance {
  readonly fingerprint: string;
  readonly lives: readonly string[];
}

/** Incarnations that crashed while a request was in flight there. */
export interface CrashEvidence {
  /** Crashes before which the request was not a suspect. */
  readonly first: readonly string[];
  /** Crashes before which it was one. */
  readonly repeated: readonly string[];
}

/** Crash reports, clearances and refutations as instances send them to each other. */
export interface CrashUpdate {
  readonly reports?: readonly CrashReport[];
  readonly acquittals?: readonly Clearance[];
  /** Incarnations that turned out not to have crashed. */
  readonly refuted?: readonly string[];
  /** News about parts of prompts; earlier builds ignore it. */
  readonly parts?: PartUpdate;
}
