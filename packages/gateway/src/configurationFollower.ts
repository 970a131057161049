/**
 * The configuration in force and the proof of its age.
 *
 * A watch brings changes at once. Reads, sent one after the other whether or not the last one was answered, prove that
 * nothing newer was acknowledged before they were sent; the proof's age counts from the send, and a suspension is part of it,
 * so a process that stood still finds its proof old before it admits anything. The version in force never falls.
 * @module
 */
import { type Clock, type Closeable, type Logger, waitFor } from "@gladewall/kernel";
import { PrefixFollower } from "./prefixFollower.js";
import { RouteTable } from "./routeTable.js";
import type { PlatformAdapter, StoreItem } from "./types.js";

/** A peer's word on the configuration. */
export interface Vouch {
  /** Age of the peer's own proof, milliseconds, when it answered. */
  readonly proofAgeMs: number;
  /** Revision of the newest configuration that the peer has. */
  readonly revision: number;
  /** That configuration as stored; left out where the asker has it, and where it is large: it is read then. */
  readonly value?: Uint8Array | undefined;
}

/** How an instance comes by what the store holds. */
export enum StoreRole {
  /** It asks for itself. */
  Alone = 1,
  /** It asks for others, too. */
  Reader = 2,
  /** Others tell it. */
  Fed = 3,
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
  /** Asks some peers for their word, given the revision that is held here. */
  readonly askPeers: (revision: number) => Promise<readonly Vouch[]>;
}

/** Reads that may be under way at once. */
const mostReads = 4;
/** Time between two looks at the age of the proof while others tell it. */
const fedIntervalMs = 500;
/** Share of a proof's lifetime after which peers are asked for theirs. */
const askPeersShare = 0.45;

