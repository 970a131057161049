/**
 * Follows the operators' configuration and keeps a freshness proof for the version in force.
 *
 * A watch delivers changes immediately. A freshness proof is a store read that shows that no newer
 * configuration had been acknowledged when the read was sent. Reads are sent at a fixed interval, whether or
 * not the previous one was answered, and the age of the proof counts from the time at which the read was sent.
 * That age includes the time for which the machine was suspended, so that a process which stood still finds its
 * proof expired before it admits anything.
 *
 * After a restore of the store, reads prove nothing until the lost writes have been written again.
 * @module
 */
import { type Clock, type Closeable, type Logger, waitFor } from "@gladewall/kernel";
import type { EraSettling } from "../store/eraSettling.js";
import { PrefixFollower } from "../store/prefixFollower.js";
import {
  type ConfigurationProof,
  ConfigurationInForce,
  type HeldConfiguration,
  isNewerThan,
} from "./configurationInForce.js";
import type { RouteTable } from "./routeTable.js";
import { type EraChange, isRestore, isSamePosition, initialEra } from "../store/storeEras.js";
import type { PlatformAdapter } from "../types.js";

/** How an instance obtains the content of the platform's store. */
export enum StoreRole {
  /** It reads the store for itself. */
  Direct = 1,
  /** It reads the store on behalf of the fleet and feeds the other instances. */
  Reader = 2,
  /** A reader feeds it. */
  ViaReader = 3,
}

/** Options of a follower. */
export interface ConfigurationFollowerOptions {
  readonly platform: PlatformAdapter;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Interval of the proving reads of an instance that reads for itself, in milliseconds. */
  readonly proofIntervalMs: number;
  /**
   * The same interval for a reader, in milliseconds. Other instances rely on a reader's proofs, which therefore
   * have to be recent.
   */
  readonly readerIntervalMs: number;
  /** Age at which a proof expires, in milliseconds. */
  readonly proofLifetimeMs: number;
  /**
   * Time after the start, in milliseconds, in which only the proving reads fetch the configuration and no watch
   * is opened.
   */
  readonly firstWatchPauseMs?: number;
  /** Requests the configuration proofs of some peers; `held` is what this instance has. */
  readonly requestProofs: (held: HeldConfiguration) => Promise<readonly ConfigurationProof[]>;
  readonly settling: EraSettling;
}

/** Maximum number of concurrent reads. */
const maxConcurrentReads = 4;
/** Interval at which the age of the proof is checked while a reader feeds this instance. */
const viaReaderIntervalMs = 500;
/** Share of a proof's lifetime after which the proofs of peers are requested. */
const requestProofsAgeShare = 0.45;
/** The longest time, from the start of an era, to wait for operators to write a lost version again. */
const maxRewriteWaitMs = 5_000;

/** Keeps the configuration in force up to date and proves how fresh it is. */
export class ConfigurationFollower implements Closeable {
  private readonly inForce: ConfigurationInForce;
  /** Boot time at which the read was sent that the current proof is based on. */
  private proofSentAt: number | undefined;
  private pendingReads = 0;
  /** Era for which it was last logged that reads prove nothing. */
  private withheldEra: number | undefined;
  private isRequestingProofs = false;
  private isLost = false;
  private role = StoreRole.Direct;
  /** Boot time at which the last read was sent to which the store responded. */
  private answeredReadSentAt = -Infinity;
  private lastTroubleAt = -Infinity;
  private readonly follower: PrefixFollower;
  /** Monotonic time until which no watch is opened, because a reader may still begin to feed this instance. */
  private readonly watchesFrom: number;
  private readonly stop = new AbortController();
  private readonly regainListeners: (() => void)[] = [];
  private task: Promise<void> = Promise.resolve();

  private constructor(private readonly options: ConfigurationFollowerOptions) {
    const { platform, clock, logger } = options;
    this.inForce = ConfigurationInForce.create(platform, logger);
    this.follower = PrefixFollower.create({
      store: platform.store,
      prefix: platform.configurationKey,
      clock,
      logger,
      listener: {
        handlePut: (item) => void this.inForce.examine(item, platform.store.eras.current),
        handleRemoved: () => undefined,
      },
      isListingNeeded: false,
    });
    platform.store.eras.onEraChange((change) => this.handleEraChange(change));
    options.settling.onSettled(() => void this.tryRead());
    this.watchesFrom = clock.getTime() + (options.firstWatchPauseMs ?? 0);
    this.updateFollowing();
  }

  static create(options: ConfigurationFollowerOptions): ConfigurationFollower {
    return new ConfigurationFollower(options);
  }

