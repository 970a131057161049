/**
 * Fake platform for tests of the gateway: a store in memory, orders collected in a list, and short header names.
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import {
  type ResponseHead,
  ExecutionStatus,
  type EndpointNotice,
  type EndpointLoad,
  type EndpointRecord,
  type CallerRequestHead,
  type CapacityOrder,
  type DispatchHead,
  type AdvertisedLimit,
  type OrderSender,
  type OrderService,
  OrderOutcome,
  type PlatformAdapter,
  type PlatformOptions,
  type PromptPart,
  QuotaUnit,
  type Route,
  RouteKind,
  type Service,
  type ServingConfiguration,
  type Workspace,
  type UsageReport,
} from "@gladewall/gateway";
import { type Clock, Failure, FailureCode, PluginKind, registerPlugin, SystemClock } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { FakeMetadataStore, SharedStore } from "./fakeMetadataStore.js";

/** Name of the plug-in in the settings. The store's address selects the platform of the test. */
export const fakePlatformName = "standin";

const configurationKey = "operator/configuration";
const endpointPrefix = "endpoints/";
/** Tokens of each part of a prompt. */
const partTokens = 100;

/** An order that was accepted, and its sender. */
export interface ReceivedOrder {
  readonly sender: OrderSender;
  readonly usage?: UsageReport;
  readonly capacity?: CapacityOrder;
}

/** Fake order service, which collects the orders of all instances of a test. */
export class FakeOrderService implements OrderService {
  readonly taken: ReceivedOrder[] = [];
  /** Returns the reply to a capacity order. */
  getCapacityOutcome: (order: CapacityOrder) => OrderOutcome = () => OrderOutcome.Taken;
  isDown = false;
  /** Orders with a lower fence are refused. */
  minFence = -Infinity;
  /** Number of orders that were refused because of their fence. */
  refusedCount = 0;

  private constructor() {}

  static create(): FakeOrderService {
    return new FakeOrderService();
  }

  async reportUsage(usage: UsageReport, sender: OrderSender): Promise<Result<OrderOutcome, Failure>> {
    const refusal = this.findRefusal(sender);
    if (refusal) return Err(refusal);
    this.taken.push({ sender, usage });
    return Ok(OrderOutcome.Taken);
  }

  async orderCapacity(capacity: CapacityOrder, sender: OrderSender): Promise<Result<OrderOutcome, Failure>> {
    const refusal = this.findRefusal(sender);
    if (refusal) return Err(refusal);
    this.taken.push({ sender, capacity });
    return Ok(this.getCapacityOutcome(capacity));
  }

  private findRefusal({ fence }: OrderSender): Failure | undefined {
    if (this.isDown) return Failure.create(FailureCode.ServiceUnavailable, { detail: "down" });
    this.refusedCount += fence < this.minFence ? 1 : 0;
    return fence < this.minFence ? Failure.create(FailureCode.FenceOutdated, { fence }) : undefined;
  }

  async close(): Promise<void> {
    this.isDown = true;
  }
}

interface StoredConfiguration extends Omit<ServingConfiguration, "services"> {
  readonly services: readonly Service[];
}

const platforms = new Map<string, FakePlatform>();

/** The platform of one test. */
export class FakePlatform {
  readonly shared: SharedStore;
  readonly orders = FakeOrderService.create();
  /** The instances' clients of the store, in the order of the instances' creation. */
  readonly stores: FakeMetadataStore[] = [];
  private version = 0;
  /** Returns the address of an endpoint as one instance connects to it; instances are numbered in the order of their creation. */
  getAddressFor: (instance: number, address: string) => string = (_, address) => address;

  private constructor(
    readonly address: string,
    private readonly clock: Clock,
    pollMs: number | undefined,
  ) {
    this.shared = SharedStore.create(clock, pollMs);
  }

  /** Creates a platform and registers it under an address that no other test uses. */
  static create(clock: Clock = SystemClock.create(), pollMs?: number): FakePlatform {
    const platform = new FakePlatform(`standin:${platforms.size + 1}`, clock, pollMs);
    platforms.set(platform.address, platform);
    return platform;
  }

