/**
 * Tells keepers where streams began, and calls them to learn it. In a small fleet every instance is a keeper; in a large one a few are,
 * so that what each instance sends does not grow with the fleet. A stream is told of when its first event is forwarded: before that
 * another version may still begin it, and a keeper that missed the correction would know the wrong one.
 * @module
 */
import type { PeerIdentity, PeerLinks } from "@gladewall/coordination";
import { type Clock, waitFor } from "@gladewall/kernel";
import {
  decodeEntries,
  decodeReply,
  encodeEntries,
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

/** The fleet as the exchange needs it. */
export interface OriginFleet {
  readonly links: Pick<PeerLinks, "setHandler" | "onLinkUp" | "send" | "call">;
  /** Names of the keepers that are linked. */
  getKeepers(): readonly string[];
  /** Whether all keepers are linked that are listed. */
  readonly hasAllKeepers: boolean;
}

/** Options of the exchange. */
export interface OriginGossipOptions {
  readonly clock: Clock;
  readonly fleet: OriginFleet;
  readonly table: OriginTable;
  readonly history: VersionHistory;
}

/** What a call to the keepers brought. */
export interface OriginAnswer {
  /** Code of the origin; undefined if no keeper knew it. */
  readonly code: number | undefined;
  /** Whether a keeper knows services of several versions. */
  readonly hasSeveral: boolean;
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
  async callKeepers(key: number): Promise<OriginAnswer> {
    await this.waitForLinks();
    const answer = await this.callKeepersOnce(key);
    if (answer.code !== undefined || answer.called === answer.silent) return answer;
    await waitFor(this.options.clock, lateMs);
    return this.callKeepersOnce(key);
  }

  private async callKeepersOnce(key: number): Promise<OriginAnswer> {
    const { fleet } = this.options;
    const keepers = fleet.getKeepers();
    const hasCalledAll = fleet.hasAllKeepers;
    const message: OriginCall = { kind: OriginMessageKind.Call, key };
    let silent = 0;
    let hasSeveral = false;
    const replies = keepers.map(async (keeper) => {
      const reply = await fleet.links.call(keeper, message, replyTimeoutMs);
      if (reply.isErr()) silent += 1;
      const { code, several } = decodeReply(reply.unwrapOr(undefined));
      hasSeveral ||= several === true;
      return code;
    });
    const code = await findFirst(replies);
    return { code, hasSeveral, called: keepers.length, silent, hasCalledAll };
  }

  /** An instance that has just started is linked with its keepers one after the other. */
  private async waitForLinks(): Promise<void> {
    const { clock, fleet } = this.options;
    const endsAt = clock.getTime() + maxLinkWaitMs;
    while (!fleet.hasAllKeepers && clock.getTime() < endsAt && clock.getTime() - this.startedAt < linkingMs)
      await waitFor(clock, linkPollMs);
  }

  private replyToCall({ key }: OriginCall): OriginReply {
    const { table, history } = this.options;
    const known = table.find(key);
    return { ...(known && { code: known.code }), ...(history.hasMixedServices && { several: true }) };
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
