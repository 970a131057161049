/**
 * Keeps suspicions as items of the platform's store, so that they outlast all instances. An item is written when its subject (a request,
 * or a part of prompts) must not be forgotten, and again when more is known; it is removed when the subject is cleared. An operator who
 * removes an item clears its subject; an item that the store lost because it was restored from a snapshot is written again.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import type * as v from "valibot";
import { decodeItem } from "../store/itemCodec.js";
import { ItemWriter } from "../store/itemWriter.js";
import { type Removal, RemovalCause } from "../store/prefixFollower.js";
import type { MetadataStore, StoreItem } from "../types.js";

/** A subject whose item must be there. */
export interface DurableSubject {
  /** Last part of the item's key. */
  readonly id: string;
  /** Workspace that the item counts towards. */
  readonly workspace: string;
}

/** What is kept, and what is done with it. */
export interface QuarantineKind<Item extends object> {
  readonly prefix: string;
  readonly schema: v.GenericSchema<unknown, Item>;
  /** Start of the names of events in the log. */
  readonly event: string;
  /** Returns the subjects that must be kept; `isKept` tells whether a subject has an item. */
  getDurable(isKept: (id: string) => boolean): readonly DurableSubject[];
  createItem(subject: DurableSubject): Item;
  /** Workspace that an item counts towards. */
  getWorkspace(item: Item): string;
  /** Whether an item as last read says all that is known. */
  isCurrent(id: string, item: Item): boolean;
  /** Whether nothing speaks against the subject of an item any more. */
  isCleared(id: string, item: Item): boolean;
  /** Applies an item that was read. */
  apply(id: string, item: Item): void;
  /** Clears the subject of an item that was removed. */
  clear(id: string, item: Item): void;
}

/** Options of the items. */
export interface QuarantineItemsOptions<Item extends object> {
  readonly store: Pick<MetadataStore, "transact">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly kind: QuarantineKind<Item>;
  /** Whether this instance writes the item of a subject on behalf of the fleet. */
  readonly isWriter: (id: string) => boolean;
}

/** Most items in all, 200 to 400 bytes each, because every instance reads them when it starts. */
const maxItems = 256;
/** Most items of one workspace, so that a workspace that crashes endpoints on purpose takes no space from others. */
const maxItemsOfWorkspace = 64;

/** Writes and reads the items of one kind. */
export class QuarantineItems<Item extends object> {
  /** Items as last read or written, by id. */
  private readonly items = new Map<string, Item>();
  private readonly writer: ItemWriter;

  private constructor(private readonly options: QuarantineItemsOptions<Item>) {
    this.writer = ItemWriter.create(options.store, options.clock);
  }

  static create<Item extends object>(options: QuarantineItemsOptions<Item>): QuarantineItems<Item> {
    return new QuarantineItems(options);
  }

  /** Handles an item that was written or removed; ignores keys outside its prefix. */
  handleItem(key: string, item: StoreItem | undefined, removal?: Removal): void {
    const { kind, logger } = this.options;
    if (!key.startsWith(kind.prefix)) return;
    const id = key.slice(kind.prefix.length);
    if (!item && removal?.cause === RemovalCause.Lost) return this.handleLost(id);
    if (!item) return this.handleRemoved(id);
    const decoded = decodeItem(kind.schema, item.value);
    if (!decoded) {
      logger.warn(`${kind.event}.item-refused`, { key, bytes: item.value.length });
      return;
    }
    this.items.set(id, decoded);
    kind.apply(id, decoded);
  }

  /** Writes missing items and removes those of cleared subjects; called several times a second. */
  reconcile(): void {
    const { kind, isWriter } = this.options;
    if (!this.writer.isReady) return;
    const missing = kind.getDurable((id) => this.items.has(id)).find((subject) => this.needsWrite(subject));
    if (missing) {
      void this.write(missing);
      return;
    }
    const cleared = [...this.items].find(([id, item]) => kind.isCleared(id, item) && isWriter(id));
    if (cleared) void this.remove(cleared[0]);
  }

  private needsWrite({ id, workspace }: DurableSubject): boolean {
    const { kind, isWriter } = this.options;
    if (!isWriter(id)) return false;
    const item = this.items.get(id);
    return item ? !kind.isCurrent(id, item) : this.hasSpace(workspace);
  }

  private hasSpace(workspace: string): boolean {
    const items = [...this.items.values()];
    const ofWorkspace = items.filter((item) => this.options.kind.getWorkspace(item) === workspace);
    return items.length < maxItems && ofWorkspace.length < maxItemsOfWorkspace;
  }

  private async write(subject: DurableSubject): Promise<void> {
    const item = this.options.kind.createItem(subject);
    if (await this.put(subject.id, item, "kept")) this.items.set(subject.id, item);
  }

  private async remove(id: string): Promise<void> {
    if (await this.put(id, undefined, "cleared")) this.items.delete(id);
  }

  private async put(id: string, item: Item | undefined, outcomeOf: string): Promise<boolean> {
    const { kind, logger } = this.options;
    const { isWritten, outcome } = await this.writer.write(kind.prefix + id, item);
    logger.info(`${kind.event}.${outcomeOf}`, { id, outcome });
    return isWritten;
  }

  /** The suspicion remains; the writer of the subject finds its item missing and writes it again. */
  private handleLost(id: string): void {
    const { kind, logger } = this.options;
    if (!this.items.delete(id)) return;
    logger.info(`${kind.event}.item-lost`, { id });
  }

  private handleRemoved(id: string): void {
    const { kind, logger } = this.options;
    const item = this.items.get(id);
    if (!this.items.delete(id) || !item) return;
    kind.clear(id, item);
    logger.info(`${kind.event}.item-removed`, { id });
  }
}
