/**
 * Where a stream began, and the one rule on which endpoints it may go on at. Endpoints of several software versions may serve side by
 * side; what two versions write does not fit together, and endpoints do not check it.
 * @module
 */
import { createHash } from "node:crypto";
import { hashText } from "@gladewall/kernel";
import type { EndpointRecord } from "../types.js";

/** Service and software version of the endpoint that wrote a stream's first event. */
export type StreamOrigin = Pick<EndpointRecord, "service" | "softwareVersion">;

/** Knows the versions at which streams may begin. */
export interface OpenVersions {
  mayBegin(origin: StreamOrigin): boolean;
}

/** What an endpoint must be to serve a stream: of the version that began it, or, before its first event, of one at which streams may begin. */
export type RequiredOrigin = StreamOrigin | OpenVersions;

/** Bytes of a key, which are exact as a number. */
const keyBytes = 6;

/** Returns the origin of a stream whose first event an endpoint wrote. */
export function getOrigin({ service, softwareVersion }: EndpointRecord): StreamOrigin {
  return { service, softwareVersion };
}

/** Whether two origins are the same. Records that state no version count as one version of their own. */
export function isSameOrigin(one: StreamOrigin, other: StreamOrigin): boolean {
  return one.service === other.service && one.softwareVersion === other.softwareVersion;
}

/** Whether a stream has begun, so that it goes on at one version only. */
export function isBegun(required: RequiredOrigin | undefined): required is StreamOrigin {
  return required !== undefined && !("mayBegin" in required);
}

/** Whether an endpoint may serve a request; `required` is undefined for requests whose responses no other endpoint goes on with. */
export function mayServe(
  required: RequiredOrigin | undefined,
  { record }: { readonly record: EndpointRecord },
): boolean {
  if (required === undefined) return true;
  return isBegun(required) ? isSameOrigin(required, record) : required.mayBegin(record);
}

/** Returns the 32-bit code that stands for an origin in messages, the same on all instances. */
export function encodeOrigin({ service, softwareVersion }: StreamOrigin): number {
  return hashText(JSON.stringify([service, softwareVersion]));
}

/**
 * Returns the key of a stream, from the workspace and the id of the request that began it. It is a cryptographic hash, so that no
 * workspace finds the streams of another by choosing ids.
 */
export function createStreamKey(workspace: string, requestId: string): number {
  const digest = createHash("sha256")
    .update(JSON.stringify([workspace, requestId]))
    .digest();
  return digest.readUIntBE(0, keyBytes);
}
