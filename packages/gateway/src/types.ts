/**
 * Data types of the gateway, and the interfaces of the platform that it runs on. All durations are in milliseconds.
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Failure } from "@gladewall/kernel";
import type { EndpointLoad } from "@gladewall/policy";
import type { Result } from "ts-results-es";
import type { StoreEras, StorePosition } from "./store/storeEras.js";

export type { EndpointLoad } from "@gladewall/policy";

/** Whether a request of a route may be run again. */
export enum RouteKind {
  /** May run more than once. */
  Safe = 1,
  /** Runs at most once. */
  Unsafe = 2,
  /** Responds with a stream of events; run again only if the route is resumable. */
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
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Longest time from a request's arrival to its final response. */
  readonly timeoutMs: number;
  /** Latency objective: time within which the response should be received. */
  readonly latencyObjectiveMs: number;
  /** Objective for the longest pause between the events of a stream; undefined if none is configured. */
  readonly eventGapObjectiveMs: number | undefined;
  /** Largest number of endpoints that one request may run on. */
  readonly attempts: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  readonly isResumable: boolean;
}

/** Limits of the model engine behind a service. */
export interface EngineLimits {
  /** Number of requests that run concurrently. */
  readonly slots: number;
  /** Number of tokens that its cache holds. */
  readonly tokenCapacity: number;
}

/** How many endpoints of a service may be ordered. */
export interface ScalingLimits {
  /** Minimum and maximum number of endpoints in one data hall, both price classes together. */
  readonly min: number;
  readonly max: number;
  /** Time from an order until the endpoint serves requests. */
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
  /** Rank, which takes precedence over that of the route; 0 is the most urgent. */
  readonly priority: number;
  readonly unit: QuotaUnit;
  /** Tokens charged for a request that does not state its number of tokens. */
  readonly defaultTokenCost: number;
  /** Units per second; 0 means that there is no limit. */
  readonly ratePerSecond: number;
  /** Units that may be taken at once. */
  readonly burst: number;
}

/** Limits on what callers may send. */
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
  /** Empty if requests carry no keys. */
  readonly workspaces: readonly Workspace[];
  readonly limits: ClientLimits;
}

/** An endpoint's own record in the store. */
export interface EndpointRecord {
  /** Name of the endpoint; a later incarnation may reuse it. */
  readonly id: string;
  /** Unix milliseconds at which this incarnation started; undefined if the record does not state it. */
  readonly born?: number | undefined;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly hall: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  readonly isReclaimable: boolean;
  /** Version of the endpoint's software, not of a model; undefined if the record does not state it. */
  readonly softwareVersion?: string | undefined;
}

/** An item of the platform's store. */
export interface StoreItem {
  readonly key: string;
  readonly value: Uint8Array;
  /** Revision of the last write, comparable only within the era in which the item was read. */
  readonly revision: number;
  /** Handle of the lease with which the item expires; undefined if it has none. */
  readonly lease?: string | undefined;
}

/** Result of a read. */
export interface StoreReading {
  /** Undefined if the key is absent. */
  readonly item: StoreItem | undefined;
  readonly era: number;
}

/** A change of the store; `value` is undefined if the item was removed. */
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

/** Result of a watch. The next watch continues from `position`. */
export interface StoreChanges {
  readonly events: readonly StoreEvent[];
  readonly position: StorePosition;
}

/** A conditional write, which is applied atomically. */
export interface StoreTransaction {
  /** Revisions that the keys must have; 0 means that the key is absent. */
  readonly expected: readonly { readonly key: string; readonly revision: number }[];
  readonly put: readonly {
    readonly key: string;
    readonly value: Uint8Array;
    readonly lease?: string | undefined;
  }[];
  readonly remove: readonly string[];
}

/**
 * The platform's store. Failures: `ServiceUnavailable` if a call can't have taken effect, `ServiceAnswerLost` if it may
 * have, `ServiceConflict` if a condition was not met, `HistoryLost` if a watch must start over, `LeaseLost` if a lease has
 * ended. A response of a past era counts as lost, and so does that of a transaction that was sent in one era and applied in
 * another. A lease of a past era has ended, even if its number has been granted again.
 */
