/**
 * One instance of the gateway: connects its components, starts them, serves requests, and shuts down gracefully.
 * @module
 */
import {
  type Clock,
  createFromPlugin,
  type Failure,
  type Logger,
  PluginKind,
  SystemClock,
  waitFor,
  waitWhile,
} from "@gladewall/kernel";
import type { Result } from "ts-results-es";
import type { ConnectionTraffic } from "@gladewall/coordination";
import { CallerServer } from "./callerServer.js";
import type { GatewayParts } from "./parts/gatewayPartTypes.js";
import { createGatewayParts } from "./parts/gatewayParts.js";
import { canServe } from "./parts/readiness.js";
import type { GatewaySettings } from "./gatewaySettings.js";
import type { SlotSchedulerFactory } from "./limits/limitParts.js";
import { ConnectionIntake } from "./intake/connectionIntake.js";
import { LeavingSchedule } from "./intake/leavingSchedule.js";
import { RequestServer } from "./requests/requestServer.js";
import { CounterKind } from "./limits/counterTypes.js";
import { isRestore } from "./store/storeEras.js";
import type { PlatformAdapter, PlatformOptions } from "./types.js";

/** Time for the last responses to be sent. */
const responseFlushMs = 100;
const idleCheckMs = 50;
/** Value of the view age metric if there is no view. */
const noViewAge = -1;

/** A running instance. */
export class Gateway {
  private readonly front: CallerServer;
  private readonly requests: RequestServer;
  private readonly leaving: LeavingSchedule;
  /** Resolves once the instance has left; undefined before it begins to. */
  private left: Promise<void> | undefined;
  private wasReady = false;

  private constructor(
    private readonly settings: GatewaySettings,
    private readonly parts: GatewayParts,
  ) {
    const { platform, follower, directory, connections, placer, members } = parts;
    const { listen } = settings;
    this.leaving = LeavingSchedule.create({
      clock: parts.clock,
      graceMs: settings.leaving.grace,
      unnoticedMs: settings.leaving.unnoticed,
    });
    this.requests = RequestServer.create({ parts, leaving: this.leaving });
    this.front = CallerServer.create({
      listen: listen.callers,
      readinessListen: listen.readiness,
      readinessPath: platform.callers.readinessPath,
      isReady: () => this.isReady(),
      handle: (message, response) => this.requests.handle(message, response),
      intake: ConnectionIntake.create({
        clock: parts.clock,
        logger: parts.logger,
        getRandom: Math.random,
        countShed: () => parts.metrics.countShedConnection(),
      }),
    });
    directory.onRemoved((endpoint) => {
      connections.remove(endpoint);
      placer.memory.removeEndpoint(endpoint.incarnation);
    });
    parts.metrics.setSources({
      isReady: () => this.isReady(),
      getVersion: () => this.version,
      getProofAge: () => follower.getProofAge(),
      getOpenRequests: () => this.requests.open,
      getLinkedPeers: () => this.linkedPeers,
      getPeerTraffic: () => this.peerTraffic,
      isCollector: () => this.isCollector,
      getKnownShare: () => this.knownShare,
      getViewAge: () => parts.members.viewAge ?? noViewAge,
      getUsableEndpoints: () => [...directory.getAll()].filter((endpoint) => endpoint.isUsable()).length,
      countLeaving: (source) =>
        [...directory.getAll()].filter(({ availability }) => availability.leavingSource === source).length,
      countHeldOff: () => {
        const time = parts.clock.getTime();
        return [...directory.getAll()].filter(({ availability }) => availability.getHoldOffMs(time) > 0)
          .length;
      },
      countLimited: () => {
        const advertised = [...directory.getAll()].flatMap(
          ({ availability }) => availability.limit.perSecond ?? [],
        );
        return { endpoints: advertised.length, perSecond: advertised.reduce((sum, one) => sum + one, 0) };
      },
      countWaitingForSlots: () => ({ own: parts.slots.waiting, here: parts.slotArbiter.countWaiting() }),
      countCutOff: () => parts.paths.getCutOff().length,
      countForwarding: () => ({ sent: parts.forwarding.open, received: parts.forwardingServer.open }),
      isLeader: () => parts.leaderTasks.isActing(),
      getEra: () => platform.store.eras.current,
      isEraSettled: () => parts.settling.isSettled,
      countSuspectParts: () => parts.crashProtection.records.parts.count(),
      countSuspects: () => parts.crashProtection.records.count(),
    });
    follower.onChange((table) => this.front.setLimits(table.configuration.limits));
    const relist = (): void => {
      directory.restart();
      members.restart();
    };
    follower.onRegained(relist);
    platform.store.eras.onEraChange((change) => {
      if (isRestore(change)) relist();
    });
  }

