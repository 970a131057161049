/**
 * Types shared by the modules of this package, and the interfaces of the external systems that they use.
 * @module
 */
import type { Failure } from "@gladewall/kernel";
import type { Result } from "ts-results-es";

/** A value of the key-value service and its revision. */
export interface StoredValue {
  readonly value: Uint8Array;
  /** Grows with every change of the key. A revision of 0 means that the key does not exist. */
  readonly revision: number;
}

/** A lease on a name, as granted by the service. */
export interface GrantedLease {
  /** Handle of the lease at the service. */
  readonly session: string;
  /** Fencing token: grows with each change of holder, and is sent with every command. */
  readonly fence: number;
}

/** Leases on names. Fails in the same ways as `KeyValueService`. */
export interface LeaseService {
  /** Acquires the lease on a name for `ttl` milliseconds; undefined if another holder has it. */
  acquireLease(name: string, holder: string, ttl: number): Promise<Result<GrantedLease | undefined, Failure>>;
  /** Renews a lease; fails with `LeaseLost` if it has expired. */
  renewLease(session: string): Promise<Result<void, Failure>>;
  /** Releases a lease. */
  releaseLease(session: string): Promise<Result<void, Failure>>;
}

/**
 * The platform's key-value service. Every method counts as one call against the service's rate limit, including a watch
 * that waits.
 *
 * Fails with `ServiceUnavailable` if the call cannot have taken effect, `ServiceAnswerLost` if it may have, and
 * `ServiceConflict` if the expected revision was not the current one.
 */
export interface KeyValueService extends LeaseService {
  /** Reads a key; undefined if it does not exist. */
  read(key: string): Promise<Result<StoredValue | undefined, Failure>>;
  /** Writes a key if its revision is still `expected` (0: the key does not exist); returns the new revision. */
  compareAndSwap(key: string, value: Uint8Array, expected: number): Promise<Result<number, Failure>>;
  /**
   * Waits until the revision of a key is above `revision`, at most `wait` milliseconds; returns the value of
   * that time.
   */
  watch(
    key: string,
    revision: number,
    wait: number,
    signal: AbortSignal,
  ): Promise<Result<StoredValue | undefined, Failure>>;
  /** Closes the connections to the service. */
  close(): Promise<void>;
}

/** Role of an instance. */
export enum InstanceRole {
  Entry = 1,
  Endpoint = 2,
}

/** State of an instance. An instance only moves to higher numbers. */
export enum InstanceState {
  Live = 1,
  Leaving = 2,
  Gone = 3,
}

/** Pricing model of an instance. */
export enum PriceClass {
  Reclaimable = 1,
  OnDemand = 2,
}

/** Kind of service that an endpoint provides. */
export enum ServiceKind {
  Model = 1,
  Web = 2,
}

/** One instance as described by the platform's list. */
export interface InstanceRecord {
  readonly id: string;
  /** Distinguishes instances that reuse an address or id; a higher incarnation replaces a lower one. */
  readonly incarnation: number;
  readonly role: InstanceRole;
  /** Service that the instance provides; empty for entries. */
  readonly service: string;
  /** Name of the endpoint plug-in that implements its protocol; empty for entries. */
  readonly protocol: string;
  /** `host:port`: the port for peers of an entry, or the service port of an endpoint. */
  readonly address: string;
  readonly hall: string;
  readonly priceClass: PriceClass;
  /** Price in cents per hour. */
  readonly price: number;
  readonly state: InstanceState;
}

/** Notice from the platform that it will reclaim an instance. */
export interface ReclaimNotice {
  readonly instance: string;
  readonly incarnation: number;
  /** Milliseconds until the reclaim, counted from when the notice was read. */
  readonly remaining: number;
}

/** Result of reading the list. */
export interface ListReading {
  readonly records: readonly InstanceRecord[];
  /** True if nothing changed since the previous read. */
  readonly isUnchanged: boolean;
}

/** The platform's list of instances, which lags behind the actual state. */
export interface InstanceList {
  /** Reads the complete list, or learns that it is unchanged; fails with `ListUnavailable`. */
  read(): Promise<Result<ListReading, Failure>>;
  close(): Promise<void>;
}

/** Notices and the sequence number of the last one. */
export interface NoticeBatch {
  readonly notices: readonly ReclaimNotice[];
  /** Sequence number to pass as `after` to the next call. */
  readonly last: number;
}

/** Source of reclaim notices. */
export interface NoticeSource {
  /** Waits for notices after a sequence number, at most `wait` milliseconds. */
  waitForNotices(after: number, wait: number, signal: AbortSignal): Promise<Result<NoticeBatch, Failure>>;
  close(): Promise<void>;
}
