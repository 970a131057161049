/**
 * Remembers which software versions of each service serve or served a short while ago, so that it is known whether a stream can have
 * begun at more than one.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import type { EndpointRecord } from "../types.js";
import { encodeOrigin, getOrigin, type StreamOrigin } from "./streamOrigin.js";
import { type RecordedVersion, VersionPhase } from "./versionRecord.js";

/** Options of the history. */
export interface VersionHistoryOptions {
  readonly clock: Clock;
  /** Returns the milliseconds for which a stream may be taken up after it began; 0 if none may. */
  readonly getRetentionMs: () => number;
}

/** One version of a service. */
interface ServedVersion {
  readonly origin: StreamOrigin;
  /** Endpoints that have a record now. */
  endpoints: number;
  /** Monotonic time at which the last one was gone; undefined while there are any. */
  goneAt: number | undefined;
  /** Whether a record has listed it as one at which streams may begin. */
  mayHaveBegun: boolean;
  /** Whether the record lists it that was read last. */
  isRecorded: boolean;
}

/** A version of a service. */
export interface VersionAge {
  readonly origin: StreamOrigin;
  /** Milliseconds for which it has not served; undefined while it serves. */
  readonly goneMs: number | undefined;
  /** Whether streams may have begun at it, by the record of the service. */
  readonly mayHaveBegun: boolean;
}

/** The versions of all services. */
export class VersionHistory {
  /** By service, then by the code of the origin. */
  private readonly services = new Map<string, Map<number, ServedVersion>>();
  private readonly listeners: ((service: string) => void)[] = [];
  private readonly servingListeners: (() => void)[] = [];

  private readonly startedAt: number;

  private constructor(private readonly options: VersionHistoryOptions) {
    this.startedAt = options.clock.getTime();
  }

  static create(options: VersionHistoryOptions): VersionHistory {
    return new VersionHistory(options);
  }

  /** Calls back when a further version of a service that has one already becomes known. */
  onFurtherVersion(listener: (service: string) => void): void {
    this.listeners.push(listener);
  }

  /** Calls back when a version has begun to serve. */
  onServing(listener: () => void): void {
    this.servingListeners.push(listener);
  }

  /** Returns the milliseconds for which this instance has seen which versions serve. */
  getKnownMs(): number {
    return this.options.clock.getTime() - this.startedAt;
  }

  /** Counts an endpoint whose record was added. */
  addEndpoint(record: EndpointRecord): void {
    const version = this.ensure(getOrigin(record));
    version.endpoints += 1;
    version.goneAt = undefined;
    if (version.endpoints === 1) for (const listener of this.servingListeners) listener();
  }

  /** Counts an endpoint whose record is gone. */
  removeEndpoint(record: EndpointRecord): void {
    const version = this.services.get(record.service)?.get(encodeOrigin(getOrigin(record)));
    if (!version) return;
    version.endpoints -= 1;
    if (version.endpoints === 0) version.goneAt = this.options.clock.getTime();
  }

  /** Applies that a version served until some milliseconds ago, as another instance wrote; false if that is too long ago. */
  applyServed(origin: StreamOrigin, goneMs: number): boolean {
    if (goneMs > this.options.getRetentionMs()) return false;
    const version = this.ensure(origin);
    if (version.endpoints > 0) return true;
    const goneAt = this.options.clock.getTime() - Math.max(0, goneMs);
    version.goneAt = Math.max(version.goneAt ?? -Infinity, goneAt);
    return true;
  }

  /** Forgets that streams may have begun at a version; none of them may still be taken up. */
  forget(origin: StreamOrigin): void {
    const version = this.services.get(origin.service)?.get(encodeOrigin(origin));
    if (version) version.mayHaveBegun = false;
  }

  /**
   * Applies the record of a service. A version that this instance has not seen serving counts as gone since now: what the record's writer
   * knew of the time is not used, because clocks differ.
   */
  applyRecord(service: string, versions: readonly RecordedVersion[]): void {
    for (const version of this.services.get(service)?.values() ?? []) version.isRecorded = false;
    for (const { origin, phase } of versions) {
      const version = this.ensure(origin);
      version.isRecorded = true;
      version.mayHaveBegun ||= phase !== VersionPhase.Joining;
      if (version.endpoints === 0) version.goneAt ??= this.options.clock.getTime();
    }
  }

  /** Returns the versions of a service that serve, may have served while streams began that may still be taken up, or are recorded. */
  list(service: string): readonly VersionAge[] {
    const versions = this.services.get(service);
    if (!versions) return [];
    const time = this.options.clock.getTime();
    const oldestAt = time - this.options.getRetentionMs();
    const listed: VersionAge[] = [];
    for (const [code, { origin, goneAt, mayHaveBegun, isRecorded }] of versions) {
      if (goneAt !== undefined && goneAt < oldestAt && !isRecorded) versions.delete(code);
      else listed.push({ origin, goneMs: goneAt === undefined ? undefined : time - goneAt, mayHaveBegun });
    }
    return listed;
  }

  /** Whether a stream of a service can have begun at more than one version. */
  hasSeveral(service: string): boolean {
    return (this.services.get(service)?.size ?? 0) > 1 && this.list(service).length > 1;
  }

  /** Whether any service has more than one version. */
  get hasMixedServices(): boolean {
    return this.getMixedServices().length > 0;
  }

  /** Names of the services of which more than one version is known. */
  getMixedServices(): readonly string[] {
    return [...this.services.keys()].filter((service) => this.hasSeveral(service));
  }

  /** Returns the origin that a code stands for; undefined if no listed version has it. */
  findByCode(code: number): StreamOrigin | undefined {
    for (const versions of this.services.values()) {
      const version = versions.get(code);
      if (version) return version.origin;
    }
    return undefined;
  }

  private ensure(origin: StreamOrigin): ServedVersion {
    const versions = this.services.get(origin.service) ?? new Map<number, ServedVersion>();
    this.services.set(origin.service, versions);
    const code = encodeOrigin(origin);
    const known = versions.get(code);
    if (known) return known;
    const version: ServedVersion = {
      origin,
      endpoints: 0,
      goneAt: undefined,
      mayHaveBegun: false,
      isRecorded: false,
    };
    versions.set(code, version);
    if (versions.size > 1) for (const listener of this.listeners) listener(origin.service);
    return version;
  }
}
