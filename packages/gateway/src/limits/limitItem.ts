/**
 * Keeps the rate limits that endpoints advertise as one item of the platform's store, so that instances which start when all others
 * are gone keep to them from their first request on. Without it, each instance of a fleet that was killed sent requests until the
 * first response told it of the limit.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import * as v from "valibot";
import { gatewayPrefix } from "../fleet/memberRecords.js";
import { decodeItem } from "../store/itemCodec.js";
import { ItemWriter } from "../store/itemWriter.js";
import type { MetadataStore, StoreItem } from "../types.js";
import type { EndpointLimits } from "./endpointLimits.js";

/** Options of the item. */
export interface LimitItemOptions {
  readonly store: Pick<MetadataStore, "transact">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly limits: Pick<EndpointLimits, "list" | "applyKept">;
  /** Whether this instance writes the item on behalf of the fleet. */
  readonly isWriter: () => boolean;
  /** Whether the gateway's own items have been listed: from then on, peers tell of limits. */
  readonly isListed: () => boolean;
}

/** Key of the item. */
export const limitsKey = `${gatewayPrefix}limits`;

const limitsSchema = v.object({
  limits: v.array(
    v.object({
      /** Incarnation of the endpoint. */
      life: v.string(),
      /** Requests a second. */
      perSecond: v.pipe(v.number(), v.finite(), v.minValue(0)),
    }),
  ),
});

/** Limits in the item: some 12 KB. */
const maxKept = 200;
/** A kept limit that the endpoint has raised is written again once it is this many times as high. */
const raisedFactor = 2;
/** Shortest time between two writes; a larger item waits longer, as every instance receives each version of it. */
const minIntervalMs = 1_000;
const bytesPerSecond = 1_000;
/**
 * Shortest time between two writes if limits have only ended or been raised. What is kept too long costs a fleet that starts again a
 * wait of at most one permit; a limit that begins and ends over and over would cost a write each time.
 */
const loosenedIntervalMs = 30_000;
const millisecondsPerSecond = 1_000;

/** Writes and reads the item. */
export class LimitItem {
  private readonly writer: ItemWriter;
  /** Limits in the item as last read or written, by incarnation. */
  private kept: ReadonlyMap<string, number> = new Map();
  private writtenAt = -Infinity;
  private readonly startedAt: number;
  private writtenBytes = 0;

  private constructor(private readonly options: LimitItemOptions) {
    this.writer = ItemWriter.create(options.store, options.clock);
    this.startedAt = options.clock.getTime();
  }

  static create(options: LimitItemOptions): LimitItem {
    return new LimitItem(options);
  }

  /** Handles the item when it was written or removed; ignores other keys. */
  handleItem(key: string, item: StoreItem | undefined): void {
    if (key !== limitsKey) return;
    const { logger, limits, isListed } = this.options;
    const decoded = item && decodeItem(limitsSchema, item.value);
    if (item && !decoded) logger.warn("limit.item-refused", { bytes: item.value.length });
    // Another writer's item may list more.
    const kept = decoded?.limits.slice(0, maxKept) ?? [];
    this.kept = new Map(kept.map(({ life, perSecond }) => [life, perSecond]));
    if (isListed()) return;
    for (const [incarnation, perSecond] of this.kept) limits.applyKept(incarnation, perSecond);
  }

  /** Writes what has changed; called several times a second. */
  reconcile(): void {
    const { clock, isWriter } = this.options;
    const time = clock.getTime();
    if (!this.writer.isReady || time - this.writtenAt < this.intervalMs || !isWriter()) return;
    const next = this.createNext();
    const isTightened = [...next].some(([incarnation, perSecond]) => {
      const kept = this.kept.get(incarnation);
      return kept === undefined || perSecond < kept;
    });
    // An instance that has just started does not know yet which of the kept limits have ended.
    const mayLoosen = time - Math.max(this.writtenAt, this.startedAt) >= loosenedIntervalMs;
    if (!isTightened && (!mayLoosen || isSame(next, this.kept))) return;
    void this.write(next);
  }

  private get intervalMs(): number {
    return Math.max(minIntervalMs, (this.writtenBytes / bytesPerSecond) * millisecondsPerSecond);
  }

  /** Returns the limits to keep. Those kept already stay first, so that a full item is not written each time. */
  private createNext(): ReadonlyMap<string, number> {
    const known = new Map(this.options.limits.list());
    const stayed = [...this.kept.keys()].filter((incarnation) => known.has(incarnation));
    const next = new Map<string, number>();
    for (const incarnation of [...stayed, ...known.keys()]) {
      if (next.size >= maxKept) break;
      const current = known.get(incarnation)!;
      const kept = this.kept.get(incarnation);
      const isClose = kept !== undefined && kept <= current && current <= kept * raisedFactor;
      next.set(incarnation, isClose ? kept : current);
    }
    return next;
  }

  private async write(next: ReadonlyMap<string, number>): Promise<void> {
    const { clock, logger } = this.options;
    const item = { limits: [...next].map(([life, perSecond]) => ({ life, perSecond })) };
    const { isWritten, outcome } = await this.writer.write(limitsKey, next.size > 0 ? item : undefined);
    if (isWritten) {
      this.kept = next;
      this.writtenAt = clock.getTime();
      this.writtenBytes = JSON.stringify(item).length;
    }
    logger.info("limit.kept", { limits: next.size, bytes: this.writtenBytes, outcome });
  }
}

function isSame(one: ReadonlyMap<string, number>, other: ReadonlyMap<string, number>): boolean {
  return one.size === other.size && [...one].every(([key, value]) => other.get(key) === value);
}
