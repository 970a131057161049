/**
 * Keeps the list of members in the store: each instance writes a record of itself under a lease and follows the
 * records of the others.
 * @module
 */
import type { PeerAddress } from "@gladewall/coordination";
import { type Clock, type Closeable, FailureCode, type Logger, type Timer, waitFor } from "@gladewall/kernel";
import type { ForwardingPeer } from "../forwarding/forwardingPeers.js";
import { decodeItem } from "../store/itemCodec.js";
import { PrefixFollower, type Removal } from "../store/prefixFollower.js";
import * as v from "valibot";
import type { MetadataStore, StoreItem } from "../types.js";

/** Prefix of the keys of the gateway's own items in the store. */
export const gatewayPrefix = "gladewall/";
const memberPrefix = `${gatewayPrefix}members/`;

/** Options of the records. */
export interface MemberRecordsOptions {
  readonly store: MetadataStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly name: string;
  /** Grows with each start of the instance. */
  readonly incarnation: number;
  /** `host:port` at which peers reach this instance. */
  readonly address: string;
  /** Returns the `host:port` at which this instance passes attempts of peers on; omitted or undefined if it does not. */
  readonly getForwardingAddress?: () => string | undefined;
  /** How much of the work for the whole fleet the instance can do, in any unit that all instances share. */
  readonly capacity: number;
  /** Called after changes; once for changes that arrive together. */
  readonly onChange: () => void;
  /**
   * Called with each of the gateway's other items, and with `undefined` and the kind of removal once an item is
   * gone.
   */
  readonly onItem?: (key: string, item: StoreItem | undefined, removal?: Removal) => void;
  /** Whether an instance is linked; the record of a linked instance is kept even if the store has none. */
  readonly isLinked: (name: string) => boolean;
}

const memberSchema = v.object({
  /** `host:port` at which peers reach the instance. */
  address: v.pipe(v.string(), v.includes(":")),
  incarnation: v.number(),
  capacity: v.optional(v.number()),
  /** `host:port` at which the instance passes attempts on; earlier builds do not. */
  forwarding: v.optional(v.pipe(v.string(), v.includes(":"))),
});

type MemberRecord = v.InferOutput<typeof memberSchema>;

const leaseMs = 6_000;
const renewIntervalMs = 2_000;
/**
 * Instances that start together write their records in less than this time; until all are known, the fleet
 * looks smaller than it is.
 */
const firstWatchPauseMs = 400;
/**
 * A record that is gone from the store is kept this long, because records also disappear when the store fails.
 */
const removalDelayMs = 15_000;

/** The records of all instances, and the lease of this instance's own record. */
export class MemberRecords implements Closeable {
  /** The gateway's other items in the store, in their last known state. */
  readonly items = new Map<string, StoreItem>();
  private readonly records = new Map<string, MemberRecord>();
  readonly follower: PrefixFollower;
  private readonly stop = new AbortController();
  /** Timers after which removed records are dropped. */
  private readonly forgetTimers = new Map<string, Timer>();
  private lease: string | undefined;
  private isChangePending = false;
  /** Time at which an instance was last listed that was not known before. */
  private lastGrowthAt: number;
  private task: Promise<void> = Promise.resolve();

  private constructor(private readonly options: MemberRecordsOptions) {
    const { store, clock, logger } = options;
    this.lastGrowthAt = clock.getTime();
    const listener = {
      handlePut: (item: StoreItem) => this.handlePut(item),
      handleRemoved: (key: string, removal: Removal) => this.handleRemoved(key, removal),
    };
    this.follower = PrefixFollower.create({
      store,
      prefix: gatewayPrefix,
      clock,
      logger,
      listener,
      firstWatchPauseMs,
    });
  }

  static create(options: MemberRecordsOptions): MemberRecords {
    return new MemberRecords(options);
  }

  start(): void {
    this.follower.start();
    this.task = this.maintainRecord();
  }

  /** Names of all listed instances. */
  getNames(): Iterable<string> {
    return this.records.keys();
  }

  /** Number of listed instances, including this one. */
  get size(): number {
    return Math.max(1, this.records.size);
  }

  /** Whether the gateway's own items have been listed at least once. */
  get isListed(): boolean {
    return this.follower.isListed;
  }

  /**
   * Number of listed instances, if it is known. It is not while the list has grown within `stableMs`, nor until the record of this start
   * is listed: a store that takes no records lists no other instance that has just started either, and still has those of former starts.
   */
  findSize(stableMs: number): number | undefined {
    const { name, incarnation } = this.options;
    const isKnown = this.isListed && this.records.get(name)?.incarnation === incarnation;
    return isKnown && this.getTimeSinceGrowth() > stableMs ? this.records.size : undefined;
  }

  getAddresses(): readonly PeerAddress[] {
    return [...this.records].map(([name, { address, incarnation }]) => ({ name, address, incarnation }));
  }

