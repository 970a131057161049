/**
 * Keeps the versions of services of which more than one serves as items of the platform's store, and reads them: instances of earlier
 * builds know no others. What streams begin and go on by, also in a service with one version, is the record of versions.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import * as v from "valibot";
import { decodeItem } from "../store/itemCodec.js";
import { ItemWriter } from "../store/itemWriter.js";
import { gatewayPrefix } from "../fleet/memberRecords.js";
import type { MetadataStore, StoreItem } from "../types.js";
import { isSameOrigin } from "./streamOrigin.js";
import type { VersionHistory } from "./versionHistory.js";

/** Options of the items. */
export interface VersionItemsOptions {
  readonly store: MetadataStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly history: VersionHistory;
  /** Returns the time of day. */
  readonly getTimeOfDay: () => number;
  /** Whether this instance writes the item of a service on behalf of the fleet. */
  readonly isWriter: (service: string) => boolean;
}

const versionsPrefix = `${gatewayPrefix}versions/`;

const versionsSchema = v.object({
  service: v.string(),
  versions: v.array(
    v.object({
      /** Left out for endpoints that state no version. */
      version: v.optional(v.string()),
      /** Time of day at which the last endpoint was gone; left out while the version serves. */
      goneAt: v.optional(v.number()),
    }),
  ),
});

type VersionsItem = v.InferOutput<typeof versionsSchema>;

/** Writes and reads the items. */
export class VersionItems {
  /** Items as last read or written, by service. */
  private readonly items = new Map<string, VersionsItem>();
  private readonly writer: ItemWriter;

  private constructor(private readonly options: VersionItemsOptions) {
    this.writer = ItemWriter.create(options.store, options.clock);
  }

  static create(options: VersionItemsOptions): VersionItems {
    return new VersionItems(options);
  }

  /** Handles an item that was written or removed; ignores keys outside its prefix. */
  handleItem(key: string, item: StoreItem | undefined): void {
    if (!key.startsWith(versionsPrefix)) return;
    const decoded = item && decodeItem(versionsSchema, item.value);
    if (item && !decoded)
      this.options.logger.warn("versions.item-refused", { key, bytes: item.value.length });
    if (decoded) this.apply(decoded);
    else this.items.delete(decodeURIComponent(key.slice(versionsPrefix.length)));
  }

  /** Writes what has changed; called several times a second. */
  reconcile(): void {
    const { history, isWriter } = this.options;
    if (!this.writer.isReady) return;
    const services = new Set([...history.getMixedServices(), ...this.items.keys()]);
    for (const service of services) {
      if (this.isCurrent(service) || !isWriter(service)) continue;
      void this.write(service);
      return;
    }
  }

  private apply(item: VersionsItem): void {
    const { history, getTimeOfDay, logger } = this.options;
    const { service } = item;
    this.items.set(service, item);
    for (const { version: softwareVersion, goneAt } of item.versions) {
      // Where the item doesn't say since when a version is gone, it served until the writer could tell.
      const goneMs = goneAt === undefined ? 0 : getTimeOfDay() - goneAt;
      const isApplied = history.applyServed({ service, softwareVersion }, goneMs);
      logger.info("versions.read", { service, softwareVersion, goneMs: Math.round(goneMs), isApplied });
    }
  }

  /** Whether the item of a service lists the same versions as the history, and the same ones as serving. */
  private isCurrent(service: string): boolean {
    const item = this.items.get(service);
    if (!this.options.history.hasSeveral(service)) return item === undefined;
    const listed = this.options.history.list(service);
    if (item?.versions.length !== listed.length) return false;
    return listed.every(({ origin, goneMs }) => {
      const written = item.versions.find(({ version: softwareVersion }) =>
        isSameOrigin(origin, { service, softwareVersion }),
      );
      return written !== undefined && (written.goneAt === undefined) === (goneMs === undefined);
    });
  }

  private async write(service: string): Promise<void> {
    const { logger, history } = this.options;
    const key = versionsPrefix + encodeURIComponent(service);
    const item = history.hasSeveral(service) ? this.createItem(service) : undefined;
    const { isWritten, outcome } = await this.writer.write(key, item);
    if (isWritten && item) this.items.set(service, item);
    else if (isWritten) this.items.delete(service);
    logger.info("versions.kept", {
      service,
      versions: item?.versions.map(({ version = "" }) => version).join(),
      outcome,
    });
  }

  private createItem(service: string): VersionsItem {
    const time = this.options.getTimeOfDay();
    const versions = this.options.history.list(service).map(({ origin, goneMs }) => ({
      ...(origin.softwareVersion !== undefined && { version: origin.softwareVersion }),
      ...(goneMs !== undefined && { goneAt: Math.round(time - goneMs) }),
    }));
    return { service, versions };
  }
}
