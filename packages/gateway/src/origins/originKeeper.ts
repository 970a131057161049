/**
 * Has the store keep where streams began before their first event is forwarded, so that it is known whatever ends: an instance calls the
 * one that writes the archive, with all streams of the same moment.
 * @module
 */
import type { PeerLinks, PeerMessage } from "@gladewall/coordination";
import { type Clock, type Logger, waitFor } from "@gladewall/kernel";
import type { OriginArchive } from "./originArchive.js";
import {
  decodeEntries,
  encodeEntries,
  hasFlag,
  type KeepCall,
  type KeepReply,
  type OriginEntry,
  OriginMessageKind,
} from "./originMessages.js";
import { OriginSource, type OriginTable } from "./originTable.js";

/** Options of the keeper. */
export interface OriginKeeperOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: Pick<PeerLinks, "setHandler" | "call">;
  readonly table: OriginTable;
  readonly archive: Pick<OriginArchive, "keep">;
  readonly ownName: string;
  /** Name of the instance that writes the archive; undefined if none is available. */
  readonly findWriter: () => string | undefined;
}

/** Longest time for which a first event is held. Without load a write takes some 30 ms. */
const maxHoldMs = 250;
/** Longest wait for the writer's reply. */
const replyTimeoutMs = 120;
/** Time after a failure in which no first event is held, and in which a writer that did not reply is not called. */
const backoffMs = 1_000;

/** Has entries kept. */
export class OriginKeeper {
  private entries: OriginEntry[] = [];
  private batch: Promise<void> | undefined;
  private failedAt = -Infinity;
  private silentAt = -Infinity;

  private constructor(private readonly options: OriginKeeperOptions) {
    options.links.setHandler(OriginMessageKind.Keep, (message) => this.handleCall(message));
  }

  static create(options: OriginKeeperOptions): OriginKeeper {
    return new OriginKeeper(options);
  }

  /** Resolves once the store keeps where a stream began; sooner if it can't, as after a failure, and in any case after a short time. */
  async keep(key: number, code: number): Promise<void> {
    const { clock } = this.options;
    this.entries.push([key, code]);
    this.batch ??= new Promise((resolve) => setImmediate(resolve)).then(() => this.send());
    if (clock.getTime() - this.failedAt < backoffMs) return;
    await Promise.race([this.batch, waitFor(clock, maxHoldMs)]);
  }

  private async send(): Promise<void> {
    const { clock, logger, archive } = this.options;
    const { entries } = this;
    this.entries = [];
    this.batch = undefined;
    if (await this.callWriter(entries)) return;
    // This instance writes itself: while a fleet starts, nobody may be known as the writer.
    if (await archive.keep(entries)) return;
    this.failedAt = clock.getTime();
    logger.info("streams.not-kept", { streams: entries.length });
  }

  /** Resolves with whether the writer keeps entries; false if this instance is the writer. */
  private async callWriter(entries: readonly OriginEntry[]): Promise<boolean> {
    const { clock, links, ownName, findWriter } = this.options;
    const writer = findWriter();
    const isSkipped = clock.getTime() - this.silentAt < backoffMs;
    if (writer === undefined || writer === ownName || isSkipped) return false;
    const message: KeepCall = { kind: OriginMessageKind.Keep, entries: encodeEntries(entries) };
    const reply = await links.call(writer, message, replyTimeoutMs);
    const isKept = reply.isOk() && hasFlag<KeepReply>(reply.value, "kept");
    if (!isKept) this.silentAt = clock.getTime();
    return isKept;
  }

  private async handleCall(message: PeerMessage): Promise<KeepReply> {
    const { entries } = message as Partial<KeepCall>;
    const { table, archive } = this.options;
    const decoded = decodeEntries(entries);
    for (const [key, code] of decoded) table.record(key, code, OriginSource.Told);
    // They are kept whether or not this instance has read yet that the service has several versions.
    return { kept: await archive.keep(decoded) };
  }
}
