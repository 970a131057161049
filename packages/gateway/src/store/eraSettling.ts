/**
 * Decides from when on reads of the store show everything that was acknowledged. A store that was restored from
 * a snapshot lacks what operators have written since the snapshot, until they have written it again, and no read proves
 * anything before that. An era is settled once that time is over. A record in the store then shows
 * this to instances that start later.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import * as v from "valibot";
import { decodeItem } from "./itemCodec.js";
import { gatewayPrefix } from "../fleet/memberRecords.js";
import { type EraChange, type StoreEras, initialEra } from "./storeEras.js";
import type { MetadataStore, StoreItem } from "../types.js";

/** Options of the settling. */
export interface EraSettlingOptions {
  readonly store: Pick<MetadataStore, "eras" | "transact">;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether the system starts for the first time, so that nothing was acknowledged before. */
  readonly isFirstStart: boolean;
  /** Whether this instance writes the record of the settled era on behalf of the fleet. */
  readonly isWriter: () => boolean;
  /** Returns the time of day. */
  readonly getTimeOfDay: () => number;
}

const settledRecordKey = `${gatewayPrefix}store-era`;
/** Operators and endpoints have written again what was lost within this time after a restore. */
const rewrittenWithinMs = 2_200;
/** Time between two attempts to write the record. */
const retryMs = 1_000;

const settledRecordSchema = v.object({
  era: v.number(),
  /** Time of day at which the record was written. */
  at: v.number(),
});

/** Determines when the current era of the store is settled. */
export class EraSettling {
  /** Boot time at which this instance first saw the current era. */
  private eraSeenAt = -Infinity;
  /** Boot time from which on reads are complete; undefined while the era is not settled. */
  private settledAt: number | undefined = -Infinity;
  private recordItem: StoreItem | undefined;
  private settledRecord: v.InferOutput<typeof settledRecordSchema> | undefined;
  /** Whether the system starts for the first time and this is the first era reported to it. */
  private isInitialSystemEra = true;
  private lastWriteAt = -Infinity;
  private isFirstChange = true;
  private readonly listeners: (() => void)[] = [];

  private constructor(private readonly options: EraSettlingOptions) {
    options.store.eras.onEraChange((change) => this.handleEraChange(change));
  }

  static create(options: EraSettlingOptions): EraSettling {
    return new EraSettling(options);
  }

  /** Whether a read that was sent at a boot time shows everything that was acknowledged before it. */
  isReadComplete(sentAt: number): boolean {
    return this.settledAt !== undefined && sentAt >= this.settledAt;
  }

  get isSettled(): boolean {
    return this.settledAt !== undefined;
  }

  /**
   * Milliseconds since this instance first saw the current era; infinite in the initial era of a store that
   * reports none.
   */
  get ageMs(): number {
    return this.options.clock.getBootTime() - this.eraSeenAt;
  }

  /** Registers a listener for an era being settled. */
  onSettled(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Applies a put item, or its removal if `item` is undefined; ignores all keys but its own. */
  handleItem(key: string, item: StoreItem | undefined): void {
    if (key !== settledRecordKey) return;
    this.recordItem = item;
    this.settledRecord = item && decodeItem(settledRecordSchema, item.value);
    if (this.settledRecord === undefined) return;
    // If the store reports no era, an instance that starts later learns it only from this record.
    this.eras.advanceTo(this.settledRecord.era);
    if (this.settledRecord.era === this.eras.current) this.settle("mark");
  }

  /**
   * Returns the time of day after which no write can have been lost by the last restore; infinite while that is
   * not known.
   */
  getDurableSince(): number {
    if (this.eras.current === initialEra || this.isInitialSystemEra) return -Infinity;
    return this.settledRecord?.era === this.eras.current ? this.settledRecord.at : Infinity;
  }

  /** Writes the record if it is due; called several times a second. */
  writeRecordIfDue(): void {
    const { clock, isWriter } = this.options;
    const { current } = this.eras;
    const isDue = current !== initialEra && this.isSettled && this.settledRecord?.era !== current;
    if (!isDue || !isWriter() || clock.getTime() - this.lastWriteAt < retryMs) return;
    this.lastWriteAt = clock.getTime();
    void this.writeSettledRecord(current);
  }

  private get eras(): StoreEras {
    return this.options.store.eras;
  }

  private handleEraChange({ to, revisionBefore }: EraChange): void {
    const { clock, isFirstStart } = this.options;
    this.eraSeenAt = clock.getBootTime();
    this.isInitialSystemEra = this.isFirstChange && isFirstStart && revisionBefore === 0;
    this.isFirstChange = false;
    this.settledAt = undefined;
    if (this.isInitialSystemEra) {
      this.eraSeenAt = -Infinity;
      this.settledAt = -Infinity;
      return;
    }
    clock.startTimer(rewrittenWithinMs, () => {
      if (this.eras.current === to) this.settle("time");
    });
  }

  private settle(by: string): void {
    if (this.isSettled) return;
    this.settledAt = this.options.clock.getBootTime();
    this.options.logger.info("store.era-settled", {
      era: this.eras.current,
      by,
      ageMs: Math.round(this.ageMs),
    });
    for (const listener of this.listeners) listener();
  }

  private async writeSettledRecord(era: number): Promise<void> {
    const { store, logger, getTimeOfDay } = this.options;
    const expected = [{ key: settledRecordKey, revision: this.recordItem?.revision ?? 0 }];
    const record = { era, at: getTimeOfDay() };
    const put = [{ key: settledRecordKey, value: Buffer.from(JSON.stringify(record)) }];
    const written = await store.transact({ expected, put, remove: [] });
    if (written.isOk()) this.settledRecord = record;
    logger.info("store.era-marked", { era, outcome: written.isOk() ? "written" : written.error.name });
  }
}
