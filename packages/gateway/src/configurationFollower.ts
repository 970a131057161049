/**
 * The configuration in force and the proof of its age.
 *
 * A watch brings changes at once. Reads, sent one after the other whether or not the last one was answered, prove that
 * nothing newer was acknowledged before they were sent; the proof's age counts from the send, and a suspension is part of it,
 * so a process that stood still finds its proof old before it admits anything. The version in force never falls, and its own
 * number orders configurations: the store's revisions go back with a store that comes back from a copy, and its reads prove
 * nothing until what was lost is written again.
 * @module
 */
import { type Clock, type Closeable, type Logger, waitFor } from "@gladewall/kernel";
import type { EraSettling } from "./eraSettling.js";
import { PrefixFollower } from "./prefixFollower.js";
import { RouteTable } from "./routeTable.js";
import { type EraChange, isRestore, isSamePosition, type StorePosition, initialEra } from "./storeEras.js";
import type { PlatformAdapter, ServingConfiguration, StoreItem } from "./types.js";

/** A peer's word on the configuration. */
export interface ConfigurationProof {
  /** Age of the peer's own proof, milliseconds, when it answered. */
  readonly proofAgeMs: number;
  /** Revision of the newest configuration that the peer has. */
  readonly revision: number;
  /** Era of that revision, and the configuration's version; earlier builds leave both out. */
  readonly era?: number;
  readonly version?: number;
  /** That configuration as stored; left out where the asker has it, and where it is large: it is read then. */
  readonly value?: Uint8Array | undefined;
}

/** What an instance holds, for one that may know a newer configuration. */
export interface HeldConfiguration {
  /** Revision of the newest configuration; 0 before the first. */
  readonly revision: number;
  /** Its version; earlier builds leave it out. */
  readonly version?: number | undefined;
}

/** How an instance comes by what the store holds. */
export enum StoreRole {
  /** It asks for itself. */
  Direct = 1,
  /** It asks for others, too. */
  Reader = 2,
  /** Others tell it. */
  ViaReader = 3,
}

/** Options of a follower. */
export interface ConfigurationFollowerOptions {
  readonly platform: PlatformAdapter;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Milliseconds between two proving reads of an instance that asks for itself. */
  readonly proofIntervalMs: number;
  /** The same of a reader: others go by its proofs, which have to be young. */
  readonly readerIntervalMs: number;
  /** Milliseconds after which a proof counts for nothing. */
  readonly proofLifetimeMs: number;
  /** Time after the start in which the proving reads alone are to bring the configuration; milliseconds. */
  readonly firstWatchPauseMs?: number;
  /** Asks some peers for their word, given what is held here. */
  readonly askPeers: (held: HeldConfiguration) => Promise<readonly ConfigurationProof[]>;
  readonly settling: EraSettling;
}

/** A configuration that was looked at. */
interface ExaminedConfiguration {
  readonly item: StoreItem;
  readonly position: StorePosition;
  /** Undefined where it can't be read. */
  readonly version: number | undefined;
}

/** Reads that may be under way at once. */
const maxConcurrentReads = 4;
/** Time between two looks at the age of the proof while others tell it. */
const viaReaderIntervalMs = 500;
/** Share of a proof's lifetime after which peers are asked for theirs. */
const askPeersAgeShare = 0.45;
/** A version that operators have not written again after this time of an era is not waited for any longer. */
const maxRewriteWaitMs = 5_000;

/** Follows the operators' configuration. */
export class ConfigurationFollower implements Closeable {
  private table: RouteTable | undefined;
  /** Boot time at which the read was sent that the proof rests on. */
  private proofSentAt: number | undefined;
  private pendingReads = 0;
  /** Newest configuration that was put in force or refused, for peers that ask. */
  private taken: ExaminedConfiguration | undefined;
  /** Last one that was looked at, whatever became of it. */
  private lastExamined: ExaminedConfiguration | undefined;
  /** Era in which a read was last said to prove nothing. */
  private withheldEra: number | undefined;
  private isAskingPeers = false;
  private isLost = false;
  private role = StoreRole.Direct;
  /** Boot time at which the last read was sent that the store answered. */
  private answeredReadSentAt = -Infinity;
  private lastTroubleAt = -Infinity;
  private readonly follower: PrefixFollower;
  /** Until then, an instance that is no reader may yet be told the configuration, and does not watch it. */
  private readonly watchesFrom: number;
  private readonly stop = new AbortController();
  private readonly changeListeners: ((table: RouteTable) => void)[] = [];
  private readonly regainListeners: (() => void)[] = [];
  private task: Promise<void> = Promise.resolve();

