/**
 * Writes items of the gateway to the store on behalf of the fleet, one at a time; after a failed write it pauses. The caller decides
 * again what to write each time, so nothing is queued.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import type { MetadataStore } from "../types.js";

/** Result of a write, for logs. */
export interface ItemWrite {
  readonly isWritten: boolean;
  /** `written`, or the name of the failure. */
  readonly outcome: string;
}

/** Time between a failed write and the next attempt. */
const retryMs = 1_000;

/** Writes items. */
export class ItemWriter {
  private isWriting = false;
  private failedAt = -Infinity;

  private constructor(
    private readonly store: Pick<MetadataStore, "transact">,
    private readonly clock: Clock,
  ) {}

  static create(store: Pick<MetadataStore, "transact">, clock: Clock): ItemWriter {
    return new ItemWriter(store, clock);
  }

  /** Whether a write may be started now. */
  get isReady(): boolean {
    return !this.isWriting && this.clock.getTime() - this.failedAt >= retryMs;
  }

  /** Writes an item as JSON, or removes it if there is none. */
  async write(key: string, item: object | undefined): Promise<ItemWrite> {
    const put = item ? [{ key, value: Buffer.from(JSON.stringify(item)) }] : [];
    this.isWriting = true;
    const written = await this.store.transact({ expected: [], put, remove: item ? [] : [key] });
    this.isWriting = false;
    if (written.isErr()) this.failedAt = this.clock.getTime();
    return { isWritten: written.isOk(), outcome: written.isOk() ? "written" : written.error.name };
  }
}
