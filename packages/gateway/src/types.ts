/**
 * Data shapes of the gateway, and the interfaces of the platform it runs on. All durations are milliseconds.
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Failure } from "@gladewall/kernel";
import type { Result } from "ts-results-es";
import type { StoreEras, StorePosition } from "./storeEras.js";

/** What may be done again with a request of a route. */
export enum RouteKind {
  /** May run more than once. */
  Safe = 1,
  /** Runs at most once. */
  Unsafe = 2,
  /** Answers with events; repeated only where the route says that it can be resumed. */
  Stream = 3,
}

/** A service that a route sends a share of its requests to. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** One route of the configuration. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Longest time a request may be held. */
  readonly timeoutMs: number;
  /** Time within which an answer has its full worth. */
  readonly latencyObjectiveMs: number;
  /** Longest pause between events at which a stream has its full worth; undefined where nothing is said. */
  readonly eventGapObjectiveMs: number | undefined;
  /** Endpoints that one request may run on. */
  readonly attempts: number;
  /** Rank; 0 is the highest. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  readonly isResumable: boolean;
}

/** Model engine behind a service. */
export interface EngineLimits {
  /** Requests that run at once. */
  readonly slots: number;
  /** Tokens that its memory holds. */
  readonly tokenCapacity: number;
}

/** How many endpoints of a service may be ordered. */
export interface ScalingLimits {
  /** Fewest and most endpoints of one data hall, both price classes together. */
  readonly min: number;
  readonly max: number;
  /** Time from an order until an endpoint serves. */
  readonly bootMs: number;
  /** Price of a reclaimable endpoint, as a share of an on-demand one. */
  readonly reclaimablePrice: number;
  /** Relative price by data hall. */
  readonly hallPrices: ReadonlyMap<string, number>;
}

/** A service of the configuration. */
export interface Service {
  readonly name: string;
  readonly maxConnections: number;
  readonly engine: EngineLimits | undefined;
  readonly scaling: ScalingLimits | undefined;
}

/** Unit that a workspace's rate is counted in. */
export enum QuotaUnit {
  Requests = 1,
  Tokens = 2,
}

/** A workspace of the configuration. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Rank before that of the route; 0 is the highest. */
  readonly priority: number;
  readonly unit: QuotaUnit;
  /** Tokens that a request counts for that names none. */
  readonly defaultTokenCost: number;
  /** 0: no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Bounds on what a client may send. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The operators' configuration. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  /** Empty where requests carry no keys. */
  readonly workspaces: readonly Workspace[];
  readonly limits: ClientLimits;
}

/** An endpoint as it records itself. */
export interface EndpointRecord {
  /** Name of the endpoint; a later life may have it again. */
  readonly id: string;
  /** Unix milliseconds of the start of this life; undefined where the record does not say. */
  readonly born?: number | undefined;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly hall: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  readonly isReclaimable: boolean;
}

/** An item of the platform's store. */
export interface StoreItem {
  readonly key: string;
  readonly value: Uint8Array;
  /** Counts within the era in which the item was read. */
  readonly revision: number;
  /** Handle of the lease that it goes with; undefined where it has none. */
  readonly lease?: string | undefined;
}

/** What a read showed. */
export interface StoreReading {
  /** Undefined where the key is absent. */
  readonly item: StoreItem | undefined;
  readonly era: number;
}

/** A change of the store; `value` is undefined where the item is gone. */
export interface StoreEvent {
  readonly key: string;
  readonly revision: number;
  readonly value: Uint8Array | undefined;
}

/** All items under a prefix; pages do not form a snapshot, so events from `position` on may repeat some. */
export interface StoreListing {
  readonly items: readonly StoreItem[];
  readonly position: StorePosition;
}

/** What a watch brought. The next one continues from `position`. */
export interface StoreChanges {
  readonly events: readonly StoreEvent[];
  readonly position: StorePosition;
}

/** A write under conditions: all of it is done or nothing. */
export interface StoreTransaction {
  /** Revisions that must hold; 0: the key is absent. */
  readonly expected: readonly { readonly key: string; readonly revision: number }[];
  readonly put: readonly {
    readonly key: string;
    readonly value: Uint8Array;
    readonly lease?: string | undefined;
  }[];
  readonly remove: readonly string[];
}

/**
 * The platform's store. Failures: `ServiceUnavailable` where a call cannot have taken effect, `ServiceAnswerLost`
 * where it may have, `ServiceConflict` where a condition did not hold, `HistoryLost` where a watch must start over,
 * `LeaseLost` where a lease is over. An answer of an era that is over counts as lost, and so does that of a transaction
 * which was sent in one era and done in another; a lease of an earlier era is over, whoever has its number now.
 */
