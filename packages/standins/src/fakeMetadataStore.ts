/**
 * Fake of the gateway's metadata store, in memory. Tests can inject the faults of a platform's store: it can be
 * unavailable, lose the responses to writes, return no changes to watches, compact its history, and be restored from a
 * snapshot.
 * @module
 */
import {
  type CallStart,
  formatLeaseHandle,
  isAnsweredAfterRestore,
  type MetadataStore,
  parseLeaseHandle,
  type StoreChanges,
  StoreEras,
  type StoreEvent,
  type StoreItem,
  type StoreListing,
  type StorePosition,
  type StoreReading,
  type StoreTransaction,
} from "@gladewall/gateway";
import { type Clock, Failure, FailureCode, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";

/** Fault that calls meet. */
export enum StoreFault {
  None = 0,
  /** Calls fail without effect. */
  Down = 1,
  /** Writes take effect, and their responses are lost. */
  LosesResponses = 2,
}

/**
 * Timeout of a call, as in the platform's client. A blocking call may exceed its wait by this time, or by its wait if
 * that is shorter.
 */
const callTimeoutMs = 1_200;

/** An item with the store's own id of its lease. */
interface Entry extends StoreItem {
  readonly lease: string | undefined;
}

interface LeaseState {
  readonly ttlMs: number;
  endsAt: number;
}

/** The complete state of a store at one time. */
export interface StoreSnapshot {
  readonly takenAt: number;
  readonly entries: ReadonlyMap<string, Entry>;
  readonly events: readonly StoreEvent[];
  readonly leases: ReadonlyMap<string, LeaseState>;
  readonly counter: number;
  readonly nextLease: number;
}

/** Default time between two checks of a watch. */
const defaultPollMs = 5;

/** State of the store, which all instances of a test share. */
export class SharedStore {
  fault = StoreFault.None;
  /** Whether watches return no changes. */
  hidesChanges = false;
  reads = 0;
  writes = 0;
  readonly entries = new Map<string, Entry>();
  /** Number of the store's era: starts at 1 and increases with each restore. */
  era = 1;
  /** Whether responses report the era. */
  reportsEra = true;
  private events: StoreEvent[] = [];
  private readonly leases = new Map<string, LeaseState>();
  private oldest = 0;
  private counter = 0;
  private nextLease = 1;

  private constructor(
    private readonly clock: Clock,
    /** Milliseconds between two checks of a watch. */
    readonly pollMs: number,
  ) {}

  /** On a virtual clock each check costs iterations of the event loop, so tests of long times set a higher `pollMs`. */
  static create(clock: Clock, pollMs = defaultPollMs): SharedStore {
    return new SharedStore(clock, pollMs);
  }

  /** Era that responses report; undefined if they report none. */
  get reportedEra(): number | undefined {
    return this.reportsEra ? this.era : undefined;
  }

  get revision(): number {
    this.expire();
    return this.counter;
  }

  /** Writes a key unconditionally, as operators and endpoints do; returns the new revision. */
  put(key: string, value: string | Uint8Array, lease?: string): number {
    this.expire();
    this.counter += 1;
    const bytes = typeof value === "string" ? Buffer.from(value) : value;
    this.entries.set(key, { key, value: bytes, revision: this.counter, lease });
    this.events.push({ key, revision: this.counter, value: bytes });
    return this.counter;
  }

  remove(key: string): void {
    if (!this.entries.delete(key)) return;
    this.counter += 1;
    this.events.push({ key, revision: this.counter, value: undefined });
  }

  /** Returns a snapshot of the current state. */
  takeSnapshot(): StoreSnapshot {
    this.expire();
    return {
      takenAt: this.clock.getTime(),
      entries: new Map(this.entries),
      events: [...this.events],
      leases: new Map([...this.leases].map(([lease, state]) => [lease, { ...state }])),
      counter: this.counter,
      nextLease: this.nextLease,
    };
  }

  /** Restores a snapshot in a new era: later writes are lost, and revisions and leases are assigned again. */
  restore({ takenAt, entries, events, leases, counter, nextLease }: StoreSnapshot): void {
    const elapsedMs = this.clock.getTime() - takenAt;
    this.era += 1;
    this.entries.clear();
    for (const [key, entry] of entries) this.entries.set(key, entry);
    this.events = [...events];
    this.leases.clear();
    for (const [lease, { ttlMs, endsAt }] of leases)
      this.leases.set(lease, { ttlMs, endsAt: endsAt + elapsedMs });
    this.counter = counter;
    this.nextLease = nextLease;
  }

  /** Discards all changes so far: watches that continue from an earlier revision fail. */
  compactHistory(): void {
    this.oldest = this.counter;
  }

  /** Grants a lease with a time to live in milliseconds; returns the store's id of it. */
  grant(ttlMs: number): string {
    const lease = String(this.nextLease++);
    this.leases.set(lease, { ttlMs, endsAt: this.clock.getTime() + ttlMs });
    return lease;
  }

  /** Renews a lease; returns false if it has ended. */
  renew(lease: string): boolean {
    this.expire();
    const found = this.leases.get(lease);
    if (!found) return false;
    found.endsAt = this.clock.getTime() + found.ttlMs;
    return true;
  }

  /** Ends a lease and removes its keys. */
  endLease(lease: string): void {
    this.leases.delete(lease);
    for (const { key, lease: held } of [...this.entries.values()]) if (held === lease) this.remove(key);
  }

  /** Ends all leases at once, as a store does after it lost time. */
  endAllLeases(): void {
    for (const lease of [...this.leases.keys()]) this.endLease(lease);
  }

  hasLease(lease: string): boolean {
    this.expire();
    return this.leases.has(lease);
  }

  /** Returns the changes of a prefix after a revision; undefined if that history is compacted. */
  getChanges(prefix: string, since: number): readonly StoreEvent[] | undefined {
    this.expire();
    if (since < this.oldest || since > this.counter) return undefined;
    return this.events.filter((event) => event.revision > since && event.key.startsWith(prefix));
  }

  private expire(): void {
    const time = this.clock.getTime();
    for (const [lease, { endsAt }] of [...this.leases]) if (endsAt <= time) this.endLease(lease);
  }
}

/** One instance's client of the shared state. */
export class FakeMetadataStore implements MetadataStore {
  readonly eras = StoreEras.create();
  /** Delay of responses on their way, in milliseconds. */
  responseDelayMs = 0;
  /** Fault of this instance's calls only. */
  fault = StoreFault.None;
  /** Number of calls of this instance, including refused ones. */
  calls = 0;
  /** Number of watches among them. */
  watches = 0;
  private stalledAt = -Infinity;

  private constructor(
    private readonly shared: SharedStore,
    private readonly clock: Clock,
  ) {}

  static create(shared: SharedStore, clock: Clock): FakeMetadataStore {
    return new FakeMetadataStore(shared, clock);
  }

  /** Lets the current watches return nothing and report no error; new ones work. */
  stallWatches(): void {
    this.stalledAt = this.clock.getTime();
  }

  async read(key: string): Promise<Result<StoreReading, Failure>> {
    this.shared.reads += 1;
    return this.respond(({ era }) => {
      const entry = this.shared.entries.get(key);
      return Ok({ item: entry && createItem(entry, era), era });
    });
  }

  async list(prefix: string): Promise<Result<StoreListing, Failure>> {
    this.shared.reads += 1;
    return this.respond((position) => {
      const entries = [...this.shared.entries.values()].filter(({ key }) => key.startsWith(prefix));
      return Ok({ items: entries.map((entry) => createItem(entry, position.era)), position });
    });
  }

  async watch(
    prefix: string,
    since: StorePosition,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<StoreChanges, Failure>> {
    const startedAt = this.clock.getTime();
    const endsAt = startedAt + waitMs;
    const timesOutAt = endsAt + Math.min(callTimeoutMs, waitMs);
    this.calls += 1;
    this.watches += 1;
    const start = this.eras.startCall();
    const failure = Failure.create(FailureCode.HistoryLost, { revision: since.revision });
    if (since.era !== this.eras.current) return Err(failure);
    for (;;) {
      if (signal.aborted || this.hasFault(StoreFault.Down)) return Err(createUnavailable());
      if (startedAt <= this.stalledAt) {
        if (this.clock.getTime() >= timesOutAt) return Err(createUnavailable());
        await waitFor(this.clock, this.shared.pollMs, signal);
        continue;
      }
      const events = this.shared.hidesChanges ? [] : this.shared.getChanges(prefix, since.revision);
      const isOver = !events || events.length > 0 || this.clock.getTime() >= endsAt;
      if (isOver) {
        const revision = events?.at(-1)?.revision ?? this.shared.revision;
        const position = this.place(start, revision);
        if (!position) return Err(createOutdatedEra());
        return events && position.era === since.era ? Ok({ events, position }) : Err(failure);
      }
      await waitFor(this.clock, this.shared.pollMs, signal);
    }
  }

  async transact(transaction: StoreTransaction): Promise<Result<StorePosition, Failure>> {
    this.shared.writes += 1;
    const isOver = transaction.put.some(({ lease }) => lease !== undefined && this.isLeaseOver(lease));
    if (isOver) return Err(Failure.create(FailureCode.LeaseLost, { lease: "" }));
    return this.respond((_, start) => {
      const failure = this.apply(transaction);
      const position = { era: this.eras.current, revision: this.shared.revision };
      if (isAnsweredAfterRestore(start, position)) return Err(createOutdatedEra());
      if (failure) return Err(failure);
      return this.losesResponses() ? Err(Failure.create(FailureCode.ServiceAnswerLost)) : Ok(position);
    });
  }

  private apply({ expected, put, remove }: StoreTransaction): Failure | undefined {
    for (const { key, revision } of expected) {
      const present = this.shared.revision >= 0 ? (this.shared.entries.get(key)?.revision ?? 0) : 0;
      if (present !== revision) return Failure.create(FailureCode.ServiceConflict, { key });
    }
    for (const { key, value, lease } of put) {
      const id = lease === undefined ? undefined : parseLeaseHandle(lease).id;
      if (id !== undefined && !this.shared.hasLease(id)) {
        return Failure.create(FailureCode.LeaseLost, { lease: id });
      }
      this.shared.put(key, value, id);
    }
    for (const key of remove) this.shared.remove(key);
    return undefined;
  }

  async grantLease(ttlMs: number): Promise<Result<string, Failure>> {
    return this.respond(({ era }) => Ok(formatLeaseHandle({ era, id: this.shared.grant(ttlMs) })));
  }

  async renewLease(lease: string): Promise<Result<void, Failure>> {
    const failure = Failure.create(FailureCode.LeaseLost, { lease });
    if (this.isLeaseOver(lease)) return Err(failure);
    const kept = await this.respond(() => Ok(this.shared.renew(parseLeaseHandle(lease).id)));
    if (this.isLeaseOver(lease)) return Err(failure);
    return kept.andThen((isKept) => (isKept ? Ok(undefined) : Err(failure)));
  }

  async releaseLease(lease: string): Promise<Result<void, Failure>> {
    if (this.isLeaseOver(lease)) return Ok(undefined);
    return this.respond(() => Ok(this.shared.endLease(parseLeaseHandle(lease).id)));
  }

  async close(): Promise<void> {
    this.fault = StoreFault.Down;
  }

  /** Whether a lease handle is of another era than the current one. */
  private isLeaseOver(lease: string): boolean {
    return parseLeaseHandle(lease).era !== this.eras.current;
  }

  /** Executes a call and delays its response; returns the response if it is still of the current era then. */
  private async respond<T>(
    act: (position: StorePosition, start: CallStart) => Result<T, Failure>,
  ): Promise<Result<T, Failure>> {
    this.calls += 1;
    const start = this.eras.startCall();
    if (this.hasFault(StoreFault.Down)) return Err(createUnavailable());
    const { responseDelayMs } = this;
    const reportedEra = this.shared.reportedEra;
    if (responseDelayMs === 0) {
      const position = this.place(start, this.shared.revision, reportedEra);
      return position ? act(position, start) : Err(createOutdatedEra());
    }
    const { revision } = this.shared;
    const result = act({ era: reportedEra ?? start.era, revision }, start);
    await waitFor(this.clock, responseDelayMs);
    return this.place(start, revision, reportedEra) ? result : Err(createOutdatedEra());
  }

  /** Returns the position of a response; undefined if the response is discarded because of its era. */
  private place(
    start: CallStart,
    revision: number,
    reportedEra = this.shared.reportedEra,
  ): StorePosition | undefined {
    const era = this.eras.acceptEra(start, { era: reportedEra });
    return era === undefined ? undefined : this.eras.acceptRevision(start, era, revision);
  }

  private hasFault(fault: StoreFault): boolean {
    return this.fault === fault || this.shared.fault === fault;
  }

  private losesResponses(): boolean {
    return this.hasFault(StoreFault.LosesResponses);
  }
}

function createItem({ key, value, revision, lease }: Entry, era: number): StoreItem {
  const item = { key, value, revision };
  return lease === undefined ? item : { ...item, lease: formatLeaseHandle({ era, id: lease }) };
}

function createOutdatedEra(): Failure {
  return Failure.create(FailureCode.ServiceAnswerLost, { detail: "not of the store's current era" });
}

function createUnavailable(): Failure {
  return Failure.create(FailureCode.ServiceUnavailable, { detail: "the fake store is down" });
}
