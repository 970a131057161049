/**
 * Keeps the gateway's own items of the store in memory, and writes them again if a store that was restored from
 * a snapshot lacks them.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import { FencedLeases } from "../leadership/fencedLeases.js";
import { EraSettling } from "./eraSettling.js";
import { CommittedWindows } from "./committedWindows.js";
import { gatewayPrefix } from "../fleet/memberRecords.js";
import type { Removal } from "./prefixFollower.js";
import type { MetadataStore, StoreItem } from "../types.js";

/** Prefix of the keys that hold committed usage windows. */
export const usagePrefix = `${gatewayPrefix}usage/`;
const fenceOffsetKey = `${gatewayPrefix}fence-offset`;

/** Options of the items. */
export interface GatewayItemsOptions {
  readonly store: MetadataStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly isFirstStart: boolean;
  /** Whether this instance has listed the gateway's own items and writes them on behalf of the fleet. */
  readonly isWriter: () => boolean;
  /** Returns the time of day. */
  readonly getTimeOfDay: () => number;
}

/**
 * The items that are restored: the settled era, the fence offset of the leases and the committed usage windows.
 */
export class GatewayItems {
  readonly settling: EraSettling;
  readonly leases: FencedLeases;
  readonly committedWindows: CommittedWindows;

  private constructor(options: GatewayItemsOptions) {
    this.settling = EraSettling.create(options);
    this.leases = FencedLeases.create({ ...options, offsetKey: fenceOffsetKey });
    this.committedWindows = CommittedWindows.create({ ...options, prefix: usagePrefix });
  }

  static create(options: GatewayItemsOptions): GatewayItems {
    return new GatewayItems(options);
  }

  /** Applies a put item, or the removal of one if `item` is undefined. */
  handleItem(key: string, item: StoreItem | undefined, removal?: Removal): void {
    this.settling.handleItem(key, item);
    this.leases.handleItem(key, item);
    this.committedWindows.handleItem(key, item, removal);
  }

  /** Writes the items that are due; called several times a second. */
  writeDueItems(): void {
    this.settling.writeRecordIfDue();
    this.committedWindows.restoreLost();
  }
}