  /** Writes a configuration with the next version, and small defaults for missing fields. Returns the version. */
  configure(
    configuration: Partial<Omit<ServingConfiguration, "services">> & { services?: readonly Service[] },
  ): number {
    this.version += 1;
    const configurationRecord: StoredConfiguration = {
      version: this.version,
      routes: [createRoute({})],
      services: [createService({})],
      workspaces: [],
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
      ...configuration,
    };
    this.shared.put(configurationKey, JSON.stringify(configurationRecord));
    return this.version;
  }

  /** Writes an endpoint's record, with defaults for missing fields. */
  putEndpoint(record: Partial<EndpointRecord> & { readonly id: string; readonly address: string }): void {
    const endpointRecord: EndpointRecord = {
      service: "web",
      hall: "a",
      slots: 4,
      isLeaving: false,
      isReclaimable: false,
      ...record,
    };
    this.shared.put(`${endpointPrefix}${record.id}`, JSON.stringify(endpointRecord));
  }

  /** Removes an endpoint's record. */
  removeEndpoint(id: string): void {
    this.shared.remove(`${endpointPrefix}${id}`);
  }

  /** Creates the adapter of one instance, with its own client of the store. */
  createAdapter(): PlatformAdapter {
    const store = FakeMetadataStore.create(this.shared, this.clock);
    const instance = this.stores.push(store) - 1;
    return {
      store,
      orders: this.orders,
      callers: { readinessPath: "/ready", readHead, createGatewayHeaders: () => [] },
      endpoints: { createHeaders, readResponseHead },
      configurationKey,
      endpointPrefix,
      decodeConfiguration: (value) => {
        const stored = JSON.parse(Buffer.from(value).toString("utf8")) as StoredConfiguration;
        const services = stored.services.map((service): [string, Service] => [
          service.name,
          reviveService(service),
        ]);
        return Ok({ ...stored, services: new Map(services) });
      },
      decodeEndpoint: (_, value) => {
        const record = JSON.parse(Buffer.from(value).toString("utf8")) as EndpointRecord;
        return Ok({ ...record, address: this.getAddressFor(instance, record.address) });
      },
    };
  }
}

registerPlugin<PlatformOptions, PlatformAdapter>({
  kind: PluginKind.Platform,
  name: fakePlatformName,
  create: ({ storeAddress }) => {
    const platform = platforms.get(storeAddress);
    if (!platform) throw new Error(`no fake platform at ${storeAddress}`);
    return platform.createAdapter();
  },
});

/** Creates a route, with defaults for missing fields. */
export function createRoute(route: Partial<Route>): Route {
  return {
    name: "route",
    host: "app.test",
    prefix: "/",
    kind: RouteKind.Safe,
    targets: [{ service: "web", weight: 1 }],
    timeoutMs: 5_000,
    latencyObjectiveMs: 500,
    eventGapObjectiveMs: undefined,
    attempts: 2,
    priority: 0,
    isPublic: false,
    isResumable: false,
    ...route,
  };
}

/** Creates a service, with defaults for missing fields. */
export function createService(service: Partial<Service>): Service {
  return { name: "web", maxConnections: 100, engine: undefined, scaling: undefined, ...service };
}

/** Creates a workspace, with defaults for missing fields. */
export function createWorkspace(workspace: Partial<Workspace>): Workspace {
  return {
    name: "workspace",
    keys: ["key"],
    priority: 0,
    unit: QuotaUnit.Requests,
    defaultTokenCost: 1,
    ratePerSecond: 0,
    burst: 0,
    ...workspace,
  };
}

/**
 * Replaces the prices by an empty map. JSON turns a map into an empty object, so that prices do not survive storage.
 */
function reviveService(service: Service): Service {
  const { scaling } = service;
  if (!scaling) return service;
  return { ...service, scaling: { ...scaling, hallPrices: new Map() } };
}

