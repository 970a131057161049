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

const markKey = `${gatewayPrefix}store-era`;
/** Operators and endpoints have written again what was lost within this time of the store's return. */
const rewrittenWithinMs = 2_200;
/** Time between two attempts to write the mark. */
const retryMs = 1_000;

const markSchema = v.object({
  era: v.number(),
  /** Time of day at which it was written. */
  at: v.number(),
});

/** Follows the eras of one instance's store. */
export class EraSettling {
  /** Boot time at which the present era was first seen here. */
  private seenAt = -Infinity;
  /** Boot time from which on reads show everything; undefined while the era is not settled. */
  private settledAt: number | undefined = -Infinity;
  private markItem: StoreItem | undefined;
  private mark: v.InferOutput<typeof markSchema> | undefined;
  /** Whether this is the system's first life, in the first era that was told it. */
  private isSystemsFirst = true;
  private writtenAt = -Infinity;
  private isFirst = true;
  private readonly listeners: (() => void)[] = [];

  private constructor(private readonly options: EraSettlingOptions) {
    options.store.eras.onEraChange((rise) => this.handleRise(rise));
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
    return this.options.clock.getBootTime() - this.seenAt;
  }

  /** Calls back when an era is settled. */
  onSettled(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Takes an item of the store, or that it is gone; passes over those of others. */
  takeItem(key: string, item: StoreItem | undefined): void {
    if (key !== markKey) return;
    this.markItem = item;
    this.mark = item && decodeItem(markSchema, item.value);
    if (this.mark === undefined) return;
    // Where the store tells no era, the mark is all that an instance which starts later can know it by.
    this.eras.advanceTo(this.mark.era);
    if (this.mark.era === this.eras.current) this.settle("mark");
  }

  /**
   * Time of day after which nothing that was written can have been lost by the last return; infinite while that is not
   * known.
   */
  getDurableSince(): number {
    if (this.eras.current === initialEra || this.isSystemsFirst) return -Infinity;
    return this.mark?.era === this.eras.current ? this.mark.at : Infinity;
  }

  /** Writes the mark where it is due; called several times a second. */
  review(): void {
    const { clock, isWriter } = this.options;
    const { current } = this.eras;
    const isDue = current !== initialEra && this.isSettled && this.mark?.era !== current;
    if (!isDue || !isWriter() || clock.getTime() - this.writtenAt < retryMs) return;
    this.writtenAt = clock.getTime();
    void this.writeMark(current);
  }

  private get eras(): StoreEras {
    return this.options.store.eras;
  }

  private handleRise({ to, revisionBefore }: EraChange): void {
    const { clock, isFirstStart } = this.options;
    this.seenAt = clock.getBootTime();
    this.isSystemsFirst = this.isFirst && isFirstStart && revisionBefore === 0;
    this.isFirst = false;
    this.settledAt = undefined;
    if (this.isSystemsFirst) {
      this.seenAt = -Infinity;
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

  private async writeMark(era: number): Promise<void> {
    const { store, logger, getTimeOfDay } = this.options;
    const expected = [{ key: markKey, revision: this.markItem?.revision ?? 0 }];
    const mark = { era, at: getTimeOfDay() };
    const put = [{ key: markKey, value: Buffer.from(JSON.stringify(mark)) }];
    const written = await store.transact({ expected, put, remove: [] });
    if (written.isOk()) this.mark = mark;
    logger.info("store.era-marked", { era, outcome: written.isOk() ? "written" : written.error.name });
  }
}
