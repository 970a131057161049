/**
 * The configuration in force and the proof of its age.
 *
 * A watch brings changes at once. Reads, sent one after the other whether or not the last one was answered, prove that
 * nothing newer was acknowledged before they were sent; the proof's age counts from the send, on the monotonic clock,
 * so a process that was frozen finds its proof old before it admits anything. The version in force never falls.
 * @module
 */
import { type Clock, type Closeable, type Logger, waitFor } from "@gladewall/kernel";
import { PrefixFollower } from "./prefixFollower.js";
import { RouteTable } from "./routeTable.js";
import type { PlatformAdapter, StoreItem } from "./types.js";

/** Options of a follower. */
export interface ConfigurationFollowerOptions {
  readonly platform: PlatformAdapter;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Milliseconds between two proving reads. */
  readonly proofIntervalMs: number;
  /** Milliseconds after which a proof counts for nothing. */
  readonly proofLifetimeMs: number;
}

/** Reads that may be under way at once. */
const mostReads = 4;

/** Follows the operators' configuration. */
export class ConfigurationFollower implements Closeable {
  private table: RouteTable | undefined;
  private provenAt: number | undefined;
  private readsUnderWay = 0;
  /** Revision of the newest item that was looked at. */
  private takenRevision = 0;
  private isStoreLost = false;
  private lastTroubleAt = -Infinity;
  private readonly follower: PrefixFollower;
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
    });
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
    return this.provenAt === undefined ? Infinity : this.options.clock.getTime() - this.provenAt;
  }

  /** Whether the configuration is known to be young enough to decide about keys. */
  isProven(): boolean {
    return this.table !== undefined && this.getProofAge() < this.options.proofLifetimeMs;
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
    const { clock, proofIntervalMs } = this.options;
    while (!this.stop.signal.aborted) {
      if (this.readsUnderWay < mostReads) void this.readOnce();
      await waitFor(clock, proofIntervalMs, this.stop.signal);
    }
  }

  private async readOnce(): Promise<void> {
    const { clock, platform } = this.options;
    const sentAt = clock.getTime();
    this.readsUnderWay += 1;
    const item = await platform.store.read(platform.configurationKey);
    this.readsUnderWay -= 1;
    if (this.stop.signal.aborted) return;
    if (item.isErr()) {
      this.setLost(item.error.name);
      return;
    }
    this.setRegained();
    if (!item.value) return;
    this.take(item.value);
    this.provenAt = Math.max(this.provenAt ?? -Infinity, sentAt);
  }

  private take(item: StoreItem): void {
    const { logger, platform } = this.options;
    if (this.takenRevision >= item.revision) return;
    this.takenRevision = item.revision;
    const decoded = platform.decodeConfiguration(item.value);
    if (decoded.isErr()) {
      logger.error("configuration.refused", { revision: item.revision, text: decoded.error.text });
      return;
    }
    if (this.table && decoded.value.version <= this.table.version) return;
    this.table = RouteTable.create(decoded.value);
    const { routes, tenants } = decoded.value;
    logger.info("configuration.in-force", {
      version: decoded.value.version,
      revision: item.revision,
      routes: routes.length,
      tenants: tenants.length,
    });
    for (const listener of this.changeListeners) listener(this.table);
  }

  private setLost(failure: string): void {
    this.lastTroubleAt = this.options.clock.getTime();
    if (this.isStoreLost) return;
    this.isStoreLost = true;
    this.options.logger.warn("store.lost", { failure, proofAgeMs: Math.round(this.getProofAge()) });
  }

  private setRegained(): void {
    if (!this.isStoreLost) return;
    this.isStoreLost = false;
    this.lastTroubleAt = this.options.clock.getTime();
    this.options.logger.info("store.regained", { proofAgeMs: Math.round(this.getProofAge()) });
    this.follower.restart();
    for (const listener of this.regainListeners) listener();
  }
}