  private constructor(private readonly options: ConfigurationFollowerOptions) {
    const { platform, clock, logger } = options;
    this.follower = PrefixFollower.create({
      store: platform.store,
      prefix: platform.configurationKey,
      clock,
      logger,
      listener: {
        handlePut: (item) => void this.examine(item, platform.store.eras.current),
        handleRemoved: () => undefined,
      },
      isListingNeeded: false,
    });
    platform.store.eras.onEraChange((rise) => this.handleEraChange(rise));
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
    return this.table;
  }

  /** Milliseconds since the proof of the configuration was asked for; infinite without one. */
  getProofAge(): number {
    return this.proofSentAt === undefined ? Infinity : this.options.clock.getBootTime() - this.proofSentAt;
  }

  /** Whether the configuration is known to be young enough to decide about keys. */
  hasFreshProof(): boolean {
    return this.table !== undefined && this.getProofAge() < this.options.proofLifetimeMs;
  }

  /** Whether the store did not answer this instance's last read. */
  get isStoreLost(): boolean {
    return this.isLost;
  }

  /** What is held here, for those who may know more. */
  getHeld(): HeldConfiguration {
    return { revision: this.taken?.position.revision ?? 0, version: this.table?.version };
  }

  /** Milliseconds since a read was sent that the store answered to this instance itself; infinite before the first. */
  getStoreAge(): number {
    return this.options.clock.getBootTime() - this.answeredReadSentAt;
  }

  /** Says how this instance comes by what the store holds; one that is fed reads only where its proof grows old. */
  setRole(role: StoreRole): void {
    const hasLost = this.isViaReader && role !== StoreRole.ViaReader;
    this.role = role;
    this.updateFollowing();
    if (hasLost) void this.tryRead();
  }

  private updateFollowing(): void {
    const mayBeFed = this.options.clock.getTime() < this.watchesFrom;
    this.follower.setPassive(this.isViaReader || this.isLost || mayBeFed);
  }

  private get isViaReader(): boolean {
    return this.role === StoreRole.ViaReader;
  }

  /** Milliseconds since a call on the store last failed. */
  getTimeSinceTrouble(): number {
    return this.options.clock.getTime() - this.lastTroubleAt;
  }

  onChange(listener: (table: RouteTable) => void): void {
    this.changeListeners.push(listener);
  }

  /** Calls back when the store answers again after it did not. */
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
      const isOld = this.getProofAge() > proofLifetimeMs * askPeersAgeShare;
      if (isOld || !this.isViaReader) void this.tryRead();
      if (isOld) void this.askPeers();
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