  /** Creates an instance without opening anything. Fails if the settings name an unknown plug-in. */
  static create(
    settings: GatewaySettings,
    logger: Logger,
    clock: Clock = SystemClock.create(),
    createSlotScheduler?: SlotSchedulerFactory,
  ): Result<Gateway, Failure> {
    const { adapter, store_address, orders_address, timeout } = settings.platform;
    const platform = createFromPlugin<PlatformOptions, PlatformAdapter>(PluginKind.Platform, adapter, {
      storeAddress: store_address,
      ordersAddress: orders_address,
      timeoutMs: timeout,
    });
    return platform.map(
      (created) =>
        new Gateway(settings, createGatewayParts(settings, created, clock, logger, createSlotScheduler)),
    );
  }

  /** Opens the ports and starts following the store; the instance becomes ready as soon as it can serve. */
  async start(): Promise<void> {
    const { instance, listen } = this.settings;
    this.parts.follower.start();
    this.parts.directory.start();
    this.parts.standstill.start();
    await this.front.open();
    await this.parts.metrics.open();
    await this.parts.forwardingServer.start();
    await this.parts.members.open();
    this.parts.leaderTasks.start();
    this.parts.logger.info("instance.started", {
      instance: instance.name,
      hall: instance.hall,
      callers: listen.callers,
    });
  }

  /** Applies those of the settings that may change while the instance runs. */
  applySettings({ overload }: GatewaySettings): void {
    this.parts.overload.setMode(overload.mode);
    this.parts.slots.applyMode();
    this.parts.slotArbiter.applyMode();
  }

  /** Whether the instance accepts requests: it is not leaving and `canServe` is true. Logs changes. */
  isReady(): boolean {
    const isReady = !this.leaving.hasBegun && canServe(this.parts);
    if (isReady !== this.wasReady) {
      this.parts.logger.info("instance.ready", {
        ready: isReady,
        proofAgeMs: Math.round(this.parts.follower.getProofAge()),
      });
    }
    this.wasReady = isReady;
    return isReady;
  }

  /** Version of the active configuration; 0 before the first. */
  get version(): number {
    return this.parts.follower.getTable()?.version ?? 0;
  }

  /** Number of instances that this one is linked with. */
  get linkedPeers(): number {
    return this.parts.members.links.getLinked().length;
  }

  /** `host:port` at which this instance passes attempts of peers on; undefined while it does not. */
  get forwardingAddress(): string | undefined {
    return this.parts.forwardingServer.address;
  }

  /** Number of instances that have reported their counts to this one. */
  get reportingPeers(): number {
    return this.parts.counters.reportingPeers;
  }

  /** Share of the fleet whose counts are known, 0 to 1. */
  get knownShare(): number {
    return this.parts.members.getKnownShare();
  }

  /** Number of listed instances, including this one. */
  get fleetSize(): number {
    return this.parts.members.getFleetSize();
  }

  /** Whether this instance knows its part of the retries that are allowed beside those that requests earn. */
  get knowsRetryPart(): boolean {
    return this.parts.budget.isFleetKnown;
  }

  /** Bytes and messages sent and received over links to other instances. */
  get peerTraffic(): Readonly<ConnectionTraffic> {
    return this.parts.members.links.traffic;
  }

  /** Whether this instance receives the reports of the whole fleet. */
  get isCollector(): boolean {
    return this.parts.members.isCollector;
  }