/** Follows the operators' configuration. */
export class ConfigurationFollower implements Closeable {
  private table: RouteTable | undefined;
  /** Boot time at which the read was sent that the proof rests on. */
  private provenAt: number | undefined;
  private readsUnderWay = 0;
  /** Revision of the newest item that was looked at. */
  private takenRevision = 0;
  /** Newest item that was put in force or refused, for peers that ask. */
  private takenItem: StoreItem | undefined;
  private isAskingPeers = false;
  private isLost = false;
  private role = StoreRole.Alone;
  /** Boot time at which the last read was sent that the store answered. */
  private storeReadAt = -Infinity;
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
      listener: { handlePut: (item) => this.take(item), handleRemoved: () => undefined },
      isListingNeeded: false,
    });
    this.watchesFrom = clock.getTime() + (options.firstWatchPauseMs ?? 0);
    this.setFollowing();
  }

  static create(options: ConfigurationFollowerOptions): ConfigurationFollower {
    return new ConfigurationFollower(options);
  }

  start(): void {
    this.follower.start();
    this.task = this.prove();
  }

  /** Returns the configuration in force; undefined before the first. */
  getTable(): RouteTable | undefined {
    return this.table;
  }

  /** Milliseconds since the proof of the configuration was asked for; infinite without one. */
  getProofAge(): number {
    return this.provenAt === undefined ? Infinity : this.options.clock.getBootTime() - this.provenAt;
  }

  /** Whether the configuration is known to be young enough to decide about keys. */
  isProven(): boolean {
    return this.table !== undefined && this.getProofAge() < this.options.proofLifetimeMs;
  }

  /** Whether the store did not answer this instance's last read. */
  get isStoreLost(): boolean {
    return this.isLost;
  }

  /** Revision of the newest configuration that was looked at; 0 before the first. */
  getRevision(): number {
    return this.takenRevision;
  }

  /** Milliseconds since a read was sent that the store answered to this instance itself; infinite before the first. */
  getStoreAge(): number {
    return this.options.clock.getBootTime() - this.storeReadAt;
  }

  /** Says how this instance comes by what the store holds; one that is fed reads only where its proof grows old. */
  setRole(role: StoreRole): void {
    const hasLost = this.isFed && role !== StoreRole.Fed;
    this.role = role;
    this.setFollowing();
    if (hasLost) void this.tryRead();
  }

  private setFollowing(): void {
    const mayBeFed = this.options.clock.getTime() < this.watchesFrom;
    this.follower.setPassive(this.isFed || this.isLost || mayBeFed);
  }

  private get isFed(): boolean {
    return this.role === StoreRole.Fed;
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

  private async prove(): Promise<void> {
    const { clock, proofLifetimeMs } = this.options;
    while (!this.stop.signal.aborted) {
      this.setFollowing();
      const isOld = this.getProofAge() > proofLifetimeMs * askPeersShare;
      if (isOld || !this.isFed) void this.tryRead();
      if (isOld) void this.askPeers();
      await waitFor(clock, this.getInterval(), this.stop.signal);
    }
  }

  private getInterval(): number {
    const { proofIntervalMs, readerIntervalMs } = this.options;
    const intervals: Readonly<Record<StoreRole, number>> = {
      [StoreRole.Alone]: proofIntervalMs,
      [StoreRole.Reader]: readerIntervalMs,
      [StoreRole.Fed]: fedIntervalMs,
    };
    return intervals[this.role];
  }

  /** Reads the configuration, unless so many reads are under way that one more would only load a slow store. */
  private async tryRead(): Promise<void> {
    if (this.readsUnderWay >= mostReads) return;
    const { clock, platform } = this.options;
    const sentAt = clock.getBootTime();
    this.readsUnderWay += 1;
    const item = await platform.store.read(platform.configurationKey);
    this.readsUnderWay -= 1;
    if (this.stop.signal.aborted) return;
    if (item.isErr()) {
      this.setLost(item.error.name);
      return;
    }
    this.storeReadAt = Math.max(this.storeReadAt, sentAt);
    this.setRegained();
    if (!item.value) return;
    this.take(item.value);
    this.provenAt = Math.max(this.provenAt ?? -Infinity, sentAt);
  }

  /**
   * This instance's word for a peer that holds a revision; undefined where it has no proof itself. A newer
   * configuration goes with it if it has no more bytes than are given.
   */
  vouch(heldRevision: number, mostBytes = Infinity): Vouch | undefined {
    const item = this.takenItem;
    if (!item || !this.isProven()) return undefined;
    const isPassed = item.revision > heldRevision && item.value.length <= mostBytes;
    const value = isPassed ? item.value : undefined;
    return { proofAgeMs: this.getProofAge(), revision: item.revision, value };
  }

  /**
   * Asks peers, for when the store turns this instance away and serves others. A peer that answers with a proof so old
   * has had it since before that time ahead of the question, whatever the way of the answer took.
   */
  private async askPeers(): Promise<void> {
    if (this.isAskingPeers) return;
    this.isAskingPeers = true;
    const askedAt = this.options.clock.getBootTime();
    const vouches = await this.options.askPeers(this.takenRevision);
    this.isAskingPeers = false;
    if (this.stop.signal.aborted) return;
    for (const vouch of vouches) this.takeVouch(vouch, askedAt);
  }

  /** Takes a peer's word that was asked for at a boot time. */
  takeVouch({ proofAgeMs, revision, value }: Vouch, askedAt: number): void {
    if (value) this.take({ key: this.options.platform.configurationKey, revision, value });
    if (this.takenRevision < revision) {
      // There is a newer configuration, too large to be passed on.
      void this.tryRead();
      return;
    }
    if (!this.table) return;
    const provenAt = askedAt - proofAgeMs;
    if (provenAt <= (this.provenAt ?? -Infinity)) return;
    this.provenAt = provenAt;
    this.options.logger.debug("configuration.vouched", {
      version: this.table.version,
      revision,
      proofAgeMs: Math.round(this.getProofAge()),
    });
  }

  private take(item: StoreItem): void {
    const { logger, platform } = this.options;
    if (this.takenRevision >= item.revision) return;
    this.takenRevision = item.revision;
    this.takenItem = item;
    const decoded = platform.decodeConfiguration(item.value);
    if (decoded.isErr()) {
      logger.error("configuration.refused", { revision: item.revision, text: decoded.error.text });
      return;
    }
    if (this.table && decoded.value.version <= this.table.version) return;
    this.table = RouteTable.create(decoded.value);
    const { routes, workspaces } = decoded.value;
    logger.info("configuration.in-force", {
      version: decoded.value.version,
      revision: item.revision,
      routes: routes.length,
      workspaces: workspaces.length,
    });
    for (const listener of this.changeListeners) listener(this.table);
  }

  private setLost(failure: string): void {
    this.lastTroubleAt = this.options.clock.getTime();
    if (this.isLost) return;
    this.isLost = true;
    this.options.logger.warn("store.lost", { failure, proofAgeMs: Math.round(this.getProofAge()) });
  }

  private setRegained(): void {
    if (!this.isLost) return;
    this.isLost = false;
    this.lastTroubleAt = this.options.clock.getTime();
    this.options.logger.info("store.regained", { proofAgeMs: Math.round(this.getProofAge()) });
    this.follower.restart();
    for (const listener of this.regainListeners) listener();
  }
}