  /** Reads the configuration, unless so many reads are under way that one more would only load a slow store. */
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
    const version = this.examine(item, era);
    if (this.isCompleteRead(version, sentAt))
      this.proofSentAt = Math.max(this.proofSentAt ?? -Infinity, sentAt);
  }

  /** Whether a read that showed a version proves that nothing newer than what is in force was acknowledged before. */
  private isCompleteRead(version: number | undefined, sentAt: number): boolean {
    const { settling, platform, logger } = this.options;
    const { current: era } = platform.store.eras;
    const inForce = this.table?.version;
    const isLacking = version !== undefined && inForce !== undefined && version < inForce;
    // In one era, an older version than the one in force is an answer that was passed by another.
    const isAwaited = isLacking && settling.ageMs < maxRewriteWaitMs;
    const isWhole = settling.isReadComplete(sentAt) && !isAwaited;
    if (!isWhole && this.withheldEra !== era) {
      this.withheldEra = era;
      const cause = isAwaited ? "not written again yet" : "operators may be writing again";
      const proofAgeMs = Math.round(this.getProofAge());
      logger.info("configuration.proof-withheld", { era, cause, version, inForce, proofAgeMs });
    }
    return isWhole;
  }

  /**
   * This instance's word for a peer that holds a configuration; undefined where it has no proof itself. A newer
   * configuration goes with it if it has no more bytes than are given.
   */
  createProof(held: HeldConfiguration, mostBytes = Infinity): ConfigurationProof | undefined {
    if (!this.taken || !this.hasFreshProof()) return undefined;
    const { item, position, version } = this.taken;
    const isNewer = isNewerThan(this.taken, held);
    const value = isNewer && item.value.length <= mostBytes ? item.value : undefined;
    return {
      proofAgeMs: this.getProofAge(),
      ...position,
      ...(version === undefined ? {} : { version }),
      value,
    };
  }

  /**
   * Asks peers, for when the store turns this instance away and serves others. A peer that answers with a proof so old
   * has had it since before that time ahead of the question, whatever the way of the answer took.
   */
  private async askPeers(): Promise<void> {
    if (this.isAskingPeers) return;
    this.isAskingPeers = true;
    const askedAt = this.options.clock.getBootTime();
    const vouches = await this.options.askPeers(this.getHeld());
    this.isAskingPeers = false;
    if (this.stop.signal.aborted) return;
    for (const vouch of vouches) this.applyProof(vouch, askedAt);
  }

  /** Takes a peer's word that was asked for at a boot time. */
  applyProof(vouch: ConfigurationProof, askedAt: number): void {
    const { logger, platform } = this.options;
    const { proofAgeMs, revision, era = initialEra, value } = vouch;
    platform.store.eras.advanceTo(era);
    if (value) this.examine({ key: platform.configurationKey, revision, value }, era);
    if (!this.table || !this.isProofComparable(vouch)) return;
    if (this.isBehind(vouch)) {
      // There is a newer configuration, too large to be passed on.
      void this.tryRead();
      return;
    }
    const provenAt = askedAt - proofAgeMs;
    if (provenAt <= (this.proofSentAt ?? -Infinity)) return;
    this.proofSentAt = provenAt;
    logger.debug("configuration.vouched", {
      version: this.table.version,
      revision,
      era,
      proofAgeMs: Math.round(this.getProofAge()),
    });
  }

  /** Whether a peer's word says which configuration it proves: of an earlier build it does so in the first era only. */
  private isProofComparable({ version }: ConfigurationProof): boolean {
    return version !== undefined || this.options.platform.store.eras.current === initialEra;
  }

  private isBehind({ version, era = initialEra, revision }: ConfigurationProof): boolean {
    const { taken: taken, table } = this;
    if (taken && isSamePosition(taken.position, { era, revision })) return false;
    if (version !== undefined) return version > (table?.version ?? -Infinity);
    return revision > (taken?.position.revision ?? 0);
  }

  /** Takes a configuration that was read in an era; returns its version, undefined where it can't be read. */
  private examine(item: StoreItem, era: number): number | undefined {
    const position = { era, revision: item.revision };
    if (this.lastExamined && Buffer.compare(this.lastExamined.item.value, item.value) === 0) {
      return this.updatePosition(this.lastExamined, item, position);
    }
    const decoded = this.options.platform.decodeConfiguration(item.value);
    const version = decoded.isOk() ? decoded.value.version : undefined;
    const inForce = this.table?.version ?? -Infinity;
    this.lastExamined = { item, position, version };
    if (version !== undefined && version < inForce) {
      this.logSkipped(this.lastExamined);
      return version;
    }
    this.taken = this.lastExamined;
    if (decoded.isErr()) {
      this.options.logger.error("configuration.refused", { ...position, text: decoded.error.text });
    } else if (decoded.value.version > inForce) {
      this.putInForce(decoded.value, position);
    }
    return version;
  }

  /** Takes note that a configuration that was looked at stands at another place now. */
  private updatePosition(
    seen: ExaminedConfiguration,
    item: StoreItem,
    position: StorePosition,
  ): number | undefined {
    const moved = { item, position, version: seen.version };
    if (this.taken === seen) this.taken = moved;
    this.lastExamined = moved;
    return moved.version;
  }

  private logSkipped({ version, position }: ExaminedConfiguration): void {
    const inForce = this.table?.version;
    const text = "a newer one is in force";
    this.options.logger.info("configuration.passed-over", { version, ...position, inForce, text });
  }

  private putInForce(configuration: ServingConfiguration, position: StorePosition): void {
    this.table = RouteTable.create(configuration);
    const { version, routes, workspaces } = configuration;
    this.options.logger.info("configuration.in-force", {
      version,
      ...position,
      routes: routes.length,
      workspaces: workspaces.length,
    });
    for (const listener of this.changeListeners) listener(this.table);
  }

  /** What was lost with the era before is not proven by reads of this one yet, and its revisions are no order any more. */
  private handleEraChange(rise: EraChange): void {
    if (!isRestore(rise)) return;
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

/** Earlier builds say what they hold by its revision only. */
function isNewerThan({ position, version }: ExaminedConfiguration, held: HeldConfiguration): boolean {
  if (held.version === undefined || version === undefined) return position.revision > held.revision;
  return version > held.version;
}
