/**
 * Follows the records of the versions of all services, and tells at which versions streams may begin, at which ones those can have begun
 * that are taken up, and whether that is known without a gap.
 * @module
 */
import { type Clock, type Logger, waitWhile } from "@gladewall/kernel";
import type { MetadataStore, StoreItem } from "../types.js";
import type { OpenVersions, StreamOrigin } from "./streamOrigin.js";
import type { StreamRetention } from "./streamRetention.js";
import type { VersionHistory } from "./versionHistory.js";
import {
  createRecordKey,
  decodeVersionRecord,
  findPhase,
  findVersion,
  formatVersions,
  maxViewAgeMs,
  VersionPhase,
  type VersionRecord,
  versionRecordPrefix,
} from "./versionRecord.js";

/** Options of the records. */
export interface VersionRecordsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly history: VersionHistory;
  readonly eras: Pick<MetadataStore["eras"], "current">;
  /** Whether the whole system starts for the first time, so that no stream began before. */
  readonly isFirstStart: boolean;
  /** Whether this instance has listed the endpoints and the gateway's own items. */
  readonly isListed: () => boolean;
  /** Whether this instance has heard nothing of endpoints for a while. */
  readonly isViewOld: () => boolean;
  readonly retention: StreamRetention;
}

/** Who vouches for a list of versions having no gap. Members are written to logs. */
export enum VersionVoucher {
  Nobody = 1,
  /** No instance served before. */
  FirstStart = 2,
  /** The record in the store. */
  Record = 3,
  /** This instance has followed the records for longer than streams may be taken up. */
  Uptime = 4,
}

/** A record as it was read. */
interface ReadRecord {
  /** Undefined if it can't be decoded. */
  readonly record: VersionRecord | undefined;
  readonly revision: number;
}

/** Longest time for which a stream waits until this instance has listed the store, or a version that serves has opened; pause between two looks. */
const maxWaitMs = 2_000;
const pollMs = 10;

/** The records by service. */
export class VersionRecords implements OpenVersions {
  /** By key. */
  private readonly records = new Map<string, ReadRecord>();
  /** Services of which a record that is without a gap has been read. */
  private readonly proven = new Set<string>();
  /** Monotonic time since which this instance has followed the records; undefined before. */
  private listedAt: number | undefined;
  private readonly listeners: (() => void)[] = [];
  private isFirstStart: boolean;
  /** Boot time at which this instance was last seen to run, and the era of the store then. */
  private ranAt = -Infinity;
  private era: number;
  /** Whether this instance has stood still, and has heard nothing of the store since. */
  private hasStalled = false;

  private constructor(private readonly options: VersionRecordsOptions) {
    this.isFirstStart = options.isFirstStart;
    this.era = options.eras.current;
  }

  static create(options: VersionRecordsOptions): VersionRecords {
    return new VersionRecords(options);
  }