export interface MetadataStore {
  /** Eras, as the answers tell them. */
  readonly eras: StoreEras;
  read(key: string): Promise<Result<StoreReading, Failure>>;
  list(prefix: string): Promise<Result<StoreListing, Failure>>;
  watch(
    prefix: string,
    since: StorePosition,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<StoreChanges, Failure>>;
  transact(transaction: StoreTransaction): Promise<Result<StorePosition, Failure>>;
  /** Grants a lease; returns its handle. */
  grantLease(ttlMs: number): Promise<Result<string, Failure>>;
  renewLease(lease: string): Promise<Result<void, Failure>>;
  releaseLease(lease: string): Promise<Result<void, Failure>>;
  close(): Promise<void>;
}

/** Part of a prompt that several requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller says in its headers. */
export interface CallerRequestHead {
  readonly id: string;
  /** Time that the caller will wait; undefined where it does not say. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  /** Tokens of the prompt and most tokens out; undefined where it does not say. */
  readonly promptTokens: number | undefined;
  readonly outputTokens: number | undefined;
  readonly parts: readonly PromptPart[];
  /** Last event that the caller has; undefined where it starts from the beginning. */
  readonly lastEventId: string | undefined;
}

/** What the gateway says to an endpoint beside the caller's own headers. */
export interface DispatchHead {
  readonly endpointId: string;
  readonly workspace: string | undefined;
  readonly deadlineMs: number;
  /** 0 to 9, 0 first; undefined where the service has no order of its own. */
  readonly urgency: number | undefined;
  /** Event after which the run goes on. */
  readonly lastEventId: string | undefined;
}

/** What an answer's head says. */
export enum ExecutionStatus {
  /** The endpoint ran the request. */
  Ran = 1,
  /** The endpoint did not run it and never will. */
  NotRun = 2,
  /** Another endpoint has the address now. Nothing ran. */
  WrongEndpoint = 3,
  /** It belongs to another request, or to nobody. */
  Mismatched = 4,
}

/** Load that an endpoint tells with an answer. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What an endpoint says of itself with an answer, whatever it answers to the request. */
export interface EndpointNotice {
  /** Whether it leaves. */
  readonly isLeaving: boolean;
  /** Milliseconds for which it wants no request from this instance; undefined where it names no time. */
  readonly holdOffMs: number | undefined;
  /** Text of a time that could not be read. */
  readonly unreadableTime?: string | undefined;
}

/** How many requests a second an endpoint in need takes of all instances together. */
export interface AdvertisedLimit {
  /** Undefined where the word can't be read. */
  readonly perSecond: number | undefined;
  /** Text of a word that could not be read. */
  readonly unreadable?: string | undefined;
}

/** An answer's head, read. */
export interface ResponseHead {
  readonly executionStatus: ExecutionStatus;
  readonly load: EndpointLoad | undefined;
  /** Undefined where the endpoint says nothing of itself, or where the answer is not this endpoint's. */
  readonly notice: EndpointNotice | undefined;
  /** Undefined where the endpoint names no limit, or where the answer is not this endpoint's. */
  readonly limit?: AdvertisedLimit | undefined;
}

/** How callers speak. */
export interface CallerProtocol {
  readonly readinessPath: string;
  /** Fails with `BadRequest`. */
  readHead(headers: IncomingHttpHeaders): Result<CallerRequestHead, Failure>;
  /** Headers of an answer of our own: name, value, name, value, … */
  createGatewayHeaders(requestId: string | undefined): string[];
}

/** How endpoints are spoken to. */
export interface EndpointProtocol {
  /** Headers of a request from those of the caller; both are name, value, name, value, … */
  createHeaders(callerHeaders: readonly string[], dispatch: DispatchHead): string[];
  readResponseHead(requestId: string, status: number, headers: IncomingHttpHeaders): ResponseHead;
}

/** Who gives an order. */
export interface OrderSender {
  readonly holder: string;
  readonly fence: number;
}

/** Runs that began in one window, by workspace. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** How many endpoints of one price class a data hall should have. */
export interface CapacityOrder {
  readonly service: string;
  readonly hall: string;
  readonly desired: number;
  readonly isReclaimable: boolean;
}

/** What became of an order. */
export enum OrderOutcome {
  Taken = 1,
  /** None of that class is to be had there at present. */
  NoneAvailable = 2,
}

/**
 * The platform's interface for orders. Failures: `ServiceUnavailable`, `ServiceAnswerLost`, and `FenceOutdated` where a
 * higher fence has been used for the same matter.
 */
export interface OrderService {
  reportUsage(report: UsageReport, sender: OrderSender): Promise<Result<OrderOutcome, Failure>>;
  orderCapacity(order: CapacityOrder, sender: OrderSender): Promise<Result<OrderOutcome, Failure>>;
  close(): Promise<void>;
}

/** Everything the gateway needs of a platform; plug-ins of kind `Platform` create one. */
export interface PlatformAdapter {
  readonly store: MetadataStore;
  readonly orders: OrderService;
  readonly callers: CallerProtocol;
  readonly endpoints: EndpointProtocol;
  readonly configurationKey: string;
  readonly endpointPrefix: string;
  decodeConfiguration(value: Uint8Array): Result<ServingConfiguration, Failure>;
  decodeEndpoint(key: string, value: Uint8Array): Result<EndpointRecord, Failure>;
}

/** Options that platform plug-ins are created with. */
export interface PlatformOptions {
  readonly storeAddress: string;
  readonly ordersAddress: string;
  /** Longest time of a call. */
  readonly timeoutMs: number;
}
