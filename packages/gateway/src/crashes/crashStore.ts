/**
 * Keeps the quarantine of requests as items of the platform's store, so that it outlasts all instances. An item is written when a
 * request enters the cooldown and when it is blocked, and removed when the request is cleared. An operator who removes an item
 * clears the request; an item that the store lost because it was restored from a snapshot is written again.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import * as v from "valibot";
import type { CrashRecords, CrashReport, CrashSubject, CrashUpdate } from "./crashRecords.js";
import { decodeItem } from "../store/itemCodec.js";
import { ItemWriter } from "../store/itemWriter.js";
import { gatewayPrefix } from "../memberRecords.js";
import { type Removal, RemovalCause } from "../store/prefixFollower.js";
import type { MetadataStore, StoreItem } from "../types.js";

/** Options of the store. */
export interface CrashStoreOptions {
  readonly store: MetadataStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly records: CrashRecords;
  /** Whether this instance writes the item of a request on behalf of the fleet. */
  readonly isWriter: (fingerprint: string) => boolean;
}

const crashPrefix = `${gatewayPrefix}crashes/`;
/** Most items in all, 200 bytes each, because every instance reads them when it starts. */
const maxItems = 256;
/** Most items of one workspace, so that a workspace that crashes endpoints on purpose takes no space from others. */
const maxItemsOfWorkspace = 64;

const crashSchema = v.object({
  workspace: v.string(),
  /** Incarnations that crashed with the request in flight, before it was a suspect and after. */
  first: v.array(v.string()),
  repeated: v.array(v.string()),
});

type CrashItem = v.InferOutput<typeof crashSchema>;

/** Writes and reads the items. */
export class CrashStore {
  /** Items as last read, by fingerprint. */
  private readonly items = new Map<string, CrashItem>();
  private readonly writer: ItemWriter;

  private constructor(private readonly options: CrashStoreOptions) {
    this.writer = ItemWriter.create(options.store, options.clock);
  }

  static create(options: CrashStoreOptions): CrashStore {
    return new CrashStore(options);
  }

  /** Handles an item that was written or removed; ignores keys outside its prefix. */
  handleItem(key: string, item: StoreItem | undefined, removal?: Removal): void {
    if (!key.startsWith(crashPrefix)) return;
    const fingerprint = key.slice(crashPrefix.length);
    if (!item && removal?.cause === RemovalCause.Lost) return this.handleLost(fingerprint);
    if (!item) return this.handleRemoved(fingerprint);
    const decoded = decodeItem(crashSchema, item.value);
    if (!decoded) {
      this.options.logger.warn("crash.item-refused", { key, bytes: item.value.length });
      return;
    }
    this.items.set(fingerprint, decoded);
    this.options.records.apply({ reports: createReports(fingerprint, decoded) });
  }

  /** Writes missing items and removes those of cleared requests; called several times a second. */
  reconcileItems(): void {
    if (!this.writer.isReady) return;
    const durable = this.options.records.getDurable();
    const missing = durable.find((subject) => this.needsWrite(subject));
    if (missing) {
      void this.write(missing);
      return;
    }
    const cleared = [...this.items.keys()].find((fingerprint) => this.isCleared(fingerprint));
    if (cleared !== undefined) void this.remove(cleared);
  }

  private needsWrite({ workspace, fingerprint }: CrashSubject): boolean {
    const { records, isWriter } = this.options;
    if (!isWriter(fingerprint)) return false;
    const item = this.items.get(fingerprint);
    if (!item) return this.hasSpace(workspace);
    const known = getIncarnations(item);
    return records.getUncleared(fingerprint).some((incarnation) => !known.includes(incarnation));
  }

  private hasSpace(workspace: string): boolean {
    const items = [...this.items.values()];
    const ofWorkspace = items.filter((item) => item.workspace === workspace);
    return items.length < maxItems && ofWorkspace.length < maxItemsOfWorkspace;
  }

  /**
   * Whether an item may be removed. A removal clears the request on all instances, so the item of a request whose score has only
   * fallen must stay.
   */
  private isCleared(fingerprint: string): boolean {
    const { records, isWriter } = this.options;
    return records.getUncleared(fingerprint).length === 0 && isWriter(fingerprint);
  }

  private async write({ workspace, fingerprint }: CrashSubject): Promise<void> {
    const { first, repeated } = this.options.records.getEvidence(fingerprint);
    const item: CrashItem = { workspace, first: [...first], repeated: [...repeated] };
    if (await this.put(fingerprint, item, "crash.kept")) this.items.set(fingerprint, item);
  }

  private async remove(fingerprint: string): Promise<void> {
    if (await this.put(fingerprint, undefined, "crash.cleared")) this.items.delete(fingerprint);
  }

  private async put(fingerprint: string, item: CrashItem | undefined, event: string): Promise<boolean> {
    const { isWritten, outcome } = await this.writer.write(crashPrefix + fingerprint, item);
    this.options.logger.info(event, { fingerprint, outcome });
    return isWritten;
  }

  /** The quarantine remains; the writer of the request finds its item missing and writes it again. */
  private handleLost(fingerprint: string): void {
    if (!this.items.delete(fingerprint)) return;
    this.options.logger.info("crash.item-lost", { fingerprint });
  }

  private handleRemoved(fingerprint: string): void {
    const item = this.items.get(fingerprint);
    if (!this.items.delete(fingerprint) || !item) return;
    const incarnations = getIncarnations(item);
    const update: CrashUpdate = { acquittals: [{ fingerprint, lives: incarnations }] };
    this.options.records.apply(update);
    this.options.logger.info("crash.item-removed", { fingerprint, lives: incarnations.length });
  }
}

function getIncarnations({ first, repeated }: CrashItem): readonly string[] {
  return [...first, ...repeated];
}

function createReports(fingerprint: string, { workspace, first, repeated }: CrashItem): CrashReport[] {
  const subject = { workspace, fingerprint };
  return [
    ...first.map((incarnation) => ({ life: incarnation, suspects: [], others: [subject] })),
    ...repeated.map((incarnation) => ({ life: incarnation, suspects: [subject], others: [] })),
  ];
}
