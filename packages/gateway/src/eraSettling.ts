/**
 * Whether the store shows all that was acknowledged. One that has come back from a copy lacks what operators wrote since,
 * until they have written it again; a read proves nothing before. Once that time is over, a mark in the store says so to
 * instances that start later.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import * as v from "valibot";
import { decodeItem } from "./itemCodec.js";
import { gatewayPrefix } from "./memberRecords.js";
import { type EraChange, type StoreEras, initialEra } from "./storeEras.js";
import type { MetadataStore, StoreItem } from "./types.js";

/** Options of the settling. */
export interface EraSettlingOptions {
  readonly store: Pick<MetadataStore, "eras" | "transact">;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether the system starts for the first time: then nothing was acknowledged before. */
  readonly isFirstStart: boolean;
  /** Whether this instance writes the mark for all. */
  readonly isWriter: () => boolean;
  /** Returns the time of day. */
  readonly getTimeOfDay: () => number;
}

const settledRecordKey = `${gatewayPrefix}store-era`;
/** Operators and endpoints have written again what was lost within this time of the store's return. */
const rewrittenWithinMs = 2_200;
/** Time between two attempts to write the mark. */
const retryMs = 1_000;

const settledRecordSchema = v.object({
  era: v.number(),
  /** Time of day at which it was written. */
  at: v.number(),
});

/** Follows the eras of one instance's store. */
export class EraSettling {
  /** Boot time at which the present era was first seen here. */
  private eraSeenAt = -Infinity;
  /** Boot time from which on reads show everything; undefined while the era is not settled. */
  private settledAt: number | undefined = -Infinity;
  private recordItem: StoreItem | undefined;
  private settledRecord: v.InferOutput<typeof settledRecordSchema> | undefined;
  /** Whether this is the system's first life, in the first era that was told it. */
  private isInitialSystemEra = true;
  private lastWriteAt = -Infinity;
  private isFirstChange = true;
  private readonly listeners: (() => void)[] = [];

  private constructor(private readonly options: EraSettlingOptions) {
    options.store.eras.onEraChange((rise) => this.handleEraChange(rise));
  }

  static create(options: EraSettlingOptions): EraSettling {
    return new EraSettling(options);
  }

  /** Whether a read that was sent at a boot time shows all that was acknowledged before it. */
  isReadComplete(sentAt: number): boolean {
    return this.settledAt !== undefined && sentAt >= this.settledAt;
  }

  get isSettled(): boolean {
    return this.settledAt !== undefined;
  }

  /** Milliseconds since the present era was first seen here; infinite in the first of a store that tells none. */
  get ageMs(): number {
    return this.options.clock.getBootTime() - this.eraSeenAt;
  }

  /** Calls back when an era is settled. */
  onSettled(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Takes an item of the store, or that it is gone; passes over those of others. */
  takeItem(key: string, item: StoreItem | undefined): void {
    if (key !== settledRecordKey) return;
    this.recordItem = item;
    this.settledRecord = item && decodeItem(settledRecordSchema, item.value);
    if (this.settledRecord === undefined) return;
    // Where the store tells no era, the mark is all that an instance which starts later can know it by.
    this.eras.advanceTo(this.settledRecord.era);
    if (this.settledRecord.era === this.eras.current) this.settle("mark");
  }

  /**
   * Time of day after which nothing that was written can have been lost by the last return; infinite while that is not
   * known.
   */
  getDurableSince(): number {
    if (this.eras.current === initialEra || this.isInitialSystemEra) return -Infinity;
    return this.settledRecord?.era === this.eras.current ? this.settledRecord.at : Infinity;
  }

  /** Writes the mark where it is due; called several times a second. */
  review(): void {
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
    const mark = { era, at: getTimeOfDay() };
    const put = [{ key: settledRecordKey, value: Buffer.from(JSON.stringify(mark)) }];
    const written = await store.transact({ expected, put, remove: [] });
    if (written.isOk()) this.settledRecord = mark;
    logger.info("store.era-marked", { era, outcome: written.isOk() ? "written" : written.error.name });
  }
}
