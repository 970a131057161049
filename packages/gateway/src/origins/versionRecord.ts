/**
 * The record of the versions of one service: an item of the platform's store that lists each version at which a stream that may still be
 * taken up can have begun. A version is listed before the first stream begins at it, also if it is the only one.
 * @module
 */
import * as v from "valibot";
import { gatewayPrefix } from "../fleet/memberRecords.js";
import { decodeItem } from "../store/itemCodec.js";
import { isSameOrigin, type StreamOrigin } from "./streamOrigin.js";

/** What may happen at a version. The values are written to the store. */
export enum VersionPhase {
  /** Announced: no stream may have begun at it, and none may begin. */
  Joining = "joining",
  /** Streams may begin at it. */
  Open = "open",
  /** It has not served for as long as streams may be taken up; none may begin until all instances know that it is to be removed. */
  Closing = "closing",
}

/**
 * Milliseconds after which an instance that has heard nothing of the store, or did not run, may have missed a change. A change of phase takes
 * effect after as long: by then each instance has read it, or counts what it knows as old.
 */
export const maxViewAgeMs = 1_500;

/** A version of a record. */
export interface RecordedVersion {
  readonly origin: StreamOrigin;
  readonly phase: VersionPhase;
  /** Serial of the record in which it came into this phase: a phase that is left and entered again is told apart by it. */
  readonly since: number;
  /**
   * Milliseconds after its begin for which any stream of the version may be taken up, by the longest limit since the version opened; 0
   * before, and where an earlier build wrote the record.
   */
  readonly retentionMs: number;
}

/** The versions of one service. */
export interface VersionRecord {
  readonly service: string;
  /** Grows with each write. */
  readonly serial: number;
  /** Era of the store in which it was written; a store that is restored may have lost a later one. */
  readonly era: number;
  /** Whether its writer knew that the list has no gap: no stream that may still be taken up began at a version that it lacks. */
  readonly isProven: boolean;
  /** Names of the routes that lead to the service, or did while streams began that may still be taken up; none where an earlier build wrote it. */
  readonly routes: readonly string[];
  readonly versions: readonly RecordedVersion[];
}

/** Prefix of the records' keys. Earlier builds ignore it. */
export const versionRecordPrefix = `${gatewayPrefix}stream-versions/`;

const recordSchema = v.object({
  service: v.string(),
  serial: v.number(),
  era: v.number(),
  proven: v.boolean(),
  /** Left out by earlier builds. */
  routes: v.optional(v.array(v.string())),
  versions: v.array(
    v.object({
      /** Left out for endpoints that state no version. */
      version: v.optional(v.string()),
      phase: v.enum(VersionPhase),
      since: v.number(),
      /** Left out by earlier builds. */
      retentionMs: v.optional(v.pipe(v.number(), v.minValue(0))),
    }),
  ),
});

type RecordItem = v.InferOutput<typeof recordSchema>;

/** Returns the key of a service's record. */
export function createRecordKey(service: string): string {
  return versionRecordPrefix + encodeURIComponent(service);
}

export function encodeVersionRecord({
  service,
  serial,
  era,
  isProven,
  routes,
  versions,
}: VersionRecord): Buffer {
  const item: RecordItem = {
    service,
    serial,
    era,
    proven: isProven,
    routes: [...routes],
    versions: versions.map(({ origin: { softwareVersion }, phase, since, retentionMs }) => ({
      ...(softwareVersion !== undefined && { version: softwareVersion }),
      phase,
      since,
      retentionMs,
    })),
  };
  return Buffer.from(JSON.stringify(item));
}

/** Decodes a record; undefined if it is malformed. */
export function decodeVersionRecord(value: Uint8Array): VersionRecord | undefined {
  const item = decodeItem(recordSchema, value);
  if (!item) return undefined;
  const { service, serial, era, proven: isProven, routes = [] } = item;
  const versions = item.versions.map(({ version: softwareVersion, phase, since, retentionMs = 0 }) => ({
    origin: { service, softwareVersion },
    phase,
    since,
    retentionMs,
  }));
  return { service, serial, era, isProven, routes, versions };
}

/** Returns a version of a record; undefined if the record doesn't list it. */
export function findVersion(
  record: VersionRecord | undefined,
  origin: StreamOrigin,
): RecordedVersion | undefined {
  return record?.versions.find((version) => isSameOrigin(version.origin, origin));
}

/** Returns the phase of a version; undefined if the record doesn't list it. */
export function findPhase(record: VersionRecord | undefined, origin: StreamOrigin): VersionPhase | undefined {
  return findVersion(record, origin)?.phase;
}

/** Whether two records say the same, apart from their serials. */
export function isSameRecord(one: VersionRecord, other: VersionRecord): boolean {
  const isAlike = one.era === other.era && one.isProven === other.isProven;
  return (
    isAlike &&
    one.routes.join() === other.routes.join() &&
    one.versions.length === other.versions.length &&
    one.versions.every(({ origin, phase, retentionMs }) => {
      const version = findVersion(other, origin);
      return version?.phase === phase && version.retentionMs === retentionMs;
    })
  );
}

/** Formats the versions of a record for logs. */
export function formatVersions(record: VersionRecord | undefined): string {
  return (record?.versions ?? [])
    .map(
      ({ origin: { softwareVersion = "" }, phase, retentionMs }) =>
        `${softwareVersion}:${phase}:${Math.round(retentionMs)}`,
    )
    .join();
}