export interface MetadataStore {
  /** Eras of the store, as its responses report them. */
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

/** Request head of a caller, parsed. */
export interface CallerRequestHead {
  readonly id: string;
  /** Time for which the caller will wait; undefined if it is not stated. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  /** Number of prompt tokens and largest number of output tokens; undefined if they are not stated. */
  readonly promptTokens: number | undefined;
  readonly outputTokens: number | undefined;
  readonly parts: readonly PromptPart[];
  /** Id of the last event that the caller has received; undefined if the stream starts from the beginning. */
  readonly lastEventId: string | undefined;
  /** Id of the request that brought the first event of the stream; undefined if the caller names none. */
  readonly resumes?: string | undefined;
}

/** Values that the gateway sends to an endpoint in addition to the caller's headers. */
export interface DispatchHead {
  readonly endpointId: string;
  readonly workspace: string | undefined;
  readonly deadlineMs: number;
  /** 0 to 9, 0 being the most urgent; undefined if the service does not order requests itself. */
  readonly urgency: number | undefined;
  /** Id of the event after which the stream continues. */
  readonly lastEventId: string | undefined;
}

/** Whether an endpoint ran a request, as stated by its response head. */
export enum ExecutionStatus {
  /** The endpoint ran the request. */
  Ran = 1,
  /** The endpoint did not run it and never will. */
  NotRun = 2,
  /** The address now belongs to another endpoint. Nothing ran. */
  WrongEndpoint = 3,
  /** The response belongs to another request or to none. */
  Mismatched = 4,
}

/** What an endpoint reports about its availability with a response, independent of the request's result. */
export interface EndpointNotice {
  /** Whether the endpoint is leaving. */
  readonly isLeaving: boolean;
  /** Milliseconds for which the endpoint wants no requests from this instance; undefined if it states no time. */
  readonly holdOffMs: number | undefined;
  /** Text of a time that could not be parsed. */
  readonly unreadableTime?: string | undefined;
}

/** Limit that an overloaded endpoint advertises: requests per second that it accepts from all instances together. */
export interface AdvertisedLimit {
  /** Undefined if the advertised value can't be parsed. */
  readonly perSecond: number | undefined;
  /** Text of a value that could not be parsed. */
  readonly unreadable?: string | undefined;
}

/** Head of an endpoint's response, parsed. */
export interface ResponseHead {
  readonly executionStatus: ExecutionStatus;
  /** Undefined if the endpoint reports none, or if the response is not this endpoint's. */
  readonly load: EndpointLoad | undefined;
  /** Undefined if the endpoint reports nothing about itself, or if the response is not this endpoint's. */
  readonly notice: EndpointNotice | undefined;
  /** Undefined if the endpoint advertises no limit, or if the response is not this endpoint's. */
  readonly limit?: AdvertisedLimit | undefined;
  /** Refusals a second that the endpoint bears, as it announces; undefined if it announces none. */
  readonly refusalLimit?: number | undefined;
}

/** Protocol between callers and the gateway. */
export interface CallerProtocol {
  readonly readinessPath: string;
  /** Fails with `BadRequest`. */
  readHead(headers: IncomingHttpHeaders): Result<CallerRequestHead, Failure>;
  /** Returns the headers of the gateway's own responses: name, value, name, value, … */
  createGatewayHeaders(requestId: string | undefined): string[];
}

/** Protocol between the gateway and endpoints. */
export interface EndpointProtocol {
  /** Returns the headers of a request to an endpoint, made from the caller's; both are name, value, name, value, … */
  createHeaders(callerHeaders: readonly string[], dispatch: DispatchHead): string[];
  readResponseHead(requestId: string, status: number, headers: IncomingHttpHeaders): ResponseHead;
}

/** Sender of an order: the leader's name and its fencing token. */
export interface OrderSender {
  readonly holder: string;
  readonly fence: number;
}

/** Number of runs that began in one window, by workspace. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** Desired number of endpoints of one price class in a data hall. */
export interface CapacityOrder {
  readonly service: string;
  readonly hall: string;
  readonly desired: number;
  readonly isReclaimable: boolean;
}

/** Result of an order. */
export enum OrderOutcome {
  Taken = 1,
  /** No endpoint of that price class is available in the data hall at present. */
  NoneAvailable = 2,
}

/**
 * The platform's interface for orders. Failures: `ServiceUnavailable`, `ServiceAnswerLost`, and `FenceOutdated` if a higher
 * fencing token has been used for the same matter.
 */
export interface OrderService {
  reportUsage(report: UsageReport, sender: OrderSender): Promise<Result<OrderOutcome, Failure>>;
  orderCapacity(order: CapacityOrder, sender: OrderSender): Promise<Result<OrderOutcome, Failure>>;
  close(): Promise<void>;
}

/** Everything that the gateway needs from a platform; created by plug-ins of kind `Platform`. */
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

/** Options of platform plug-ins. */
export interface PlatformOptions {
  readonly storeAddress: string;
  readonly ordersAddress: string;
  /** Timeout of a call. */
  readonly timeoutMs: number;
}
