/**
 * Messages on where streams began. An entry is a key and the code of an origin, 10 bytes in all, and a message holds many.
 * @module
 */
import type { PeerMessage } from "@gladewall/coordination";

/** Numbers of the messages; they follow that of retry loans. */
export enum OriginMessageKind {
  Entries = 54,
  Call = 55,
  /** These two follow the load of slots. */
  Keep = 58,
  Joining = 59,
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
  /** Services that the stream can have begun at; earlier builds name none. */
  readonly services?: readonly string[];
}

/** Reply to a call. */
export interface OriginReply {
  /** Code of the origin; left out if the sender doesn't know it. */
  readonly code?: number;
  /** Set if the sender knows services of several versions. */
  readonly several?: boolean;
  /** Codes of the versions at which streams of the named services can have begun; earlier builds leave it out. */
  readonly begun?: readonly number[];
  /** Set if the sender knows these versions without a gap. */
  readonly proven?: boolean;
  /** Set if the sender has heard of endpoints lately. */
  readonly fresh?: boolean;
}

/** A call to keep where streams began in the store. */
export interface KeepCall extends PeerMessage {
  readonly kind: OriginMessageKind.Keep;
  readonly entries: Uint8Array;
}

/** Reply to a call to keep entries. */
export interface KeepReply {
  /** Whether they are in the store. */
  readonly kept: boolean;
}

/** A call for whether an instance has read that versions of a service join. */
export interface JoiningCall extends PeerMessage {
  readonly kind: OriginMessageKind.Joining;
  readonly service: string;
  readonly codes: readonly number[];
}

/** Reply to a call for a confirmation. */
export interface JoiningReply {
  /** Whether the sender lists all the versions, and has told where its streams began. */
  readonly joining: boolean;
}

/** Key of a stream and code of its origin. */
export type OriginEntry = readonly [key: number, code: number];

const keyBytes = 6;
const codeBytes = 4;
const entryBytes = keyBytes + codeBytes;
const maxCode = 2 ** (8 * codeBytes) - 1;
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
  const { code, several, begun, proven, fresh } = reply as Partial<Record<keyof OriginReply, unknown>>;
  const areCodes = Array.isArray(begun) && begun.every(isCode);
  return {
    ...(isCode(code) && { code }),
    ...(areCodes && { begun }),
    several: several === true,
    proven: proven === true,
    fresh: fresh === true,
  };
}

/** Whether a reply sets a flag. */
export function hasFlag<Reply extends object>(reply: unknown, name: keyof Reply): boolean {
  return typeof reply === "object" && reply !== null && (reply as Partial<Reply>)[name] === true;
}

/** Returns the services that a call names; none if they are malformed. */
export function decodeServices(services: unknown): readonly string[] {
  return Array.isArray(services) ? services.filter((service) => typeof service === "string") : [];
}

function isCode(code: unknown): code is number {
  return typeof code === "number" && Number.isInteger(code) && code >= 0 && code <= maxCode;
}
