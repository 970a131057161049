/**
 * This instance's single view of all endpoints, merged from their records, their responses, peers' reports and connection
 * attempts.
 *
 * Once an incarnation is known to be leaving, from whatever source, no record or listing reverts that; the next incarnation under
 * the same id starts with a clean state. A removed record means that the endpoint is leaving, unless the store was failing or was
 * restored from a snapshot without the record: records then disappear by themselves, so the endpoint stays in use.
 * @module
 */
import { type Clock, type Closeable, type Logger } from "@gladewall/kernel";
import { Endpoint, EndpointState, getIncarnation, getEndpointId } from "./endpoint.js";
import { EndpointAvailability, AvailabilityCache, LeavingSource } from "./endpointAvailability.js";
import { RemovedIncarnations } from "./removedIncarnations.js";
import { isSameOrigin } from "../origins/streamOrigin.js";
import { PrefixFollower, type Removal, RemovalCause } from "../store/prefixFollower.js";
import type { EndpointNotice, EndpointRecord, PlatformAdapter, StoreItem } from "../types.js";

/** Options of a directory. */
export interface EndpointDirectoryOptions {
  readonly platform: PlatformAdapter;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Milliseconds since a call to the store last failed. */
  readonly getTimeSinceTrouble: () => number;
  /** Longest time that one watch call on the records stays open; milliseconds. */
  readonly watchWaitMs: number;
  /** Delay between the first listing and the first watch; milliseconds. */
  readonly firstWatchPauseMs?: number;
  /** Time for which an endpoint stays in use after its record vanished while the store was failing; milliseconds. */
  readonly unlistedMs: number;
}

/** Identifies the response that carried a notice, for the log. */
export interface ResponseReference {
  readonly requestId: string;
  readonly status: number;
}

/** A failure of the store within this time explains that a record vanished. */
const storeFailureWindowMs = 3_000;
/**
 * Running endpoints rewrite records that expired during a store failure within two seconds of its recovery; an endpoint whose
 * record is still missing after this time is gone.
 */
const relistWithinMs = 2_200;
/** Longest time for which endpoints stay in use after their records vanished together, however long the store fails. */
const maxUnlistedMs = 5_000;
/**
 * Share of all endpoints that only a store failure removes together. It is not applied to each service alone, because a service
 * of four endpoints loses half with two, and those would stay in use beyond the drain time.
 */
const massRemovalShare = 0.5;

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | undefined>>;

const leavingCauses: Readonly<Record<LeavingSource, string>> = {
  [LeavingSource.Record]: "record",
  [LeavingSource.Answer]: "announced in a response",
  [LeavingSource.Peer]: "announced to a peer",
  [LeavingSource.Successor]: "replaced",
};

/** All endpoints, by id and by service. */
export class EndpointDirectory implements Closeable {
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly byService = new Map<string, Endpoint[]>();
  readonly follower: PrefixFollower;
  /** Availability of incarnations, kept also while they have no record. */
  readonly availabilities: AvailabilityCache;
  /** Incarnations whose records were removed. */
  private readonly removed: RemovedIncarnations;
  private readonly additionListeners: ((endpoint: Endpoint) => void)[] = [];
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

  /** Whether the records have been listed at least once. */
  get isListed(): boolean {
    return this.follower.isListed;
  }

  /** Lists the records again; called when the store becomes reachable. */
  restart(): void {
    this.follower.restart();
  }

  /** Endpoints of a service, including those that are leaving. */
  getOfService(service: string): readonly Endpoint[] {
    return this.byService.get(service) ?? [];
  }

  /** Milliseconds until the first usable endpoint of a service accepts requests of this instance; 0 if the service has none. */
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

  /** Returns an endpoint by its incarnation. */
  find(incarnation: string): Endpoint | undefined {
    const endpoint = this.endpoints.get(getEndpointId(incarnation)) ?? this.endpoints.get(incarnation);
    return endpoint?.incarnation === incarnation ? endpoint : undefined;
  }

  getAll(): Iterable<Endpoint> {
    return this.endpoints.values();
  }

  /** Calls back when an endpoint is added to the directory. */
  onAdded(listener: (endpoint: Endpoint) => void): void {
    this.additionListeners.push(listener);
  }

  /** Calls back when an endpoint is removed from the directory. */
  onRemoved(listener: (endpoint: Endpoint) => void): void {
    this.removalListeners.push(listener);
  }

  /** Calls back once with each incarnation that has announced in a response to this instance that it is leaving. */
  onLeavingAnnounced(listener: (incarnation: string) => void): void {
    this.leavingListeners.push(listener);
  }

  /** Handles a response which shows that another endpoint has this one's address, so that this one has stopped. */
  handleReplaced({ incarnation }: Endpoint): void {
    this.markLeaving(incarnation, LeavingSource.Successor);
  }

  /** Handles a peer's report that an incarnation is leaving; returns whether that is new. */
  handlePeerLeaving(incarnation: string, peer: string): boolean {
    return this.markLeaving(incarnation, LeavingSource.Peer, { peer });
  }