  /** Whether this instance reads the store on behalf of others. */
  get isReader(): boolean {
    return this.parts.members.isReader;
  }

  /** Time since boot before which no configuration newer than this instance's was acknowledged. */
  get proofSentAt(): number {
    return this.parts.clock.getBootTime() - this.parts.follower.getProofAge();
  }

  /** Whether this instance receives the store's contents from other instances. */
  get isFeedActive(): boolean {
    return this.parts.members.isFeedActive;
  }

  /** Returns the units of a workspace's limit that the fleet has taken, as far as this instance knows. */
  getQuotaLevel(workspace: string): number {
    return this.parts.counters.getKnownSum(CounterKind.Quota, workspace);
  }

  /** Returns the prompt tokens that other instances have queued at an endpoint, as they reported. */
  getPeerTokens(endpoint: string): number {
    return this.parts.members.getPeerWork(endpoint).pendingTokens;
  }

  /** Returns the number of a service's endpoints that accept requests. */
  countEndpoints(service: string): number {
    return this.parts.directory.getOfService(service).filter((endpoint) => endpoint.isUsable()).length;
  }

  /**
   * Shuts down gracefully: becomes unready at once and finishes every request within the grace period. Further calls change nothing, and
   * resolve with the first.
   */
  leave(): Promise<void> {
    this.left ??= this.finishAndLeave();
    return this.left;
  }

  private async finishAndLeave(): Promise<void> {
    const { requests, leaving } = this;
    const { clock, logger } = this.parts;
    leaving.begin();
    this.parts.forwardingServer.stop();
    logger.info("instance.leaving", { open: requests.open });
    void waitFor(clock, leaving.restrictsFrom - clock.getTime()).then(() => requests.refuseWaiting());
    const leaderTasksClosed = this.parts.leaderTasks.close();
    await waitFor(clock, leaving.acceptsUntil - clock.getTime());
    this.front.stopAccepting();
    await this.finishRequests(leaving.endsAt);
    // Requests that arrive from now on would be interrupted by the end of the process.
    requests.stop();
    logger.info("instance.stopping", { open: requests.open });
    requests.abortAll();
    await Promise.race([leaderTasksClosed, waitFor(clock, responseFlushMs)]);
    await waitFor(clock, responseFlushMs);
    await this.sendResponses(leaving.sendsUntil);
    logger.info("instance.stopped", { open: requests.open, unsent: this.unsent });
  }

  /** Number of responses that have been ended, and that slow callers, or peers, have not taken yet. */
  private get unsent(): number {
    return this.front.unsent + this.parts.forwardingServer.unsent;
  }

  /** Resolves once all responses that have been ended are sent. */
  private async sendResponses(endsAt: number): Promise<void> {
    const { clock } = this.parts;
    await waitWhile(clock, () => this.unsent > 0, { endsAt, pollMs: idleCheckMs });
  }

  /** Resolves once no request has been open for a moment, as one may arrive while the last responses are sent. */
  private async finishRequests(endsAt: number): Promise<void> {
    const { clock, forwardingServer } = this.parts;
    const countOpen = (): number => this.requests.open + forwardingServer.open + this.unsent;
    const isBusy = (): boolean => countOpen() > 0 && clock.getTime() < endsAt;
    do {
      while (isBusy()) await waitFor(clock, idleCheckMs);
      await waitFor(clock, responseFlushMs);
    } while (isBusy());
  }

  /** Closes everything at once. */
  async close(): Promise<void> {
    await Promise.all([
      this.front.close(),
      this.parts.forwardingServer.close(),
      this.parts.metrics.close(),
      this.parts.leaderTasks.close(),
      this.parts.follower.close(),
      this.parts.directory.close(),
    ]);
    this.parts.standstill.close();
    this.parts.paths.close();
    this.parts.forwarding.close();
    this.parts.crashProtection.close();
    this.parts.slotArbiter.close();
    this.parts.contention.close();
    await this.parts.members.close();
    this.parts.connections.close();
    await Promise.all([this.parts.platform.store.close(), this.parts.platform.orders.close()]);
  }
}