  start(): void {
    this.follower.start();
    this.task = this.runProofLoop();
  }

  /** Returns the configuration in force; undefined before the first. */
  getTable(): RouteTable | undefined {
    return this.inForce.table;
  }

  /**
   * Age of the freshness proof in milliseconds, counted from the sending of the read; infinite without a proof.
   */
  getProofAge(): number {
    return this.proofSentAt === undefined ? Infinity : this.options.clock.getBootTime() - this.proofSentAt;
  }

  /** Whether the proof is fresh enough to authorize requests with the configuration in force. */
  hasFreshProof(): boolean {
    return this.inForce.table !== undefined && this.getProofAge() < this.options.proofLifetimeMs;
  }

  /** Whether the last read of this instance failed. */
  get isStoreLost(): boolean {
    return this.isLost;
  }

  /** Returns the configuration that this instance has, for peers that may have a newer one. */
  getHeld(): HeldConfiguration {
    return { revision: this.inForce.taken?.position.revision ?? 0, version: this.inForce.table?.version };
  }

  /** Milliseconds since this instance sent the last read to which the store responded; infinite before the first. */
  getStoreAge(): number {
    return this.options.clock.getBootTime() - this.answeredReadSentAt;
  }

  /**
   * Sets how this instance obtains the store's content. An instance that a reader feeds sends reads only while
   * its proof is old.
   */
  setRole(role: StoreRole): void {
    const hasLostFeed = this.isViaReader && role !== StoreRole.ViaReader;
    this.role = role;
    this.updateFollowing();
    if (hasLostFeed) void this.tryRead();
  }

  private updateFollowing(): void {
    const mayBeFedSoon = this.options.clock.getTime() < this.watchesFrom;
    this.follower.setPassive(this.isViaReader || this.isLost || mayBeFedSoon);
  }

  private get isViaReader(): boolean {
    return this.role === StoreRole.ViaReader;
  }

  /** Milliseconds since a call to the store last failed. */
  getTimeSinceTrouble(): number {
    return this.options.clock.getTime() - this.lastTroubleAt;
  }

  onChange(listener: (table: RouteTable) => void): void {
    this.inForce.onChange(listener);
  }

  /** Registers a listener that is called when the store responds again after a failure. */
  onRegained(listener: () => void): void {
    this.regainListeners.push(listener);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await Promise.all([this.follower.close(), this.task]);
  }

  private async runProofLoop(): Promise<void> {
    const { clock, proofLifetimeMs } = this.options;
    while (!this.stop.signal.aborted) {
      this.updateFollowing();
      const isOld = this.getProofAge() > proofLifetimeMs * requestProofsAgeShare;
      if (isOld || !this.isViaReader) void this.tryRead();
      if (isOld) void this.requestProofs();
      await waitFor(clock, this.getInterval(), this.stop.signal);
    }
  }

  private getInterval(): number {
    const { proofIntervalMs, readerIntervalMs } = this.options;
    const intervals: Readonly<Record<StoreRole, number>> = {
      [StoreRole.Direct]: proofIntervalMs,
      [StoreRole.Reader]: readerIntervalMs,
      [StoreRole.ViaReader]: viaReaderIntervalMs,
    };
    return intervals[this.role];
  }

  /**
   * Reads the configuration, unless so many reads are pending that another one would only add load to a slow
   * store.
   */
  private async tryRead(): Promise<void> {
    if (this.pendingReads >= maxConcurrentReads) return;
    const { clock, platform } = this.options;
    const sentAt = clock.getBootTime();
    this.pendingReads += 1;
    const reading = await platform.store.read(platform.configurationKey);
    this.pendingReads -= 1;
    if (this.stop.signal.aborted) return;
    if (reading.isErr()) {
      this.handleReadFailure(reading.error.name);
      return;
    }
    this.answeredReadSentAt = Math.max(this.answeredReadSentAt, sentAt);
    this.handleReadSuccess();
    const { item, era } = reading.value;
    if (!item) return;
    const version = this.inForce.examine(item, era);
    if (this.isCompleteRead(version, sentAt))
      this.proofSentAt = Math.max(this.proofSentAt ?? -Infinity, sentAt);
  }

