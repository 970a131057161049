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

interface PendingWord {
  readonly word: InstanceUpdate;
  readonly heardAt: number;
}

const absencesUntilIgnored = 3;
const goneKept = 600_000;

/** Merges updates and lists into the state of each instance, and notifies listeners of changes. */
export class MembershipView {
  private readonly instances = new Map<string, InstanceStatus>();
  /** Updates of instances whose record is not known yet. */
  private readonly pending = new Map<string, PendingWord>();
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
    for (const view of this.instances.values()) {
      if (view.record.role === role && isUsable(view)) live.push(view.record);
    }
    return live;
  }

  /** Merges one update; returns whether it changed the state of the instance. */
  merge(word: InstanceUpdate): boolean {
    const present = this.instances.get(word.id);
    if (!present || word.incarnation > present.record.incarnation) return this.addFirst(word);
    if (word.incarnation < present.record.incarnation) return false;
    if (word.state <= present.state) return this.refresh(present, word);
    this.put({
      ...present,
      state: word.state,
      source: word.source,
      reclaimAt: this.getTakenAt(word) ?? present.reclaimAt,
    });
    return true;
  }

  /** Merges a complete list: an update of each instance that it contains, and an absence of each other instance. */
  mergeList(records: readonly InstanceRecord[]): void {
    // An empty list while instances are known indicates a fault of the list, not the loss of all instances.
    if (records.length === 0) return;
    const named = new Set<string>();
    for (const record of records) {
      named.add(record.id);
      this.merge({ ...record, source: UpdateSource.List, record });
      const view = this.instances.get(record.id);
      if (view && view.missedLists > 0) this.put({ ...view, missedLists: 0 });
    }
    for (const view of this.instances.values()) {
      if (!named.has(view.record.id)) this.addAbsence(view);
    }
    this.forgetGone();
  }

  private addFirst(word: InstanceUpdate): boolean {
    if (!word.record) {
      const known = this.pending.get(word.id)?.word;
      const isNewer = !known || word.incarnation > known.incarnation || word.state > known.state;
      if (isNewer) this.pending.set(word.id, { word, heardAt: this.clock.getTime() });
      return false;
    }
    this.put({
      record: word.record,
      state: word.state,
      source: word.source,
      reclaimAt: this.getTakenAt(word),
      missedLists: 0,
    });
    const waiting = this.pending.get(word.id);
    this.pending.delete(word.id);
    if (waiting) this.merge(waiting.word);
    return true;
  }

  private refresh(present: InstanceStatus, word: InstanceUpdate): boolean {
    const isSooner = word.remaining !== undefined && present.reclaimAt === undefined;
    if (isSooner) this.instances.set(word.id, { ...present, reclaimAt: this.getTakenAt(word) });
    return false;
  }

  private addAbsence(view: InstanceStatus): void {
    const absences = view.missedLists + 1;
    const next = { ...view, missedLists: absences };
    if (absences === absencesUntilIgnored) this.put(next);
    else this.instances.set(view.record.id, next);
  }

  private put(view: InstanceStatus): void {
    this.instances.set(view.record.id, view);
    if (view.state === InstanceState.Gone) this.goneAt.set(view.record.id, this.clock.getTime());
    else this.goneAt.delete(view.record.id);
    for (const listener of this.listeners) listener(view);
  }

  private getTakenAt(word: InstanceUpdate): number | undefined {
    return word.remaining === undefined ? undefined : this.clock.getTime() + word.remaining;
  }

  private forgetGone(): void {
    const limit = this.clock.getTime() - goneKept;
    for (const [id, time] of this.goneAt) {
      // While the list still contains the instance, forgetting it would bring it back as live.
      if (time > limit || this.instances.get(id)?.missedLists === 0) continue;
      this.goneAt.delete(id);
      this.instances.delete(id);
    }
    for (const [id, word] of this.pending) {
      if (word.heardAt <= limit) this.pending.delete(id);
    }
  }
}

/** Returns whether an instance accepts new work. */
export function isUsable(view: InstanceStatus): boolean {
  return view.state === InstanceState.Live && view.missedLists < absencesUntilIgnored;
}