  /** Applies the notice of a response: the endpoint is leaving, or names a hold-off. */
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

  /** Lets an endpoint accept no request of this instance for some milliseconds, and few right after it. */
  holdOff(incarnation: string, milliseconds: number): void {
    this.startHoldOff(incarnation, milliseconds, {});
  }

  /** A hold-off applies to this instance alone: sent to peers, it would keep them from an endpoint that still serves them. */
  private startHoldOff(incarnation: string, holdOffMs: number, response: LogFields): void {
    const { clock, logger } = this.options;
    const availability = this.getAvailability(incarnation);
    availability.recordHoldOff(holdOffMs, clock.getTime());
    this.availabilities.touch(incarnation, availability);
    logger.info("endpoint.held-off", { life: incarnation, ...response, forMs: Math.round(holdOffMs) });
  }

  /** Returns the availability of an incarnation; it is kept from the first notice on. */
  getAvailability(key: string): EndpointAvailability {
    return this.find(key)?.availability ?? this.availabilities.find(key) ?? EndpointAvailability.create();
  }

  /**
   * Marks an incarnation as leaving; returns whether that is new. The mark outlasts the request that brought it, because
   * otherwise requests would reach the endpoint long after its notice, while it can't write its record to the store.
   */
  private markLeaving(incarnation: string, source: LeavingSource, fields: LogFields = {}): boolean {
    const { clock, logger } = this.options;
    const time = clock.getTime();
    const endpoint = this.find(incarnation);
    const availability = this.getAvailability(incarnation);
    const isNew = availability.recordLeaving(source, time);
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
      logger.info("endpoint.refused", { key, text: "the record belongs to an earlier incarnation" });
      return;
    }
    if (known && isAnotherProcess(record, known)) {
      this.setState(known, EndpointState.Leaving, "restarted");
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
   * Defers a record of an incarnation whose record was removed before, because a restored snapshot may still hold it. The store
   * expires such a record unless the endpoint is running and renews it, so it is applied only if it is still there later.
   */
  private deferRecord(item: StoreItem): void {
    const { clock, logger } = this.options;
    logger.info("endpoint.passed-over", {
      key: item.key,
      revision: item.revision,
      text: "its record was removed before",
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
    const { id, born, service, softwareVersion, hall, address, isReclaimable } = record;
    const fields = { endpoint: id, born, service, softwareVersion, hall, address, isReclaimable };
    this.options.logger.info("endpoint.added", fields);
    for (const listener of this.additionListeners) listener(endpoint);
    return endpoint;
  }

  private handleRemoved(id: string, { cause, troubleAgeMs: reportedAgeMs }: Removal): void {
    const endpoint = this.endpoints.get(id);
    if (!endpoint) return;
    const { clock, getTimeSinceTrouble } = this.options;
    const troubleAgeMs = reportedAgeMs ?? getTimeSinceTrouble();
    const isLost = cause === RemovalCause.Lost;
    // Only a store failure seen by the reporter of the removal explains it. A failure that another reader saw says nothing
    // about the store, and would keep endpoints that left in use beyond the drain time.
    const isExplained =
      (isLost || troubleAgeMs < storeFailureWindowMs) && endpoint.availability.leavingSource === undefined;
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
      // Only this instance's connection to the store may have failed; the removal then means that the endpoint left.
      if (!isLost && !this.haveManyVanished()) this.removeUnlisted(endpoint);
    });
    this.awaitRelisting(endpoint, clock.getTime() + maxUnlistedMs);
  }

  /** Gives up on a vanished record once the store has worked for as long as running endpoints need to rewrite their records. */
  private awaitRelisting(endpoint: Endpoint, endsAt: number): void {
    const { clock, getTimeSinceTrouble } = this.options;
    const remaining = Math.min(relistWithinMs, endsAt - clock.getTime());
    clock.startTimer(remaining, () => {
      const isStoreHealthy = getTimeSinceTrouble() >= relistWithinMs;
      if (isStoreHealthy || clock.getTime() >= endsAt) this.removeUnlisted(endpoint);
      else this.awaitRelisting(endpoint, endsAt);
    });
  }

  private haveManyVanished(): boolean {
    let unlisted = 0;
    for (const { state } of this.endpoints.values()) unlisted += state === EndpointState.Unlisted ? 1 : 0;
    return unlisted > 1 && unlisted >= this.endpoints.size * massRemovalShare;
  }

  private removeUnlisted(endpoint: Endpoint): void {
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
    if (state === EndpointState.Leaving) endpoint.leavingSince = this.options.clock.getTime();
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

/** Whether a record is not that of the process which a known one is of; what software it runs does not change meanwhile. */
function isAnotherProcess(record: EndpointRecord, { incarnation, record: known }: Endpoint): boolean {
  return getIncarnation(record) !== incarnation || !isSameOrigin(record, known);
}

/** Whether a record belongs to an earlier incarnation than a known one; a record without a start time can't be later. */
function isEarlierIncarnation({ born }: EndpointRecord, known: EndpointRecord): boolean {
  return known.born !== undefined && (born === undefined || born < known.born);
}
