/**
 * One instance of the gateway: puts the parts together, starts them, serves, and leaves in order.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type Clock,
  createFromPlugin,
  Failure,
  FailureCode,
  type Logger,
  PluginKind,
  SystemClock,
  waitFor,
} from "@gladewall/kernel";
import { Ok, type Result } from "ts-results-es";
import type { ConnectionTraffic } from "@gladewall/coordination";
import type { Admitted } from "./admission.js";
import { Exchange, type ExchangeEnd, type ExchangeParts } from "./exchange.js";
import { writeFailure } from "./answerWriter.js";
import { Front } from "./front.js";
import { createGatewayParts, type GatewayParts } from "./gatewayParts.js";
import type { GatewaySettings } from "./gatewaySettings.js";
import { readRequestBody } from "./requestBody.js";
import { drawTarget } from "./routeTable.js";
import { CounterKind } from "./sharedCounters.js";
import {
  type CallerHead,
  type PlatformAdapter,
  type PlatformOptions,
  RouteKind,
  type Service,
} from "./types.js";

const leavingRetryMs = 200;
/** Part of the grace that is kept for the end of the process. */
const exitMarginMs = 800;
/** Time for the last answers to leave. */
const lastAnswersMs = 100;
/** Requests that may last longer than this are refused once the instance leaves. */
const shortRequestMs = 2_500;
const idleCheckMs = 50;

/** A running instance. */
export class Gateway {
  private readonly front: Front;
  private readonly exchangeParts: ExchangeParts;
  private readonly exchanges = new Set<Exchange>();
  /** Requests that have no final answer. */
  private open = 0;
  private leavingSince: number | undefined;
  private wasReady = false;

  private constructor(
    private readonly settings: GatewaySettings,
    private readonly parts: GatewayParts,
  ) {
    const { platform, follower, directory, connections, placer, members } = parts;
    const { listen } = settings;
    this.exchangeParts = { ...parts, isLeaving: () => this.leavingSince !== undefined };
    this.front = Front.create({
      listen: listen.callers,
      readinessListen: listen.readiness,
      readinessPath: platform.callers.readinessPath,
      isReady: () => this.isReady(),
      handle: (message, response) => this.handle(message, response),
    });
    directory.onRemoved((endpoint) => {
      connections.remove(endpoint);
      placer.memory.removeEndpoint(endpoint.id);
    });
    parts.metrics.setSources({
      isReady: () => this.isReady(),
      getVersion: () => this.version,
      getProofAge: () => follower.getProofAge(),
      getOpenRequests: () => this.open,
      getLinkedPeers: () => this.linkedPeers,
      getPeerTraffic: () => this.peerTraffic,
      isCollector: () => this.isCollector,
      getUsableEndpoints: () => [...directory.getAll()].filter((endpoint) => endpoint.isUsable()).length,
      isDutyHolder: () => parts.duties.isActing(),
    });
    follower.onChange((table) => this.front.setLimits(table.configuration.limits));
    follower.onRegained(() => {
      directory.restart();
      members.restart();
    });
  }

  /** Creates an instance; fails where the settings name an unknown plug-in. Nothing is opened yet. */
  static create(
    settings: GatewaySettings,
    logger: Logger,
    clock: Clock = SystemClock.create(),
  ): Result<Gateway, Failure> {
    const { adapter, store_address, orders_address, timeout } = settings.platform;
    const platform = createFromPlugin<PlatformOptions, PlatformAdapter>(PluginKind.Platform, adapter, {
      storeAddress: store_address,
      ordersAddress: orders_address,
      timeoutMs: timeout,
    });
    return platform.map(
      (created) => new Gateway(settings, createGatewayParts(settings, created, clock, logger)),
    );
  }

  /** Opens the ports and starts to follow; the instance is ready as soon as it knows enough. */
  async start(): Promise<void> {
    const { instance, listen } = this.settings;
    this.parts.follower.start();
    this.parts.directory.start();
    await this.front.open();
    await this.parts.metrics.open();
    await this.parts.members.open();
    this.parts.duties.start();
    this.parts.logger.info("instance.started", {
      instance: instance.name,
      hall: instance.hall,
      callers: listen.callers,
    });
  }

