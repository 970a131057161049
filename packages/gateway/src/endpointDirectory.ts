/**
 * The one view of endpoints, merged from their own records, their answers, peers' words, and attempts to reach them.
 *
 * A life's word that it leaves, wherever it comes from, is never undone, by no record or listing either; the next life of the
 * same id begins with nothing. A record that vanishes means that the endpoint leaves, unless the store was in trouble, or came
 * back from a copy without it: then records vanish by themselves, and the endpoint is used on.
 * @module
 */
import { type Clock, type Closeable, type Logger } from "@gladewall/kernel";
import { Endpoint, EndpointState, getIncarnation, getEndpointId } from "./endpoint.js";
import { EndpointAvailability, AvailabilityCache, LeavingSource } from "./endpointAvailability.js";
import { RemovedIncarnations } from "./removedIncarnations.js";
import { PrefixFollower, type Removal, RemovalCause } from "./prefixFollower.js";
import type { EndpointNotice, EndpointRecord, PlatformAdapter, StoreItem } from "./types.js";

/** Options of a directory. */
export interface EndpointDirectoryOptions {
  readonly platform: PlatformAdapter;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Milliseconds since the store was last in trouble. */
  readonly getTimeSinceTrouble: () => number;
  /** Longest time of a watch of the records; milliseconds. */
  readonly watchWaitMs: number;
  /** Time between the first listing and the first watch; milliseconds. */
  readonly firstWatchPauseMs?: number;
  /** Time for which an endpoint is used on whose record vanished in the store's trouble; milliseconds. */
  readonly unlistedMs: number;
}

/** The answer that brought a word. */
export interface ResponseReference {
  readonly requestId: string;
  readonly status: number;
}

/** Trouble of the store within this time explains that a record vanished. */
const troubleWindowMs = 3_000;
/**
 * Records that lapsed while the store was in trouble are written again within two seconds of its return, by those
 * endpoints that live; one that is still missing after this long is gone.
 */
const relistWithinMs = 2_200;
/** Longest time that endpoints are used on whose records vanished together, however long the trouble lasts. */
const maxUnlistedMs = 5_000;
/**
 * Share of all endpoints that vanish together only by the store's own trouble. Of one service alone it would say too much: a
 * service of four loses half with two, and those would be used beyond the drain time.
 */
const massRemovalShare = 0.5;

/** Fields of a line of the log. */
export type LogFields = Readonly<Record<string, string | number | undefined>>;

const leavingCauses: Readonly<Record<LeavingSource, string>> = {
  [LeavingSource.Record]: "record",
  [LeavingSource.Answer]: "said so in an answer",
  [LeavingSource.Peer]: "said so to a peer",
  [LeavingSource.Successor]: "replaced",
};

/** All endpoints. */
export class EndpointDirectory implements Closeable {
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly byService = new Map<string, Endpoint[]>();
  readonly follower: PrefixFollower;
  /** What endpoints have said of themselves. */
  readonly availabilities: AvailabilityCache;
  /** Lives whose records went. */
  private readonly removed: RemovedIncarnations;
  private readonly removalListeners: ((endpoint: Endpoint) => void)[] = [];
  private readonly leavingListeners: ((incarnation: string) => void)[] = [];

  private constructor(private readonly options: EndpointDirectoryOptions) {
    const { platform, clock, logger } = options;
    this.availabilities = AvailabilityCache.create(clock);
    this.removed = RemovedIncarnations.create(clock);
    this.follower = PrefixFollower.create({
      store: platform.store,
      prefix: platform.endpointPrefix,
      clock,
      logger,
      watchWaitMs: options.watchWaitMs,
      firstWatchPauseMs: options.firstWatchPauseMs,
      listener: {
        handlePut: (item, isRestored) => this.handleRecord(item, isRestored),
        handleRemoved: (key, removal) =>
          this.handleRemoved(key.slice(platform.endpointPrefix.length), removal),
      },
    });
  }

