/**
 * Membership view of all instances, merged from the lagging instance list, reclaim notices, and updates from
 * the instances themselves and from peers.
 *
 * Updates of an instance are ordered by incarnation, then by state: Live < Leaving < Gone. A later update is
 * never overridden by an earlier one, in whatever order they arrive. Absence from the list is not an update:
 * after several lists the instance only gets no new work, until a list contains it again.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { type InstanceRecord, InstanceRole, InstanceState } from "./types.js";

/** Source of an update. */
export enum UpdateSource {
  List = 1,
  Notice = 2,
  Own = 3,
  Peer = 4,
}

/** A membership update: one report of an instance's incarnation and state. Peers send it to each other. */
export interface InstanceUpdate {
  readonly id: string;
  readonly incarnation: number;
  readonly state: InstanceState;
  readonly source: UpdateSource;
  /** Milliseconds until the instance is reclaimed, if known. */
  readonly remaining?: number | undefined;
  /** Full record of the instance, if the source has it. */
  readonly record?: InstanceRecord | undefined;
}

/** State of one instance in the view. */
export interface InstanceStatus {
  readonly record: InstanceRecord;
  readonly state: InstanceState;
  /** Source of the update that set the state. */
  readonly source: UpdateSource;
  /** Monotonic time at which the instance will be reclaimed, if known. */
  readonly reclaimAt: number | undefined;
  /** Number of consecutive lists that did not contain the instance. */
  readonly missedLists: number;
}

/**
 * Called when an instance is new, changes its state, misses too many lists, or is in a list again after a
 * missed one.
 */
export type MembershipListener = (instance: InstanceStatus) => void;

interface PendingUpdate {
  readonly update: InstanceUpdate;
  readonly receivedAt: number;
}

/** Consecutive missed lists after which an instance gets no new work. */
const missedListsUntilUnusable = 3;
/** Milliseconds after which instances that are gone, and updates without a record, are removed. */
const goneRetentionMs = 600_000;

/** Merges updates and lists into the state of each instance, and notifies listeners of changes. */
export class MembershipView {
  private readonly instances = new Map<string, InstanceStatus>();
  /** Updates of instances whose record is not known yet. */
  private readonly pending = new Map<string, PendingUpdate>();
  private readonly goneAt = new Map<string, number>();
  private readonly listeners = new Set<MembershipListener>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): MembershipView {
    return new MembershipView(clock);
  }

  /** Registers a listener; the returned function removes it. */
  onChange(listener: MembershipListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Returns the state of an instance; undefined if it is not known. */
  get(id: string): InstanceStatus | undefined {
    return this.instances.get(id);
  }

  /** Returns all instances, including those that are gone and not yet forgotten. */
  getAll(): readonly InstanceStatus[] {
    return [...this.instances.values()];
  }

  /** Returns the instances of a role that accept new work. */
  getLive(role: InstanceRole): readonly InstanceRecord[] {
    const live: InstanceRecord[] = [];
    for (const status of this.instances.values()) {
      if (status.record.role === role && isUsable(status)) live.push(status.record);
    }
    return live;
  }

  /** Merges one update; returns whether it changed the state of the instance. */
  merge(update: InstanceUpdate): boolean {
    const present = this.instances.get(update.id);
    if (!present || update.incarnation > present.record.incarnation) return this.mergeFirst(update);
    if (update.incarnation < present.record.incarnation) return false;
    if (update.state <= present.state) return this.mergeReclaimTime(present, update);
    this.setStatus({
      ...present,
      state: update.state,
      source: update.source,
      reclaimAt: this.getReclaimAt(update) ?? present.reclaimAt,
    });
    return true;
  }

  /** Merges a complete list: an update of each instance that it contains, and an absence of each other instance. */
  mergeList(records: readonly InstanceRecord[]): void {
    // An empty list while instances are known indicates a fault of the list, not the loss of all instances.
    if (records.length === 0) return;
    const listed = new Set<string>();
    for (const record of records) {
      listed.add(record.id);
      this.merge({ ...record, source: UpdateSource.List, record });
      const status = this.instances.get(record.id);
      if (status && status.missedLists > 0) this.setStatus({ ...status, missedLists: 0 });
    }
    for (const status of this.instances.values()) {
      if (!listed.has(status.record.id)) this.recordMissedList(status);
    }
    this.removeExpired();
  }

  private mergeFirst(update: InstanceUpdate): boolean {
    if (!update.record) {
      const known = this.pending.get(update.id)?.update;
      const isNewer = !known || update.incarnation > known.incarnation || update.state > known.state;
      if (isNewer) this.pending.set(update.id, { update, receivedAt: this.clock.getTime() });
      return false;
    }
    this.setStatus({
      record: update.record,
      state: update.state,
      source: update.source,
      reclaimAt: this.getReclaimAt(update),
      missedLists: 0,
    });
    const pending = this.pending.get(update.id);
    this.pending.delete(update.id);
    if (pending) this.merge(pending.update);
    return true;
  }

  private mergeReclaimTime(present: InstanceStatus, update: InstanceUpdate): boolean {
    const isNewlyKnown = update.remaining !== undefined && present.reclaimAt === undefined;
    if (isNewlyKnown) this.instances.set(update.id, { ...present, reclaimAt: this.getReclaimAt(update) });
    return false;
  }

  private recordMissedList(status: InstanceStatus): void {
    const missedLists = status.missedLists + 1;
    const next = { ...status, missedLists };
    if (missedLists === missedListsUntilUnusable) this.setStatus(next);
    else this.instances.set(status.record.id, next);
  }

  private setStatus(status: InstanceStatus): void {
    this.instances.set(status.record.id, status);
    if (status.state === InstanceState.Gone) this.goneAt.set(status.record.id, this.clock.getTime());
    else this.goneAt.delete(status.record.id);
    for (const listener of this.listeners) listener(status);
  }

  private getReclaimAt(update: InstanceUpdate): number | undefined {
    return update.remaining === undefined ? undefined : this.clock.getTime() + update.remaining;
  }

  private removeExpired(): void {
    const limit = this.clock.getTime() - goneRetentionMs;
    for (const [id, time] of this.goneAt) {
      // While the list still contains the instance, forgetting it would bring it back as live.
      if (time > limit || this.instances.get(id)?.missedLists === 0) continue;
      this.goneAt.delete(id);
      this.instances.delete(id);
    }
    for (const [id, pending] of this.pending) {
      if (pending.receivedAt <= limit) this.pending.delete(id);
    }
  }
}

/** Returns whether an instance accepts new work. */
export function isUsable(status: InstanceStatus): boolean {
  return status.state === InstanceState.Live && status.missedLists < missedListsUntilUnusable;
}