  /** Whether the instance takes requests: it knows a configuration, its proof, and the endpoints. */
  isReady(): boolean {
    const isReady =
      this.leavingSince === undefined && this.parts.follower.isProven() && this.parts.directory.isListed;
    if (isReady !== this.wasReady) {
      this.parts.logger.info("instance.ready", {
        ready: isReady,
        proofAgeMs: Math.round(this.parts.follower.getProofAge()),
      });
    }
    this.wasReady = isReady;
    return isReady;
  }

  /** Version of the configuration in force; 0 before the first. */
  get version(): number {
    return this.parts.follower.getTable()?.version ?? 0;
  }

  /** Instances that this one is linked with. */
  get linkedPeers(): number {
    return this.parts.members.links.getLinked().length;
  }

  /** Share of the fleet whose counts are known, 0 to 1. */
  get knownShare(): number {
    return this.parts.members.getKnownShare();
  }

  /** Instances that are listed, this one included. */
  get fleetSize(): number {
    return this.parts.members.getFleetSize();
  }

  /** Bytes and messages that went over links to other instances. */
  get peerTraffic(): Readonly<ConnectionTraffic> {
    return this.parts.members.links.traffic;
  }

  /** Whether this instance hears the whole fleet. */
  get isCollector(): boolean {
    return this.parts.members.isCollector;
  }

  /** Whether this instance asks the store for others. */
  get isReader(): boolean {
    return this.parts.members.isReader;
  }

  /** Monotonic time before which no newer configuration than this instance's was acknowledged. */
  get provenAt(): number {
    return this.parts.clock.getTime() - this.parts.follower.getProofAge();
  }

  /** Whether others tell this instance what the store holds. */
  get isFed(): boolean {
    return this.parts.members.isFed;
  }

  /** How much of a workspace's limit the fleet has taken, as far as this instance knows. */
  getQuotaLevel(workspace: string): number {
    return this.parts.counters.getKnownSum(CounterKind.Quota, workspace);
  }

  /** Prompt tokens that other instances have waiting at an endpoint, as they told. */
  getPeerTokens(endpoint: string): number {
    return this.parts.members.getPeerWork(endpoint).pendingTokens;
  }

  /** Endpoints of a service that take work. */
  countEndpoints(service: string): number {
    return this.parts.directory.getOfService(service).filter((endpoint) => endpoint.isUsable()).length;
  }

  /** Leaves as planned: unready at once, every request finished within the grace. */
  async leave(): Promise<void> {
    if (this.leavingSince !== undefined) return;
    const { clock, logger } = this.parts;
    this.leavingSince = clock.getTime();
    const endsAt = this.leavingSince + this.settings.leaving.grace - exitMarginMs;
    logger.info("instance.leaving", { open: this.open });
    const dutiesClosed = this.parts.duties.close();
    await waitFor(clock, this.settings.leaving.unnoticed);
    this.front.stopAccepting();
    while (this.open > 0 && clock.getTime() < endsAt) await waitFor(clock, idleCheckMs);
    logger.info("instance.stopping", { open: this.open });
    for (const exchange of this.exchanges) exchange.giveUp();
    await Promise.race([dutiesClosed, waitFor(clock, lastAnswersMs)]);
    await waitFor(clock, lastAnswersMs);
    logger.info("instance.stopped", { open: this.open });
  }

  /** Closes everything at once. */
  async close(): Promise<void> {
    await Promise.all([
      this.front.close(),
      this.parts.metrics.close(),
      this.parts.duties.close(),
      this.parts.follower.close(),
      this.parts.directory.close(),
    ]);
    await this.parts.members.close();
    this.parts.connections.close();
    await Promise.all([this.parts.platform.store.close(), this.parts.platform.orders.close()]);
  }

