/**
 * Messages on where streams began. An entry is a key and the code of an origin, 10 bytes in all, and a message holds many.
 * @module
 */
import type { PeerMessage } from "@gladewall/coordination";

/** Numbers of the messages; they follow that of retry loans. */
export enum OriginMessageKind {
  Entries = 54,
  Call = 55,
}

/** Where some streams began, as told by the instance that forwards them. */
export interface OriginEntriesMessage extends PeerMessage {
  readonly kind: OriginMessageKind.Entries;
  readonly entries: Uint8Array;
}

/** A call for where a stream began. */
export interface OriginCall extends PeerMessage {
  readonly kind: OriginMessageKind.Call;
  readonly key: number;
}

/** Reply to a call. */
export interface OriginReply {
  /** Code of the origin; left out if the sender doesn't know it. */
  readonly code?: number;
  /** Set if the sender knows services of several versions. */
  readonly several?: boolean;
}

/** Key of a stream and code of its origin. */
export type OriginEntry = readonly [key: number, code: number];

const keyBytes = 6;
const codeBytes = 4;
const entryBytes = keyBytes + codeBytes;
/** Entries in one message: at most a seventh of a link's outbox. */
export const maxEntriesPerMessage = 4_000;

/** Encodes entries, one after the other. */
export function encodeEntries(entries: readonly OriginEntry[]): Buffer {
  const bytes = Buffer.alloc(entries.length * entryBytes);
  for (const [index, [key, code]] of entries.entries()) {
    const start = index * entryBytes;
    bytes.writeUIntBE(key, start, keyBytes);
    bytes.writeUInt32BE(code, start + keyBytes);
  }
  return bytes;
}

/** Decodes entries; none if they are malformed. */
export function decodeEntries(encoded: unknown): readonly OriginEntry[] {
  if (!(encoded instanceof Uint8Array) || encoded.length % entryBytes !== 0) return [];
  const bytes = Buffer.from(encoded.buffer, encoded.byteOffset, encoded.length);
  const decoded: OriginEntry[] = [];
  for (let start = 0; start < bytes.length; start += entryBytes)
    decoded.push([bytes.readUIntBE(start, keyBytes), bytes.readUInt32BE(start + keyBytes)]);
  return decoded;
}

/** Decodes a reply; a malformed one is empty. */
export function decodeReply(reply: unknown): OriginReply {
  if (typeof reply !== "object" || reply === null) return {};
  const { code, several } = reply as Partial<Record<keyof OriginReply, unknown>>;
  const isCode = typeof code === "number" && Number.isInteger(code);
  return { ...(isCode && { code }), several: several === true };
}