  static create(options: EndpointDirectoryOptions): EndpointDirectory {
    return new EndpointDirectory(options);
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

  /** Endpoints of a service, those that leave too. */
  getOfService(service: string): readonly Endpoint[] {
    return this.byService.get(service) ?? [];
  }

  /** Milliseconds until some usable endpoint of a service wants requests of this instance; 0 where there is none. */
  getShortestWaitMs(service: string): number {
    const time = this.options.clock.getTime();
    const usable = this.getOfService(service).filter((endpoint) => endpoint.isUsable());
    return usable.length === 0
      ? 0
      : Math.min(...usable.map(({ availability }) => availability.getWaitMs(time)));
  }

  get(id: string): Endpoint | undefined {
    return this.endpoints.get(id);
  }

  /** Returns an endpoint by its life. */
  find(incarnation: string): Endpoint | undefined {
    const endpoint = this.endpoints.get(getEndpointId(incarnation)) ?? this.endpoints.get(incarnation);
    return endpoint?.incarnation === incarnation ? endpoint : undefined;
  }

  getAll(): Iterable<Endpoint> {
    return this.endpoints.values();
  }

  /** Calls back when an endpoint is forgotten. */
  onRemoved(listener: (endpoint: Endpoint) => void): void {
    this.removalListeners.push(listener);
  }

  /** Calls back with a life that has said in an answer to this instance that it leaves, once. */
  onLeavingAnnounced(listener: (incarnation: string) => void): void {
    this.leavingListeners.push(listener);
  }

  /** Takes an answer's word that the endpoint has ended and another has its address. */
  handleReplaced({ incarnation }: Endpoint): void {
    this.markLeaving(incarnation, LeavingSource.Successor);
  }

  /** Takes a peer's word that a life leaves; returns whether it is new. */
  handlePeerLeaving(incarnation: string, peer: string): boolean {
    return this.markLeaving(incarnation, LeavingSource.Peer, { peer });
  }

  /** Takes what an endpoint says of itself with an answer. */
  handleNotice(
    { incarnation }: Endpoint,
    notice: EndpointNotice,
    { requestId, status }: ResponseReference,
  ): void {
    const { isLeaving, holdOffMs, unreadableTime } = notice;
    const response = { request: requestId, status };
    if (unreadableTime !== undefined) {
      this.options.logger.warn("endpoint.time-unreadable", {
        life: incarnation,
        ...response,
        text: unreadableTime,
      });
    }
    if (holdOffMs !== undefined) this.startHoldOff(incarnation, holdOffMs, response);
    if (!isLeaving || !this.markLeaving(incarnation, LeavingSource.Answer, response)) return;
    for (const listener of this.leavingListeners) listener(incarnation);
  }

  /** Binds this instance alone: told to peers, it would take away what the endpoint still gives them. */
  private startHoldOff(incarnation: string, holdOffMs: number, response: LogFields): void {
    const { clock, logger } = this.options;
    const availability = this.getAvailability(incarnation);
    availability.noteHoldOff(holdOffMs, clock.getTime());
    this.availabilities.touch(incarnation, availability);
    logger.info("endpoint.held-off", { life: incarnation, ...response, forMs: Math.round(holdOffMs) });
  }

  /** Returns the words of a life; they are kept from the first one on. */
  getAvailability(key: string): EndpointAvailability {
    return this.find(key)?.availability ?? this.availabilities.find(key) ?? EndpointAvailability.create();
  }

  /**
   * Takes the word that a life leaves; returns whether it is new. Read for the one request only, it would let
   * requests reach an endpoint long after its word, while it can't write to the store.
   */
  private markLeaving(incarnation: string, source: LeavingSource, fields: LogFields = {}): boolean {
    const { clock, logger } = this.options;
    const time = clock.getTime();
    const endpoint = this.find(incarnation);
    const availability = this.getAvailability(incarnation);
    const isNew = availability.noteLeaving(source, time);
    this.availabilities.touch(incarnation, availability);
    if (!isNew) return false;
    logger.info("endpoint.word", {
      life: incarnation,
      source: LeavingSource[source],
      ...fields,
      state: endpoint && EndpointState[endpoint.state],
      recordAgeMs: endpoint && Math.round(time - endpoint.recordAt),
      unheardMs: Math.round(this.follower.silenceMs),
    });
    if (endpoint) this.setState(endpoint, EndpointState.Leaving, leavingCauses[source]);
    return true;
  }

  async close(): Promise<void> {
    await this.follower.close();
  }

  private handleRecord(item: StoreItem, isRestored: boolean): void {
    const { platform, logger } = this.options;
    const { key, value } = item;
    const decoded = platform.decodeEndpoint(key, value);
    if (decoded.isErr()) {
      logger.error("endpoint.refused", { key, text: decoded.error.text });
      return;
    }
    const record = decoded.value;
    if (isRestored && this.removed.has(getIncarnation(record))) return this.deferRecord(item);
    const known = this.endpoints.get(record.id);
    if (known && isEarlierIncarnation(record, known.record)) {
      logger.info("endpoint.refused", { key, text: "the record is of an earlier life" });
      return;
    }
    if (known && getIncarnation(record) !== known.incarnation) {
      this.setState(known, EndpointState.Leaving, "started again");
      this.forget(known);
    }
    const endpoint = this.endpoints.get(record.id) ?? this.add(record);
    const wasLeaving = endpoint.record.isLeaving;
    endpoint.record = { ...record, isLeaving: record.isLeaving || wasLeaving };
    endpoint.recordAt = this.options.clock.getTime();
    if (record.isLeaving) this.markLeaving(endpoint.incarnation, LeavingSource.Record);
    const { leavingSource } = endpoint.availability;
    if (leavingSource === undefined) return this.setState(endpoint, EndpointState.Ready, "record");
    if (!record.isLeaving) {
      logger.info("endpoint.overruled", {
        life: endpoint.incarnation,
        by: LeavingSource[leavingSource],
        record: "ready",
      });
    }
    this.setState(endpoint, EndpointState.Leaving, leavingCauses[leavingSource]);
  }

  /**
   * Leaves a record aside that is of a life whose record went before, as a copy may have it still: the store drops it unless
   * that endpoint lives and goes on writing it.
   */
  private deferRecord(item: StoreItem): void {
    const { clock, logger } = this.options;
    logger.info("endpoint.passed-over", {
      key: item.key,
      revision: item.revision,
      text: "its record went before",
    });
    clock.startTimer(maxUnlistedMs, () => {
      const present = this.follower.getItem(item.key);
      if (present?.revision === item.revision) this.handleRecord(present, false);
    });
  }

  private add(record: EndpointRecord): Endpoint {
    const endpoint = Endpoint.create(record, this.availabilities.find(getIncarnation(record)));
    this.endpoints.set(record.id, endpoint);
    const group = this.byService.get(record.service) ?? [];
    this.byService.set(record.service, group);
    group.push(endpoint);
    const { id, born, service, hall, address, isReclaimable } = record;
    this.options.logger.info("endpoint.added", { endpoint: id, born, service, hall, address, isReclaimable });
    return endpoint;
  }

  private handleRemoved(id: string, { cause, troubleAgeMs: reportedAgeMs }: Removal): void {
    const endpoint = this.endpoints.get(id);
    if (!endpoint) return;
    const { clock, getTimeSinceTrouble } = this.options;
    const troubleAgeMs = reportedAgeMs ?? getTimeSinceTrouble();
    const isLost = cause === RemovalCause.Lost;
    // Only trouble of whoever brings the word explains it: another reader that the store turned away says nothing of
    // the store, and by its trouble endpoints that left would be used beyond the drain time.
    const isExplained =
      (isLost || troubleAgeMs < troubleWindowMs) && endpoint.availability.leavingSource === undefined;
    if (!isExplained) {
      this.setState(endpoint, EndpointState.Leaving, "record gone", troubleAgeMs);
      this.forgetRemoved(endpoint);
      return;
    }
    this.setState(
      endpoint,
      EndpointState.Unlisted,
      isLost ? "record lost" : "record gone in trouble",
      troubleAgeMs,
    );
    clock.startTimer(this.options.unlistedMs, () => {
      // This instance's own path may have been the trouble: then the record tells of an endpoint that leaves.
      if (!isLost && !this.haveManyVanished()) this.giveUpUnlisted(endpoint);
    });
    this.awaitRelisting(endpoint, clock.getTime() + maxUnlistedMs);
  }

  /** Gives a vanished record up once the store has been well for as long as living endpoints need to come back. */
  private awaitRelisting(endpoint: Endpoint, endsAt: number): void {
    const { clock, getTimeSinceTrouble } = this.options;
    const remaining = Math.min(relistWithinMs, endsAt - clock.getTime());
    clock.startTimer(remaining, () => {
      const isStoreHealthy = getTimeSinceTrouble() >= relistWithinMs;
      if (isStoreHealthy || clock.getTime() >= endsAt) this.giveUpUnlisted(endpoint);
      else this.awaitRelisting(endpoint, endsAt);
    });
  }

  private haveManyVanished(): boolean {
    let unlisted = 0;
    for (const { state } of this.endpoints.values()) unlisted += state === EndpointState.Unlisted ? 1 : 0;
    return unlisted > 1 && unlisted >= this.endpoints.size * massRemovalShare;
  }

  private giveUpUnlisted(endpoint: Endpoint): void {
    if (endpoint.state !== EndpointState.Unlisted) return;
    this.setState(endpoint, EndpointState.Leaving, "not listed again");
    this.forgetRemoved(endpoint);
  }

  private forgetRemoved(endpoint: Endpoint): void {
    this.removed.add(endpoint.incarnation);
    this.forget(endpoint);
  }

  private forget(endpoint: Endpoint): void {
    if (this.endpoints.get(endpoint.id) !== endpoint) return;
    this.endpoints.delete(endpoint.id);
    const { service } = endpoint.record;
    const remaining = this.getOfService(service).filter((other) => other !== endpoint);
    this.byService.set(service, remaining);
    for (const listener of this.removalListeners) listener(endpoint);
  }

  private setState(endpoint: Endpoint, state: EndpointState, cause: string, troubleAgeMs?: number): void {
    if (endpoint.state === state) return;
    endpoint.state = state;
    const { id, record } = endpoint;
    this.options.logger.info("endpoint.state", {
      endpoint: id,
      service: record.service,
      hall: record.hall,
      state: EndpointState[state],
      cause,
      unheardMs: Math.round(this.follower.silenceMs),
      troubleAgeMs: troubleAgeMs && Math.round(troubleAgeMs),
    });
  }
}

/** Whether a record is of a life that ended before a known one began; one that does not say when it began can't be later. */
function isEarlierIncarnation({ born }: EndpointRecord, known: EndpointRecord): boolean {
  return known.born !== undefined && (born === undefined || born < known.born);
}
