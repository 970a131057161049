/**
 * Keeps which services are brittle as items of the platform's store, so that instances which start when all others are gone know it
 * before they send a request. A service that is not brittle has no item.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import * as v from "valibot";
import { decodeItem } from "../store/itemCodec.js";
import { ItemWriter } from "../store/itemWriter.js";
import { gatewayPrefix } from "../fleet/memberRecords.js";
import type { MetadataStore, StoreItem } from "../types.js";
import type { BrittleServices } from "./brittleServices.js";

/** Options of the items. */
export interface BrittleItemsOptions {
  readonly store: Pick<MetadataStore, "transact">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly services: Pick<BrittleServices, "getLimit" | "getNames" | "applyWord">;
  /** Whether this instance writes the item of a service on behalf of the fleet. */
  readonly isWriter: (service: string) => boolean;
}

const brittlePrefix = `${gatewayPrefix}brittle/`;

const brittleSchema = v.object({
  service: v.string(),
  /** Refusals a second that an endpoint bears. */
  limit: v.pipe(v.number(), v.minValue(0)),
});

type BrittleItem = v.InferOutput<typeof brittleSchema>;

/** Writes and reads the items. */
export class BrittleItems {
  /** Items as last read or written, by service. */
  private readonly items = new Map<string, BrittleItem>();
  private readonly writer: ItemWriter;

  private constructor(private readonly options: BrittleItemsOptions) {
    this.writer = ItemWriter.create(options.store, options.clock);
  }

  static create(options: BrittleItemsOptions): BrittleItems {
    return new BrittleItems(options);
  }

  /** Handles an item that was written or removed; ignores keys outside its prefix. */
  handleItem(key: string, item: StoreItem | undefined): void {
    if (!key.startsWith(brittlePrefix)) return;
    const decoded = item && decodeItem(brittleSchema, item.value);
    if (item && !decoded)
      this.options.logger.warn("service.brittle-item-refused", { key, bytes: item.value.length });
    if (!decoded) return void this.items.delete(decodeURIComponent(key.slice(brittlePrefix.length)));
    this.items.set(decoded.service, decoded);
    this.options.services.applyWord(decoded.service, decoded.limit);
  }

  /** Writes what has changed; called several times a second. */
  reconcile(): void {
    if (!this.writer.isReady) return;
    const { services, isWriter } = this.options;
    for (const service of new Set([...services.getNames(), ...this.items.keys()])) {
      const limit = services.getLimit(service);
      if (this.items.get(service)?.limit === limit || !isWriter(service)) continue;
      void this.write(service, limit);
      return;
    }
  }

  private async write(service: string, limit: number | undefined): Promise<void> {
    const key = brittlePrefix + encodeURIComponent(service);
    const item = limit === undefined ? undefined : { service, limit };
    const { isWritten, outcome } = await this.writer.write(key, item);
    if (isWritten && item) this.items.set(service, item);
    else if (isWritten) this.items.delete(service);
    this.options.logger.info("service.brittle-kept", { service, refusalsPerSecond: limit, outcome });
  }
}
