/**
 * The nodes of the fleet: each records itself in the store under a lease, follows the others' records, links to them,
 * and tells them several times a second what it counted and what work it has at backends.
 * @module
 */
import { type PeerAddress, type PeerIdentity, PeerLinks, type PeerMessage } from "@gladewall/coordination";
import { type Clock, type Closeable, type Logger, waitFor } from "@gladewall/kernel";
import type { PeerWork } from "./backend.js";
import { PrefixFollower } from "./prefixFollower.js";
import type { CounterReport, SharedCounters } from "./sharedCounters.js";
import type { TrueTime } from "./trueTime.js";
import type { MetadataStore, StoreItem } from "./types.js";
import type { UsageCounts, WindowCounts } from "./usageCounts.js";

/** Keys of the gateway's own items in the store. */
export const ownPrefix = "gladewall/";
const memberPrefix = `${ownPrefix}members/`;

/** Numbers of the messages between members; the links keep the lower ones. */
enum MemberMessageKind {
  Report = 32,
}

interface ReportMessage extends PeerMessage {
  readonly kind: MemberMessageKind.Report;
  /** Time of day as the sender counts it. */
  readonly time: number;
  readonly counters: CounterReport;
  readonly usage: WindowCounts;
  /** Active requests and pending prompt tokens by backend. */
  readonly work: Readonly<Record<string, readonly [active: number, pendingTokens: number]>>;
}

/** Options of the members. */
export interface MembersOptions {
  readonly store: MetadataStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly name: string;
  /** Grows with each life of the node. */
  readonly incarnation: number;
  /** `host:port` that peers reach this node at. */
  readonly address: string;
  readonly secret: string;
  readonly reportIntervalMs: number;
  readonly counters: SharedCounters;
  readonly usage: UsageCounts;
  readonly time: TrueTime;
  /** Returns the number of the usage window that is open now. */
  readonly getWindow: () => number;
  /** Returns this node's work by backend. */
  readonly getWork: () => ReadonlyMap<string, PeerWork>;
}

interface MemberRecord {
  readonly address: string;
  readonly incarnation: number;
}

interface PeerView {
  work: ReportMessage["work"];
  heardAt: number;
  timeDifference: number;
}

const memberLeaseMs = 6_000;
const renewIntervalMs = 2_000;
/** A vanished record is kept this long: records also vanish when the store is in trouble. */
const vanishedMs = 15_000;
/** Reports older than this say nothing of a peer's work. */
const reportLifetimeMs = 1_000;
/** A node that is cut off from the store serves no longer than this. */
const silentMs = 6_000;
const toldWindows = 4;
const pingIntervalMs = 1_000;
const lostAfterMs = 2_500;
const handshakeTimeoutMs = 1_000;
const outboxBytes = 262_144;
const standingLinks = 24;

/** All members of the fleet. */
export class Members implements Closeable {
  readonly links: PeerLinks;
  /** The gateway's own items of the store, as last heard of. */
  readonly items = new Map<string, StoreItem>();
  private readonly records = new Map<string, MemberRecord>();
  private readonly views = new Map<string, PeerView>();
  /** Peers whose link was lost by silence, and until when they may still be serving. */
  private readonly silentUntil = new Map<string, number>();
  private readonly follower: PrefixFollower;
  private readonly stop = new AbortController();
  private lease: string | undefined;
  private tasks: readonly Promise<void>[] = [];

  private constructor(private readonly options: MembersOptions) {
    const { store, clock, logger, name, incarnation, secret } = options;
    this.links = PeerLinks.create({
      own: { name, incarnation },
      secret,
      clock,
      logger,
      listen: options.address,
      handshakeTimeout: handshakeTimeoutMs,
      outboxBytes,
      pingInterval: pingIntervalMs,
      lostAfter: lostAfterMs,
      standingLinks,
      getRandom: Math.random,
      getPing: () => ({}),
    });
    this.links.setHandler(MemberMessageKind.Report, (message, peer) =>
      this.takeReport(message as ReportMessage, peer),
    );
    this.links.onUp((peer) => logger.info("peer.linked", { peer: peer.name }));
    this.links.onDown((peer) => {
      logger.info("peer.lost", { peer: peer.name });
      this.handleDown(peer.name);
    });
    const listener = {
      handlePut: (item: StoreItem) => this.handlePut(item),
      handleRemoved: (key: string) => this.handleRemoved(key),
    };
    this.follower = PrefixFollower.create({ store, prefix: ownPrefix, clock, logger, listener });
  }

  static create(options: MembersOptions): Members {
    return new Members(options);
  }

  /** Opens the peers' port and starts to follow. */
  async open(): Promise<void> {
    await this.links.open();
    this.follower.start();
    this.tasks = [this.keepRecord(), this.tell()];
  }

  /** Nodes that are listed, this one included. */
  getFleetSize(): number {
    return Math.max(1, this.records.size);
  }

  /**
   * Share of the fleet whose counts are known, this node's included: all but the nodes that may be serving unheard.
   * A peer whose connection was closed has ended; one that fell silent may only be cut off.
   */
  getKnownShare(): number {
    const fleet = this.getFleetSize();
    const time = this.options.clock.getTime();
    let silent = 0;
    for (const name of this.records.keys()) {
      if (name !== this.options.name && this.isSilent(name, time)) silent += 1;
    }
    return Math.max(1, fleet - silent) / fleet;
  }

