/**
 * What makes two requests the same one, sent again: who asks, and what is asked. Ids, deadlines and hints differ from try
 * to try.
 * @module
 */
import { createHash } from "node:crypto";

/** What a request asks. */
export interface FingerprintSource {
  /** Workspace that the key belongs to; undefined on public routes. */
  readonly workspace: string | undefined;
  readonly method: string;
  readonly host: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly body: Uint8Array;
}

/** Bytes kept of the digest: two of a million requests are alike by chance once in 10^26. */
const digestBytes = 16;

/** Returns a digest of what a request asks, the same on all instances; 22 characters. */
export function createFingerprint({ workspace, method, host, target, body }: FingerprintSource): string {
  const head = JSON.stringify([workspace ?? "", method, host.toLowerCase(), target]);
  const digest = createHash("sha256").update(head).update(body).digest();
  return digest.subarray(0, digestBytes).toString("base64url");
}
