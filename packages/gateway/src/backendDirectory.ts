/**
 * The one view of backends, merged from their own records, their answers, and attempts to reach them.
 *
 * An id names one life of one backend: its word that it leaves is never undone. A record that vanishes means that the
 * backend leaves, unless the store was in trouble: then records vanish by themselves, and the backend is used on.
 * @module
 */
import { type Clock, type Closeable, type Logger } from "@gladewall/kernel";
import { Backend, BackendState } from "./backend.js";
import { PrefixFollower } from "./prefixFollower.js";
import type { BackendRecord, PlatformAdapter, StoreItem } from "./types.js";

/** Options of a directory. */
export interface BackendDirectoryOptions {
  readonly platform: PlatformAdapter;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Milliseconds since the store was last in trouble. */
  readonly getTimeSinceTrouble: () => number;
  /** Longest time of a watch of the records; milliseconds. */
  readonly watchWaitMs: number;
  /** Time for which a backend is used on whose record vanished in the store's trouble; milliseconds. */
  readonly unlistedMs: number;
}

/** Trouble of the store within this time explains that a record vanished. */
const troubleWindowMs = 3_000;
/**
 * Records that lapsed while the store was in trouble are written again within two seconds of its return, by those
 * backends that live; one that is still missing after this long is gone.
 */
const relistedWithinMs = 2_200;
/** Longest time that backends are used on whose records vanished together, however long the trouble lasts. */
const longestUnlistedMs = 5_000;
/** Share of a service's backends that vanish only together, by the store's own trouble. */
const togetherShare = 0.5;

/** All backends. */
export class BackendDirectory implements Closeable {
  private readonly backends = new Map<string, Backend>();
  private readonly byService = new Map<string, Backend[]>();
  readonly follower: PrefixFollower;
  private readonly removeListeners: ((backend: Backend) => void)[] = [];

  private constructor(private readonly options: BackendDirectoryOptions) {
    const { platform, clock, logger } = options;
    this.follower = PrefixFollower.create({
      store: platform.store,
      prefix: platform.backendPrefix,
      clock,
      logger,
      watchWaitMs: options.watchWaitMs,
      listener: {
        handlePut: (item) => this.take(item),
        handleRemoved: (key, troubleAgeMs) =>
          this.handleRemoved(
            key.slice(platform.backendPrefix.length),
            troubleAgeMs ?? options.getTimeSinceTrouble(),
          ),
      },
    });
  }

  static create(options: BackendDirectoryOptions): BackendDirectory {
    return new BackendDirectory(options);
  }

  start(): void {
    this.follower.start();
  }

  /** Whether the list has ever been read. */
  get isListed(): boolean {
    return this.follower.isListed;
  }

  /** Lists anew; for when the store comes back. */
  restart(): void {
    this.follower.restart();
  }

  /** Backends of a service, those that leave too. */
  getOfService(service: string): readonly Backend[] {
    return this.byService.get(service) ?? [];
  }

  get(id: string): Backend | undefined {
    return this.backends.get(id);
  }

  getAll(): Iterable<Backend> {
    return this.backends.values();
  }

  /** Calls back when a backend is forgotten. */
  onRemoved(listener: (backend: Backend) => void): void {
    this.removeListeners.push(listener);
  }

  /** Takes an answer's word that the backend has ended and another has its address. */
  handleReplaced(backend: Backend): void {
    this.setState(backend, BackendState.Leaving, "replaced");
  }

  async close(): Promise<void> {
    await this.follower.close();
  }

  private take({ key, value }: StoreItem): void {
    const decoded = this.options.platform.decodeBackend(key, value);
    if (decoded.isErr()) {
      this.options.logger.error("backend.refused", { key, text: decoded.error.text });
      return;
    }
    const record = decoded.value;
    const backend = this.backends.get(record.id) ?? this.add(record);
    const wasLeaving = backend.record.isLeaving;
    backend.record = { ...record, isLeaving: record.isLeaving || wasLeaving };
    const state = backend.record.isLeaving ? BackendState.Leaving : BackendState.Ready;
    this.setState(backend, state, "record");
  }

  private add(record: BackendRecord): Backend {
    const backend = Backend.create(record);
    this.backends.set(record.id, backend);
    const group = this.byService.get(record.service) ?? [];
    this.byService.set(record.service, group);
    group.push(backend);
    const { id, service, zone, address, isReclaimable } = record;
    this.options.logger.info("backend.added", { backend: id, service, zone, address, isReclaimable });
    return backend;
  }

  private handleRemoved(id: string, troubleAgeMs: number): void {
    const backend = this.backends.get(id);
    if (!backend) return;
    const { clock } = this.options;
    // Only trouble of whoever brings the word explains it: another reader that the store turned away says nothing of
    // the store, and by its trouble endpoints that left were used for 4.1 s of a drain time of 3 s (drawn departures).
    const isExplained = troubleAgeMs < troubleWindowMs && !backend.record.isLeaving;
    if (!isExplained) {
      this.setState(backend, BackendState.Leaving, "record gone");
      this.forget(backend);
      return;
    }
    this.setState(backend, BackendState.Unlisted, "record gone in trouble");
    clock.startTimer(this.options.unlistedMs, () => {
      // This node's own path may have been the trouble: then the record tells of a backend that leaves.
      if (!this.haveManyVanished(backend.record.service)) this.endUnlisted(backend);
    });
    this.awaitRelisting(backend, clock.getTime() + longestUnlistedMs);
  }

  /** Gives a vanished record up once the store has been well for as long as living backends need to come back. */
  private awaitRelisting(backend: Backend, endsAt: number): void {
    const { clock, getTimeSinceTrouble } = this.options;
    const left = Math.min(relistedWithinMs, endsAt - clock.getTime());
    clock.startTimer(left, () => {
      const isStoreWell = getTimeSinceTrouble() >= relistedWithinMs;
      if (isStoreWell || clock.getTime() >= endsAt) this.endUnlisted(backend);
      else this.awaitRelisting(backend, endsAt);
    });
  }

  private haveManyVanished(service: string): boolean {
    const group = this.getOfService(service);
    const unlisted = group.filter(({ state }) => state === BackendState.Unlisted).length;
    return unlisted > 1 && unlisted >= group.length * togetherShare;
  }

  private endUnlisted(backend: Backend): void {
    if (backend.state !== BackendState.Unlisted) return;
    this.setState(backend, BackendState.Leaving, "not listed again");
    this.forget(backend);
  }

  private forget(backend: Backend): void {
    if (this.backends.get(backend.id) !== backend) return;
    this.backends.delete(backend.id);
    const { service } = backend.record;
    const left = this.getOfService(service).filter((other) => other !== backend);
    this.byService.set(service, left);
    for (const listener of this.removeListeners) listener(backend);
  }

  private setState(backend: Backend, state: BackendState, cause: string): void {
    if (backend.state === state) return;
    backend.state = state;
    const { id, record } = backend;
    this.options.logger.info("backend.state", {
      backend: id,
      service: record.service,
      zone: record.zone,
      state: BackendState[state],
      cause,
    });
  }
}
