/**
 * Tells keepers where streams began, and calls them to learn it. In a small fleet every instance is a keeper; in a large one a few are,
 * so that what each instance sends does not grow with the fleet. A stream is told of when its first event is forwarded: before that
 * another version may still begin it, and a keeper that missed the correction would know the wrong one.
 * @module
 */
import type { PeerIdentity, PeerLinks, PeerMessage } from "@gladewall/coordination";
import { type Clock, waitFor } from "@gladewall/kernel";
import {
  decodeEntries,
  decodeReply,
  decodeServices,
  encodeEntries,
  hasFlag,
  type JoiningCall,
  type JoiningReply,
  maxEntriesPerMessage,
  type OriginCall,
  type OriginEntriesMessage,
  type OriginEntry,
  OriginMessageKind,
  type OriginReply,
} from "./originMessages.js";
import { OriginSource, type OriginTable } from "./originTable.js";
import { encodeOrigin } from "./streamOrigin.js";
import type { VersionHistory } from "./versionHistory.js";
import type { VersionRecords } from "./versionRecords.js";

/** The fleet as the exchange needs it. */
export interface OriginFleet {
  readonly links: Pick<PeerLinks, "setHandler" | "onLinkUp" | "send" | "call">;
  /** Names of the keepers that are linked. */
  getKeepers(): readonly string[];
  /** Whether all keepers are linked that are listed. */
  readonly hasAllKeepers: boolean;
  /** Number of keepers that are listed, including this instance if it is one. */
  readonly keeperCount: number;
  /** Whether this instance is a keeper. */
  readonly isKeeper: boolean;
  /** Whether every instance is a keeper. */
  readonly isMesh: boolean;
  /** Returns what a linked peer last told of its uptime; undefined if that is long ago. */
  findPeerUptime(name: string): { readonly uptime: number } | undefined;
}

/** Options of the exchange. */
export interface OriginGossipOptions {
  readonly clock: Clock;
  readonly fleet: OriginFleet;
  readonly table: OriginTable;
  readonly history: VersionHistory;
  readonly records: VersionRecords;
  /** Returns the milliseconds for which a stream may be taken up after it began; 0 if none may. */
  readonly getRetentionMs: () => number;
  /** Whether this instance may not know of the latest versions, because it has heard nothing of endpoints for a while. */
  readonly isViewOld: () => boolean;
}

/** What a call to the keepers brought. */
export interface OriginAnswer {
  /** Code of the origin; undefined if no keeper knew it. */
  readonly code: number | undefined;
  /** Codes of the versions at which the stream can have begun, as far as keepers know. */
  readonly begun: ReadonlySet<number>;
  /** Whether a keeper of an earlier build, which names none, knows services of several versions. */
  readonly hasSeveral: boolean;
  /** Whether a keeper knows these versions without a gap. */
  readonly isVouched: boolean;
  /** Whether a keeper that replied has heard of endpoints lately. */
  readonly isFresh: boolean;
  /** Whether most of the keepers have replied; this instance counts as one of them if it is a keeper. */
  readonly isMajority: boolean;
  /** Keepers that were called, and those of them that did not reply. */
  readonly called: number;
  readonly silent: number;
  /** Whether all keepers that are listed were called. */
  readonly hasCalledAll: boolean;
}

/** Longest wait for keepers' replies, which come within some milliseconds without load. */
const replyTimeoutMs = 150;
/** Time within which a keeper has been told of a stream whose first event has reached its caller. */
const lateMs = 25;
/** Time after its start within which an instance waits for its links before it calls, and the longest such wait. */
const linkingMs = 2_000;
const maxLinkWaitMs = 250;
const linkPollMs = 10;

/** Tells and asks where streams began. */
export class OriginGossip {
  private queue: OriginEntry[] = [];
  private readonly startedAt: number;

  private constructor(private readonly options: OriginGossipOptions) {
    const { clock, fleet, table, history } = options;
    this.startedAt = clock.getTime();
    fleet.links.setHandler(OriginMessageKind.Entries, (message) => {
      const { entries } = message as Partial<OriginEntriesMessage>;
      for (const [key, code] of decodeEntries(entries)) table.record(key, code, OriginSource.Told);
    });
    fleet.links.setHandler(OriginMessageKind.Call, (message) => this.replyToCall(message as OriginCall));
    fleet.links.setHandler(OriginMessageKind.Joining, (message) => this.replyToJoining(message));
    fleet.links.onLinkUp((peer) => this.sendToNewKeeper(peer));
    history.onFurtherVersion((service) => this.announceService(service));
  }

  static create(options: OriginGossipOptions): OriginGossip {
    return new OriginGossip(options);
  }

  /** Tells the keepers where a stream of this instance began, in one message with others of the same moment. */
  announce(key: number, code: number): void {
    this.queue.push([key, code]);
    if (this.queue.length === 1) setImmediate(() => this.flush());
  }

  /** Tells the keepers of the streams that began while a service had one version, now that they could go on at another. */
  private announceService(service: string): void {
    const { fleet, table, history } = this.options;
    const codes = new Set(history.list(service).map(({ origin }) => encodeOrigin(origin)));
    const entries = [...table.getOwn()].filter(([, code]) => codes.has(code));
    for (const [key, code] of entries) table.record(key, code, OriginSource.Own);
    for (const keeper of fleet.getKeepers()) this.send(keeper, entries);
  }