  /** Calls back when a record has been read. */
  onRead(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Notes since when this instance follows the records, and returns whether it does; called several times a second. */
  noteListed(): boolean {
    this.noteRunning();
    const isListed = this.options.isListed();
    if (isListed) this.listedAt ??= this.options.clock.getTime();
    return isListed;
  }

  /** Handles an item that was written or removed; ignores keys outside the prefix of the records. */
  handleItem(key: string, item: StoreItem | undefined): void {
    if (!key.startsWith(versionRecordPrefix)) return;
    if (item) this.read(key, item);
    else this.remove(key);
    for (const listener of this.listeners) listener();
  }

  /** Returns the record of a service as last read; undefined if there is none or it can't be decoded. */
  find(service: string): VersionRecord | undefined {
    return this.records.get(createRecordKey(service))?.record;
  }

  /** Returns the records of all services, as last read. */
  list(): readonly VersionRecord[] {
    return [...this.records.values()].flatMap(({ record }) => record ?? []);
  }

  /** Returns the revision of a service's record; 0 if there is none. */
  getRevision(service: string): number {
    return this.records.get(createRecordKey(service))?.revision ?? 0;
  }

  mayBegin(origin: StreamOrigin): boolean {
    const version = findVersion(this.find(origin.service), origin);
    return version?.phase === VersionPhase.Open && this.options.retention.mayBegin(version.retentionMs);
  }

  /** Returns the versions of a service at which a stream that is taken up can have begun, as far as this instance knows. */
  listBegun(service: string): readonly StreamOrigin[] {
    if (!this.options.isListed()) return [];
    const hasRecord = this.find(service) !== undefined;
    const listed = this.options.history.list(service);
    // Earlier builds begin streams without a record.
    return listed.filter(({ mayHaveBegun }) => mayHaveBegun || !hasRecord).map(({ origin }) => origin);
  }

  /** Returns who vouches for the versions of a service being known without a gap. */
  findVoucher(service: string): VersionVoucher {
    const { clock, eras, retention } = this.options;
    this.noteRunning();
    if (this.proven.has(service)) return VersionVoucher.Record;
    const record = this.find(service);
    // Settings that still say so after a restart vouch for nothing once the store has been restored.
    if (this.isFirstStart && (record === undefined || record.era === eras.current))
      return VersionVoucher.FirstStart;
    const followedMs = this.listedAt === undefined ? 0 : clock.getTime() - this.listedAt;
    const retentionMs = retention.getMs();
    return retentionMs > 0 && followedMs > retentionMs ? VersionVoucher.Uptime : VersionVoucher.Nobody;
  }

  /** Whether the versions of a service are known without a gap. */
  isProven(service: string): boolean {
    return this.findVoucher(service) !== VersionVoucher.Nobody;
  }

  /** Whether a stream that began at one of some services can have begun at more than one version, as far as this instance knows. */
  mayDiffer(services: readonly string[]): boolean {
    const versions = services.flatMap((service) => this.options.history.list(service));
    return versions.length > 1 || !services.every((service) => this.isProven(service));
  }

  /** Waits, for a while at most, until this instance has listed what an instance that has just started doesn't know. */
  waitUntilListed(): Promise<void> {
    return this.waitWhile(() => !this.options.isListed());
  }

  /** Waits, for a while at most, until a stream may begin at a version of a service, if one serves at which none may yet. */
  waitUntilOpen(service: string): Promise<void> {
    return this.waitWhile(() => this.isOpening(service));
  }

  /**
   * Notes that this instance runs. If the store was restored while it stood still, it vouches for nothing: the store may have lost a record
   * that this instance has never read.
   */
  private noteRunning(): void {
    const { clock, eras, isViewOld } = this.options;
    const time = clock.getBootTime();
    this.hasStalled = this.listedAt !== undefined && (this.hasStalled || time - this.ranAt > maxViewAgeMs);
    this.ranAt = time;
    if (eras.current === this.era) {
      this.hasStalled &&= isViewOld();
      return;
    }
    this.era = eras.current;
    if (!this.hasStalled) return;
    this.proven.clear();
    this.isFirstStart = false;
    this.listedAt = clock.getTime();
  }

  private waitWhile(isPending: () => boolean): Promise<void> {
    const { clock } = this.options;
    return waitWhile(clock, isPending, { endsAt: clock.getTime() + maxWaitMs, pollMs });
  }

  /** Whether versions of a service serve, and streams may begin at none of them. */
  private isOpening(service: string): boolean {
    const serving = this.options.history.list(service).filter(({ goneMs }) => goneMs === undefined);
    return serving.length > 0 && !serving.some(({ origin }) => this.mayBegin(origin));
  }

  private remove(key: string): void {
    const service = this.records.get(key)?.record?.service;
    this.records.delete(key);
    if (service === undefined) return;
    this.options.retention.noteRecorded(service, 0);
    this.options.history.applyRecord(service, []);
  }

  private read(key: string, { value, revision }: StoreItem): void {
    const { logger, history, eras } = this.options;
    const decoded = decodeVersionRecord(value);
    const record = decoded && createRecordKey(decoded.service) === key ? decoded : undefined;
    const previous = this.records.get(key)?.record;
    this.records.set(key, { record, revision });
    if (!record) return logger.warn("versions.record-refused", { key, bytes: value.length });
    const { service, era, isProven, versions } = record;
    this.options.retention.noteRecorded(service, Math.max(0, ...versions.map((one) => one.retentionMs)));
    if (isProven && era === eras.current) this.proven.add(service);
    // In one era a version that was closing is removed on purpose.
    if (previous?.era === era)
      for (const { origin, phase } of previous.versions)
        if (phase === VersionPhase.Closing && !findPhase(record, origin)) history.forget(origin);
    history.applyRecord(service, versions);
    const voucher = VersionVoucher[this.findVoucher(service)];
    logger.info("versions.record-read", {
      service,
      era,
      isProven,
      voucher,
      routes: record.routes.join(),
      versions: formatVersions(record),
    });
  }
}