  /**
   * Whether a read that returned a version proves that nothing newer than the version in force had been
   * acknowledged before it was sent.
   */
  private isCompleteRead(version: number | undefined, sentAt: number): boolean {
    const { settling, platform, logger } = this.options;
    const { current: era } = platform.store.eras;
    const inForce = this.inForce.table?.version;
    const isLacking = version !== undefined && inForce !== undefined && version < inForce;
    // Within one era, a version older than the one in force comes from a response that another response has
    // overtaken.
    const isAwaited = isLacking && settling.ageMs < maxRewriteWaitMs;
    const isComplete = settling.isReadComplete(sentAt) && !isAwaited;
    if (!isComplete && this.withheldEra !== era) {
      this.withheldEra = era;
      const cause = isAwaited ? "not written again yet" : "operators may be writing again";
      const proofAgeMs = Math.round(this.getProofAge());
      logger.info("configuration.proof-withheld", { era, cause, version, inForce, proofAgeMs });
    }
    return isComplete;
  }

  /**
   * Creates this instance's proof for a peer that has the given configuration; undefined if this instance has
   * no fresh proof itself. A newer configuration is included if it has at most `maxBytes` bytes.
   */
  createProof(held: HeldConfiguration, maxBytes = Infinity): ConfigurationProof | undefined {
    const { taken } = this.inForce;
    if (!taken || !this.hasFreshProof()) return undefined;
    const { item, position, version } = taken;
    const isNewer = isNewerThan(taken, held);
    const value = isNewer && item.value.length <= maxBytes ? item.value : undefined;
    return {
      proofAgeMs: this.getProofAge(),
      ...position,
      ...(version === undefined ? {} : { version }),
      value,
    };
  }

  /**
   * Requests the proofs of peers, in case the store refuses this instance but serves others. The age of a peer's
   * proof counts back from the time at which the request was sent, not from the arrival of the reply, so that no
   * proof appears younger than it is, however long the reply took.
   */
  private async requestProofs(): Promise<void> {
    if (this.isRequestingProofs) return;
    this.isRequestingProofs = true;
    const calledAt = this.options.clock.getBootTime();
    const proofs = await this.options.requestProofs(this.getHeld());
    this.isRequestingProofs = false;
    if (this.stop.signal.aborted) return;
    for (const proof of proofs) this.applyProof(proof, calledAt);
  }

  /** Applies a peer's proof that was requested at a boot time. */
  applyProof(proof: ConfigurationProof, calledAt: number): void {
    const { logger, platform } = this.options;
    const { proofAgeMs, revision, era = initialEra, value } = proof;
    platform.store.eras.advanceTo(era);
    if (value) this.inForce.examine({ key: platform.configurationKey, revision, value }, era);
    const { table } = this.inForce;
    if (!table || !this.isProofComparable(proof)) return;
    if (this.isBehind(proof)) {
      // The peer has a newer configuration that is too large to be included in its reply.
      void this.tryRead();
      return;
    }
    const provenAt = calledAt - proofAgeMs;
    if (provenAt <= (this.proofSentAt ?? -Infinity)) return;
    this.proofSentAt = provenAt;
    logger.debug("configuration.vouched", {
      version: table.version,
      revision,
      era,
      proofAgeMs: Math.round(this.getProofAge()),
    });
  }

  /**
   * Whether the peer's proof identifies the configuration that it holds for. A proof of an earlier build, which
   * has no version, does so in the initial era only.
   */
  private isProofComparable({ version }: ConfigurationProof): boolean {
    return version !== undefined || this.options.platform.store.eras.current === initialEra;
  }

  private isBehind({ version, era = initialEra, revision }: ConfigurationProof): boolean {
    const { taken, table } = this.inForce;
    if (taken && isSamePosition(taken.position, { era, revision })) return false;
    if (version !== undefined) return version > (table?.version ?? -Infinity);
    return revision > (taken?.position.revision ?? 0);
  }

  /**
   * Handles a restore of the store: reads of the new era do not yet prove what was lost with the previous one,
   * and revisions of the two eras are not comparable.
   */
  private handleEraChange(change: EraChange): void {
    if (!isRestore(change)) return;
    this.lastTroubleAt = this.options.clock.getTime();
    this.follower.restart();
    if (!this.isViaReader) void this.tryRead();
  }

  private handleReadFailure(failure: string): void {
    this.lastTroubleAt = this.options.clock.getTime();
    if (this.isLost) return;
    this.isLost = true;
    this.options.logger.warn("store.lost", { failure, proofAgeMs: Math.round(this.getProofAge()) });
  }

  private handleReadSuccess(): void {
    if (!this.isLost) return;
    this.isLost = false;
    this.lastTroubleAt = this.options.clock.getTime();
    this.options.logger.info("store.regained", { proofAgeMs: Math.round(this.getProofAge()) });
    this.follower.restart();
    for (const listener of this.regainListeners) listener();
  }
}