function readHead(headers: IncomingHttpHeaders): Result<CallerRequestHead, Failure> {
  const id = headers["x-id"];
  if (typeof id !== "string") return Err(Failure.create(FailureCode.BadRequest, { detail: "no x-id" }));
  const tokens = headers["x-tokens"];
  return Ok({
    id,
    deadlineMs: headers["x-deadline"] === undefined ? undefined : Number(headers["x-deadline"]),
    key: headers.authorization,
    promptTokens: tokens === undefined ? undefined : Number(tokens),
    outputTokens: 0,
    parts: readParts(headers["x-parts"]),
    lastEventId: headers["last-event-id"] as string | undefined,
    resumes: headers.resumes as string | undefined,
  });
}

/** Reads the ids of prompt parts, separated by commas. */
function readParts(header: string | string[] | undefined): readonly PromptPart[] {
  const ids = String(header ?? "").split(",");
  return ids.filter((id) => id !== "").map((id) => ({ id, tokens: partTokens }));
}

const replacedHeaders = new Set([
  "connection",
  "transfer-encoding",
  "content-length",
  "authorization",
  "x-deadline",
]);

function createHeaders(callerHeaders: readonly string[], dispatch: DispatchHead): string[] {
  const headers: string[] = [];
  for (let index = 0; index < callerHeaders.length; index += 2) {
    const name = callerHeaders[index] ?? "";
    const lowerCase = name.toLowerCase();
    const isReplaced = lowerCase === "last-event-id" && dispatch.lastEventId !== undefined;
    if (!isReplaced && !replacedHeaders.has(lowerCase)) headers.push(name, callerHeaders[index + 1] ?? "");
  }
  headers.push("x-expect", dispatch.endpointId, "x-deadline", String(Math.floor(dispatch.deadlineMs)));
  if (dispatch.workspace !== undefined) headers.push("x-workspace", dispatch.workspace);
  if (dispatch.lastEventId !== undefined) headers.push("last-event-id", dispatch.lastEventId);
  return headers;
}

const misdirected = 421;
const firstUnsuccessfulStatus = 300;

function readResponseHead(requestId: string, status: number, headers: IncomingHttpHeaders): ResponseHead {
  const executionStatus = readExecutionStatus(requestId, status, headers);
  const isFromEndpoint =
    executionStatus === ExecutionStatus.Ran || executionStatus === ExecutionStatus.NotRun;
  if (!isFromEndpoint) return { executionStatus, load: undefined, notice: undefined };
  return {
    executionStatus,
    load: readLoad(headers),
    notice: readNotice(headers),
    limit: readLimit(headers),
    refusalLimit: readRefusalLimit(headers),
  };
}

/** Reads `x-load: running,waiting,slots[,pace]`. */
function readLoad({ "x-load": text }: IncomingHttpHeaders): EndpointLoad | undefined {
  if (typeof text !== "string") return undefined;
  const [running = 0, waiting = 0, slots = 0, pacePercent] = text.split(",").map(Number);
  return { running, waiting, slots, pacePercent };
}

function readExecutionStatus(
  requestId: string,
  status: number,
  headers: IncomingHttpHeaders,
): ExecutionStatus {
  if (headers["x-id"] !== undefined && headers["x-id"] !== requestId) return ExecutionStatus.Mismatched;
  if (status === misdirected) return ExecutionStatus.WrongEndpoint;
  if (headers["x-not-run"] !== undefined) return ExecutionStatus.NotRun;
  const isUnsigned = status < firstUnsuccessfulStatus && headers["x-stamp"] === undefined;
  return isUnsigned ? ExecutionStatus.Mismatched : ExecutionStatus.Ran;
}

function readLimit({ "x-limit": limit }: IncomingHttpHeaders): AdvertisedLimit | undefined {
  return limit === undefined ? undefined : { perSecond: Number(limit) };
}

function readRefusalLimit({ "x-brittle": limit }: IncomingHttpHeaders): number | undefined {
  return limit === undefined ? undefined : Number(limit);
}

function readNotice(headers: IncomingHttpHeaders): EndpointNotice | undefined {
  const isLeaving = headers["x-leaving"] === "1";
  const holdOff = headers["x-hold-off"];
  if (!isLeaving && holdOff === undefined) return undefined;
  return { isLeaving, holdOffMs: holdOff === undefined ? undefined : Number(holdOff) };
}
