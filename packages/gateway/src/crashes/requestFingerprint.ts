/**
 * Fingerprint by which a request is recognized when it is sent again: its workspace and its content. Ids, deadlines and hints are
 * left out, because they differ between attempts.
 * @module
 */
import { createHash } from "node:crypto";
import type { CrashSubject } from "./crashUpdates.js";

/** Fields of a request that identify its content. */
export interface FingerprintSource {
  /** Workspace that the key belongs to; undefined on public routes. */
  readonly workspace: string | undefined;
  readonly method: string;
  readonly host: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly body: Uint8Array;
}

/** Bytes kept of the digest: among a million requests, two collide by chance in one of 10^26 cases. */
const digestBytes = 16;

/** Returns the fingerprint of a request, the same on all instances; 22 characters. */
export function createFingerprint({ workspace, method, host, target, body }: FingerprintSource): string {
  const head = JSON.stringify([workspace ?? "", method, host.toLowerCase(), target]);
  const digest = createHash("sha256").update(head).update(body).digest();
  return digest.subarray(0, digestBytes).toString("base64url");
}

/** Returns what identifies a request, on all instances. Its digest is computed when it is first read. */
export function createSubject(source: FingerprintSource): CrashSubject {
  let fingerprint: string | undefined;
  return {
    workspace: source.workspace ?? "",
    get fingerprint() {
      fingerprint ??= createFingerprint(source);
      return fingerprint;
    },
  };
}