  private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAt = this.parts.clock.getTime();
    this.open += 1;
    // A broken connection is seen where answers are written; the event needs a listener all the same.
    message.on("error", () => undefined);
    response.on("error", () => undefined);
    const head = this.parts.platform.callers.readHead(message.headers);
    const failure = head.isErr() ? head.error : await this.serve(message, response, head.value, arrivedAt);
    this.open -= 1;
    if (!failure) return;
    this.refuse(message, response, head.isOk() ? head.value.id : undefined, failure);
  }

  /** Serves a request; returns why it was refused where nothing was done with it. */
  private async serve(
    message: IncomingMessage,
    response: ServerResponse,
    head: CallerHead,
    arrivedAt: number,
  ): Promise<Failure | undefined> {
    const admitted = this.parts.admission.admit(message.headers.host ?? "", message.url ?? "/", head);
    if (admitted.isErr()) return admitted.error;
    const { route, table } = admitted.value;
    if (this.isTooLateFor(admitted.value)) return Failure.create(FailureCode.Leaving, {}, leavingRetryMs);
    const body = await readRequestBody(message, table.configuration.limits.maxBodyBytes);
    if (body.isErr()) return body.error;
    const service = table.findService(drawTarget(route.targets, Math.random()));
    if (!service) return Failure.create(FailureCode.NoEndpoint, { service: route.name }, leavingRetryMs);
    const charge = this.charge(admitted.value, head);
    if (charge.isErr()) return charge.error;
    const request = {
      admitted: admitted.value,
      service,
      head,
      message,
      response,
      body: body.value,
      arrivedAt,
    };
    const exchange = Exchange.create(this.exchangeParts, request);
    this.exchanges.add(exchange);
    const end = await exchange.run();
    this.exchanges.delete(exchange);
    this.finish(admitted.value, head, service, end, arrivedAt, charge.value);
    return undefined;
  }

  private charge({ workspace }: Admitted, head: CallerHead): Result<number, Failure> {
    if (!workspace) return Ok(0);
    const cost = this.parts.admission.getCost(workspace, head);
    return this.parts.admission.takeQuota(workspace, cost).map(() => cost);
  }

  private finish(
    { workspace, route }: Admitted,
    head: CallerHead,
    service: Service,
    { status, mayHaveRun, failure, placement, arrivals, firstEventMs }: ExchangeEnd,
    arrivedAt: number,
    cost: number,
  ): void {
    if (workspace && !mayHaveRun) this.parts.admission.returnQuota(workspace, cost);
    const fields = {
      request: head.id,
      route: route.name,
      service: service.name,
      workspace: workspace?.name,
      status,
      failure: failure?.name,
      mayHaveRun,
      endpoint: placement?.endpoint.id,
      candidates: placement?.candidates,
      expectedMs: placement && Math.round(placement.expectedMs),
      uncached: placement && service.engine ? placement.uncachedTokens : undefined,
      ahead: placement && service.engine ? placement.tokensAhead : undefined,
      firstMs: firstEventMs && Math.round(firstEventMs),
      arrivals,
      tookMs: Math.round(this.parts.clock.getTime() - arrivedAt),
    };
    this.parts.metrics.countRequest(service.name, status, failure?.name ?? "none", fields.tookMs);
    if (failure) this.parts.logger.info("request.failed", fields);
    else this.parts.logger.info("request.served", fields);
  }

  /** Whether a request could outlast the time that a leaving instance has. */
  private isTooLateFor({ route }: Admitted): boolean {
    if (this.leavingSince === undefined) return false;
    const elapsed = this.parts.clock.getTime() - this.leavingSince;
    if (elapsed < shortRequestMs) return false;
    const left = this.settings.leaving.grace - exitMarginMs - elapsed;
    return route.kind === RouteKind.Stream || route.timeoutMs > left;
  }

  private refuse(
    message: IncomingMessage,
    response: ServerResponse,
    request: string | undefined,
    failure: Failure,
  ): void {
    this.parts.logger.info("request.refused", {
      request,
      status: failure.status,
      failure: failure.name,
      cause: failure.text,
      retryAfterMs: failure.retryAfterMs && Math.round(failure.retryAfterMs),
      version: this.parts.follower.getTable()?.version,
      proofAgeMs: Math.round(this.parts.follower.getProofAge()),
    });
    this.parts.metrics.countRefusal(failure.name, failure.status);
    if (failure.code === FailureCode.CallerGone || response.headersSent) return;
    const own = this.parts.platform.callers.createOwnHeaders(request);
    // What is left of a body that was not read would be taken for the next request.
    const closes = this.leavingSince !== undefined || failure.code === FailureCode.BodyTooLarge;
    writeFailure(response, failure, own, closes);
    message.resume();
  }
}
