/**
 * Keeps the number of instances as an item of the platform's store without a lease. Records of members end with their leases, so that
 * instances which start after all leases have ended list nobody; the item tells them how many others may be starting beside them.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import * as v from "valibot";
import { decodeItem } from "../store/itemCodec.js";
import { ItemWriter } from "../store/itemWriter.js";
import type { MetadataStore, StoreItem } from "../types.js";

/** Options of the item. */
export interface FleetSizeItemOptions {
  readonly store: Pick<MetadataStore, "transact">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly key: string;
  /** Returns the item as last read from the store. */
  readonly getItem: () => StoreItem | undefined;
  /** Whether this instance writes the item on behalf of the fleet. */
  readonly isWriter: () => boolean;
}

/** Instances of the largest fleet: a larger number is another writer's, and would leave an instance no part of a limit. */
const maxInstances = 10_000;

const fleetSizeSchema = v.object({
  instances: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(maxInstances)),
});

/**
 * Time for which a fleet has to be smaller before the item is lowered. A number that is too high costs an instance a part of a limit
 * until its list is known; machines that are replaced within this time cost no write.
 */
const lowerAfterMs = 60_000;

/** Reads and writes the item. */
export class FleetSizeItem {
  private readonly writer: ItemWriter;
  /** Item that `instances` was read from. */
  private lastItem: StoreItem | undefined;
  /** Number as last read or written; undefined if there is no item. */
  private instances: number | undefined;
  /** Since when the fleet has been smaller than the item says, and its largest size since then. */
  private lower: { readonly since: number; readonly largest: number } | undefined;

  private constructor(private readonly options: FleetSizeItemOptions) {
    this.writer = ItemWriter.create(options.store, options.clock);
  }

  static create(options: FleetSizeItemOptions): FleetSizeItem {
    return new FleetSizeItem(options);
  }

  /** Number of instances that the store remembers; undefined without an item. */
  get size(): number | undefined {
    const item = this.options.getItem();
    if (item === this.lastItem) return this.instances;
    this.lastItem = item;
    const decoded = item && decodeItem(fleetSizeSchema, item.value);
    if (item && !decoded) this.options.logger.warn("fleet.size-item-refused", { bytes: item.value.length });
    this.instances = decoded?.instances;
    return this.instances;
  }

  /** Writes the item if the fleet has changed; called several times a second. `size` is undefined while it is not known. */
  reconcile(size: number | undefined): void {
    if (!this.options.isWriter()) {
      this.lower = undefined;
      return;
    }
    // Each instance that joins leaves the size unknown for a moment; that the fleet has been smaller goes on.
    if (size === undefined) return;
    const due = this.findDueSize(size);
    if (due !== undefined && this.writer.isReady) void this.write(due);
  }

  /** Returns the number to write; undefined if the item need not change. */
  private findDueSize(size: number): number | undefined {
    // A fleet of one needs no item: without one, an instance that lists nobody takes itself for the only one.
    const kept = this.size ?? 1;
    if (size >= kept) {
      this.lower = undefined;
      return size > kept ? size : undefined;
    }
    const time = this.options.clock.getTime();
    const { since, largest } = this.lower ?? { since: time, largest: size };
    this.lower = { since, largest: Math.max(largest, size) };
    return time - since >= lowerAfterMs ? this.lower.largest : undefined;
  }

  private async write(instances: number): Promise<void> {
    const { key, logger } = this.options;
    const { isWritten, outcome } = await this.writer.write(key, { instances });
    if (isWritten) {
      this.instances = instances;
      this.lower = undefined;
    }
    logger.info("fleet.size-kept", { instances, outcome });
  }
}