  private isSilent(name: string, time: number): boolean {
    if ((this.silentUntil.get(name) ?? -Infinity) > time) return true;
    const heardAt = this.views.get(name)?.heardAt;
    if (heardAt === undefined) return false;
    return this.links.isLinked(name) && time - heardAt > reportLifetimeMs;
  }

  private handleDown(name: string): void {
    const time = this.options.clock.getTime();
    const heardAt = this.views.get(name)?.heardAt;
    // A peer that never reported has served nothing that this node could have missed by its silence.
    if (heardAt === undefined || time - heardAt <= reportLifetimeMs) return;
    this.silentUntil.set(name, time + silentMs);
  }

  /** Other nodes' work at a backend, as they told it a moment ago. */
  getPeerWork(backend: string): PeerWork {
    let active = 0;
    let pendingTokens = 0;
    for (const { work } of this.getHeard()) {
      const told = work[backend];
      if (!told) continue;
      active += told[0];
      pendingTokens += told[1];
    }
    return { active, pendingTokens };
  }

  /** Lists anew; for when the store comes back. */
  restart(): void {
    this.follower.restart();
  }

  /** Whether the gateway's own items have ever been read. */
  get isListed(): boolean {
    return this.follower.isListed;
  }

  async close(): Promise<void> {
    this.stop.abort();
    if (this.lease !== undefined) await this.options.store.releaseLease(this.lease);
    await Promise.all([this.follower.close(), this.links.close(), ...this.tasks]);
  }

  private getHeard(): readonly PeerView[] {
    const limit = this.options.clock.getTime() - reportLifetimeMs;
    return [...this.views.values()].filter((view) => view.heardAt >= limit);
  }

  private async keepRecord(): Promise<void> {
    const { clock } = this.options;
    const { signal } = this.stop;
    while (!signal.aborted) {
      await this.keepRecordOnce();
      await waitFor(clock, renewIntervalMs, signal);
    }
  }

  private async keepRecordOnce(): Promise<void> {
    const { store, name, address, incarnation } = this.options;
    if (this.lease !== undefined) {
      const renewed = await store.renewLease(this.lease);
      // Only a clear word ends the lease; it may have been renewed where the answer was lost.
      if (renewed.isOk() || renewed.error.name !== "LeaseLost") return;
      this.lease = undefined;
    }
    const granted = await store.grantLease(memberLeaseMs);
    if (granted.isErr()) return;
    const lease = granted.value;
    const value = Buffer.from(JSON.stringify({ address, incarnation } satisfies MemberRecord));
    const put = [{ key: `${memberPrefix}${name}`, value, lease }];
    const written = await store.transact({ expected: [], put, remove: [] });
    if (written.isOk()) this.lease = lease;
  }

  private async tell(): Promise<void> {
    const { clock, reportIntervalMs } = this.options;
    const { signal } = this.stop;
    while (!signal.aborted) {
      await waitFor(clock, reportIntervalMs, signal);
      this.options.time.adjust(this.getHeard().map((view) => view.timeDifference));
      this.links.broadcast(this.createReport());
    }
  }

  private createReport(): ReportMessage {
    const { counters, usage, time, getWindow, getWork } = this.options;
    const work: Record<string, [number, number]> = {};
    for (const [backend, { active, pendingTokens }] of getWork()) {
      if (active > 0 || pendingTokens > 0) work[backend] = [active, Math.round(pendingTokens)];
    }
    return {
      kind: MemberMessageKind.Report,
      time: time.get(),
      counters: counters.createReport(),
      usage: usage.getOwn(getWindow(), toldWindows),
      work,
    };
  }

  private takeReport(message: ReportMessage, peer: PeerIdentity): void {
    const { counters, usage, time, clock } = this.options;
    const life = `${peer.name}/${peer.incarnation}`;
    counters.takeReport(peer.name, life, message.counters);
    usage.takePeer(life, message.usage);
    this.silentUntil.delete(peer.name);
    const timeDifference = message.time - time.get();
    this.views.set(peer.name, { work: message.work, heardAt: clock.getTime(), timeDifference });
  }

  private handlePut(item: StoreItem): void {
    if (!item.key.startsWith(memberPrefix)) {
      this.items.set(item.key, item);
      return;
    }
    const record = JSON.parse(Buffer.from(item.value).toString("utf8")) as MemberRecord;
    this.records.set(item.key.slice(memberPrefix.length), record);
    this.setPeers();
  }

  private handleRemoved(key: string): void {
    this.items.delete(key);
    if (!key.startsWith(memberPrefix)) return;
    const name = key.slice(memberPrefix.length);
    const record = this.records.get(name);
    this.options.clock.startTimer(vanishedMs, () => {
      if (this.records.get(name) !== record || this.links.isLinked(name)) return;
      this.records.delete(name);
      this.setPeers();
    });
  }

  private setPeers(): void {
    const addresses: PeerAddress[] = [];
    for (const [name, { address, incarnation }] of this.records)
      addresses.push({ name, address, incarnation });
    this.links.setPeers(addresses);
  }
}
