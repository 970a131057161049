/**
 * Shapes shared by the coordination parts, and the interfaces of what stands outside them.
 * @module
 */
import type { Failure } from "@gladewall/kernel";
import type { Result } from "ts-results-es";

/** A value of the key-value service and the revision it was read at. */
export interface StoredValue {
  readonly value: Uint8Array;
  /** Grows with every change of the key; 0 means that the key does not exist. */
  readonly revision: number;
}

/** A lease on a name, as the service granted it. */
export interface GrantedLease {
  /** The service's handle of the lease. */
  readonly session: string;
  /** Grows each time the name changes hands; orders carry it. */
  readonly fence: number;
}

/** Leases on names, as a store gives them. Failures as for `KeyValueService`. */
export interface LeaseService {
  /** Takes the lease on a name for `ttl` milliseconds; undefined where another holds it. */
  acquireLease(name: string, holder: string, ttl: number): Promise<Result<GrantedLease | undefined, Failure>>;
  /** Renews a lease; fails with `LeaseLost` where it has lapsed. */
  renewLease(session: string): Promise<Result<void, Failure>>;
  /** Gives a lease back. */
  releaseLease(session: string): Promise<Result<void, Failure>>;
}

/**
 * The platform's key-value service. Every method is one call on its budget, a waiting watch too.
 *
 * Failures: `ServiceUnavailable` where the call cannot have taken effect, `ServiceAnswerLost` where it may have,
 * `ServiceConflict` where the expected revision was not the present one.
 */
export interface KeyValueService extends LeaseService {
  /** Reads a key; undefined where it does not exist. */
  read(key: string): Promise<Result<StoredValue | undefined, Failure>>;
  /** Writes a key if its revision is still `expected` (0: it does not exist); returns the new revision. */
  compareAndSwap(key: string, value: Uint8Array, expected: number): Promise<Result<number, Failure>>;
  /** Waits until the revision of a key is above `revision`, or `wait` milliseconds pass; returns what it is then. */
  watch(
    key: string,
    revision: number,
    wait: number,
    signal: AbortSignal,
  ): Promise<Result<StoredValue | undefined, Failure>>;
  /** Closes connections. */
  close(): Promise<void>;
}

/** What an instance does. */
export enum InstanceRole {
  Entry = 1,
  Endpoint = 2,
}

/** State of an instance as somebody saw it. Higher numbers are later in its life. */
export enum InstanceState {
  Live = 1,
  Leaving = 2,
  Gone = 3,
}

/** How an instance is paid for. */
export enum PriceClass {
  Reclaimable = 1,
  OnDemand = 2,
}

/** Kind of service that an endpoint gives. */
export enum ServiceKind {
  Model = 1,
  Web = 2,
}

/** One instance as the platform's list describes it. */
export interface InstanceRecord {
  readonly id: string;
  /** Told apart when an address or id is used again; a higher one replaces a lower one. */
  readonly incarnation: number;
  readonly role: InstanceRole;
  /** Service it gives; empty for entries. */
  readonly service: string;
  /** Name of the endpoint plug-in that speaks with it; empty for entries. */
  readonly protocol: string;
  /** `host:port`: for entries the peers' port, for endpoints the service port. */
  readonly address: string;
  readonly hall: string;
  readonly priceClass: PriceClass;
  /** Price of an hour in cents. */
  readonly price: number;
  readonly state: InstanceState;
}

/** A platform's word that an instance will be taken. */
export interface ReclaimNotice {
  readonly instance: string;
  readonly incarnation: number;
  /** Milliseconds left when the notice was read. */
  readonly remaining: number;
}

/** One reading of the list. */
export interface ListReading {
  readonly records: readonly InstanceRecord[];
  /** Nothing changed since the reading before. */
  readonly isUnchanged: boolean;
}

/** The lagging list of instances. */
export interface InstanceList {
  /** Reads the whole list, or that it is unchanged; fails with `ListUnavailable`. */
  read(): Promise<Result<ListReading, Failure>>;
  close(): Promise<void>;
}

/** Notices and their place in the sequence. */
export interface NoticeBatch {
  readonly notices: readonly ReclaimNotice[];
  /** To be passed as `after` of the next call. */
  readonly last: number;
}

/** The cloud's interface as far as notices go. */
export interface NoticeSource {
  /** Waits for notices after a place in the sequence, at most `wait` milliseconds. */
  waitForNotices(after: number, wait: number, signal: AbortSignal): Promise<Result<NoticeBatch, Failure>>;
  close(): Promise<void>;
}