  /**
   * Calls all linked keepers; resolves with the first that knows, or once all have replied or their time is over. They are called once
   * more if none knows, because the stream may only just have been told of.
   */
  async callKeepers(key: number, services: readonly string[]): Promise<OriginAnswer> {
    await this.waitForLinks();
    const answer = await this.callKeepersOnce(key, services);
    if (answer.code !== undefined || answer.called === answer.silent) return answer;
    await waitFor(this.options.clock, lateMs);
    return this.callKeepersOnce(key, services);
  }

  private async callKeepersOnce(key: number, services: readonly string[]): Promise<OriginAnswer> {
    const { fleet } = this.options;
    const keepers = fleet.getKeepers();
    const { keeperCount, isKeeper, hasAllKeepers: hasCalledAll } = fleet;
    const message: OriginCall = { kind: OriginMessageKind.Call, key, services };
    const begun = new Set<number>();
    let silent = 0;
    let hasSeveral = false;
    let isVouched = false;
    let isFresh = false;
    const replies = keepers.map(async (keeper) => {
      const reply = await fleet.links.call(keeper, message, replyTimeoutMs);
      if (reply.isErr()) silent += 1;
      const decoded = decodeReply(reply.unwrapOr(undefined));
      for (const code of decoded.begun ?? []) begun.add(code);
      hasSeveral ||= decoded.several === true && decoded.begun === undefined;
      isVouched ||= reply.isOk() && this.isVouching(keeper, decoded);
      isFresh ||= decoded.fresh === true;
      return decoded.code;
    });
    const code = await findFirst(replies);
    const isMajority = 2 * (keepers.length - silent + (isKeeper ? 1 : 0)) > keeperCount;
    const called = keepers.length;
    return { code, begun, hasSeveral, isVouched, isFresh, isMajority, called, silent, hasCalledAll };
  }

  /** Whether a keeper would know of further versions: it says so, or has run for longer than streams may be taken up. */
  private isVouching(keeper: string, { proven, begun }: OriginReply): boolean {
    if (begun !== undefined) return proven === true;
    const { fleet, getRetentionMs } = this.options;
    return (fleet.findPeerUptime(keeper)?.uptime ?? 0) > getRetentionMs();
  }

  /** Resolves with whether all instances list versions of a service, and have told where their streams began; false in a large fleet. */
  async confirmJoining(service: string, codes: readonly number[]): Promise<boolean> {
    const { fleet } = this.options;
    if (!fleet.isMesh || !fleet.hasAllKeepers) return false;
    const message: JoiningCall = { kind: OriginMessageKind.Joining, service, codes };
    const calls = fleet.getKeepers().map((keeper) => fleet.links.call(keeper, message, replyTimeoutMs));
    const replies = await Promise.all(calls);
    return replies.every((reply) => reply.isOk() && hasFlag<JoiningReply>(reply.value, "joining"));
  }

  /** An instance that has just started is linked with its keepers one after the other. */
  private async waitForLinks(): Promise<void> {
    const { clock, fleet } = this.options;
    const endsAt = clock.getTime() + maxLinkWaitMs;
    while (!fleet.hasAllKeepers && clock.getTime() < endsAt && clock.getTime() - this.startedAt < linkingMs)
      await waitFor(clock, linkPollMs);
  }

  private replyToCall({ key, services: named }: OriginCall): OriginReply {
    const { table, history, records } = this.options;
    const known = table.find(key);
    const services = decodeServices(named);
    return {
      ...(known && { code: known.code }),
      ...(history.hasMixedServices && { several: true }),
      begun: services.flatMap((service) => records.listBegun(service).map(encodeOrigin)),
      proven: services.every((service) => records.isProven(service)),
      fresh: !this.options.isViewOld(),
    };
  }

  /** The streams of this instance are told of when it reads of a further version, so that they go before this reply. */
  private replyToJoining(message: PeerMessage): JoiningReply {
    const { service, codes } = message as Partial<Record<keyof JoiningCall, unknown>>;
    const record = typeof service === "string" ? this.options.records.find(service) : undefined;
    const known = new Set<unknown>((record?.versions ?? []).map(({ origin }) => encodeOrigin(origin)));
    return { joining: Array.isArray(codes) && codes.every((code: unknown) => known.has(code)) };
  }

  private flush(): void {
    const entries = this.queue;
    this.queue = [];
    for (const keeper of this.options.fleet.getKeepers()) this.send(keeper, entries);
  }

  /** A keeper that has just started knows nothing of the streams that go on. */
  private sendToNewKeeper({ name }: PeerIdentity): void {
    const { fleet, table, history } = this.options;
    if (history.hasMixedServices && fleet.getKeepers().includes(name)) this.send(name, [...table.getOwn()]);
  }

  private send(keeper: string, entries: readonly OriginEntry[]): void {
    const latest = entries.slice(-maxEntriesPerMessage);
    if (latest.length > 0) this.options.fleet.links.send(keeper, createMessage(latest));
  }
}

function createMessage(entries: readonly OriginEntry[]): OriginEntriesMessage {
  return { kind: OriginMessageKind.Entries, entries: encodeEntries(entries) };
}

/** Resolves with the first value that is not undefined, or with undefined once all have resolved. */
function findFirst<Value>(promises: readonly Promise<Value | undefined>[]): Promise<Value | undefined> {
  return new Promise((resolve) => {
    const settle = (value: Value | undefined): void => {
      if (value !== undefined) resolve(value);
    };
    void Promise.all(promises.map((promise) => promise.then(settle))).then(() => resolve(undefined));
  });
}