  /** Other instances that pass attempts on. */
  getForwardingPeers(): readonly ForwardingPeer[] {
    const peers: ForwardingPeer[] = [];
    for (const [name, { forwarding: address }] of this.records) {
      if (address !== undefined && name !== this.options.name) peers.push({ name, address });
    }
    return peers;
  }

  /** How much of the work for the whole fleet an instance can do; 0 if it is not known. */
  getCapacity(name: string): number {
    return this.records.get(name)?.capacity ?? 0;
  }

  /** Milliseconds since an instance was listed that was not known before. */
  getTimeSinceGrowth(): number {
    return this.options.clock.getTime() - this.lastGrowthAt;
  }

  /** Lists again; called when the store answers again after a failure. */
  restart(): void {
    this.follower.restart();
  }

  async close(): Promise<void> {
    this.stop.abort();
    for (const timer of this.forgetTimers.values()) timer.cancel();
    if (this.lease !== undefined) await this.options.store.releaseLease(this.lease);
    await Promise.all([this.follower.close(), this.task]);
  }

  private async maintainRecord(): Promise<void> {
    const { clock } = this.options;
    const { signal } = this.stop;
    while (!signal.aborted) {
      await this.maintainRecordOnce();
      await waitFor(clock, renewIntervalMs, signal);
    }
  }

  private async maintainRecordOnce(): Promise<void> {
    if (this.lease === undefined || (await this.isLeaseLost(this.lease))) await this.writeRecord();
  }

  /** Renews a lease; returns true if it has ended and no other lease carries the record of this start. */
  private async isLeaseLost(lease: string): Promise<boolean> {
    const { store } = this.options;
    const renewed = await store.renewLease(lease);
    // Only a definite response ends the lease, because it may have been renewed if the response was lost.
    if (renewed.isOk() || renewed.error.code !== FailureCode.LeaseLost) return false;
    // A store that was restored from a snapshot may still have the record and its lease. A read costs the store
    // less than two writes.
    this.lease = await this.findOwnLease();
    if (this.lease === undefined) return true;
    await store.renewLease(this.lease);
    return false;
  }

  /** Reads the lease of the record that this start wrote; undefined if there is none. */
  private async findOwnLease(): Promise<string | undefined> {
    const { store, name, incarnation } = this.options;
    const reading = await store.read(`${memberPrefix}${name}`);
    if (reading.isErr() || !reading.value.item) return undefined;
    const { value, lease } = reading.value.item;
    const record = decodeItem(memberSchema, value);
    return record?.incarnation === incarnation ? lease : undefined;
  }

  private async writeRecord(): Promise<void> {
    const { store, logger, name, address, incarnation, capacity, getForwardingAddress } = this.options;
    this.lease = undefined;
    const granted = await store.grantLease(leaseMs);
    if (granted.isErr()) return;
    const lease = granted.value;
    const record: MemberRecord = { address, incarnation, capacity, forwarding: getForwardingAddress?.() };
    const value = Buffer.from(JSON.stringify(record));
    const put = [{ key: `${memberPrefix}${name}`, value, lease }];
    const written = await store.transact({ expected: [], put, remove: [] });
    if (written.isErr()) return;
    this.lease = lease;
    logger.info("member.recorded", { era: written.value.era, revision: written.value.revision });
  }

  private handlePut(item: StoreItem): void {
    if (!item.key.startsWith(memberPrefix)) {
      this.items.set(item.key, item);
      this.options.onItem?.(item.key, item);
      return;
    }
    const record = decodeItem(memberSchema, item.value);
    if (!record) {
      this.options.logger.warn("member.refused", { key: item.key, bytes: item.value.length });
      return;
    }
    const name = item.key.slice(memberPrefix.length);
    if (!this.records.has(name)) this.lastGrowthAt = this.options.clock.getTime();
    this.records.set(name, record);
    this.scheduleChange();
  }

  /**
   * Reports once that the list has changed, after all changes that arrived together are applied. If each record
   * of a listing were reported, a large fleet would look small for a moment, and every instance would open
   * links to all instances known until then.
   */
  private scheduleChange(): void {
    if (this.isChangePending) return;
    this.isChangePending = true;
    queueMicrotask(() => {
      this.isChangePending = false;
      if (!this.stop.signal.aborted) this.options.onChange();
    });
  }

  private handleRemoved(key: string, removal: Removal): void {
    this.items.delete(key);
    if (!key.startsWith(memberPrefix)) {
      this.options.onItem?.(key, undefined, removal);
      return;
    }
    const name = key.slice(memberPrefix.length);
    const record = this.records.get(name);
    this.forgetTimers.get(name)?.cancel();
    const timer = this.options.clock.startTimer(removalDelayMs, () => {
      if (this.records.get(name) !== record || this.options.isLinked(name)) return;
      this.records.delete(name);
      this.scheduleChange();
    });
    this.forgetTimers.set(name, timer);
  }
}
