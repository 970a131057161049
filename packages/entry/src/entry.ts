/**
 * One entry: puts the parts together, starts them in order and stops them in the reverse order.
 * @module
 */
import { DocumentFollower, InstanceRole, InstanceState, LiveView } from "@gladewall/coordination";
import { type Clock, Failure, FailureCode, type Logger, SystemClock } from "@gladewall/kernel";
import {
  type Configuration,
  type PlacementOptions,
  PrefixIndex,
  RetryBudget,
  Table,
  type TableRow,
} from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import { AdmissionControl } from "./admission.js";
import { configurationCodec, configurationKey } from "./configurationCodec.js";
import { DecisionWriter } from "./decisions.js";
import { Dispatcher } from "./dispatcher.js";
import { EntryMetrics } from "./entryMetrics.js";
import type { EntrySettings } from "./entrySettings.js";
import { createRequestId } from "./envelope.js";
import { ExplainRing } from "./explainRing.js";
import { Fleet } from "./fleet.js";
import { Front } from "./front.js";
import { OperatorPort } from "./operatorPort.js";
import { createPlatformClients, type PlatformClients, PlatformFollower } from "./platform.js";
import { Requests } from "./requests.js";
import { CallerRoutes } from "./routes.js";
import { Runner } from "./runner.js";

/** Addresses that a started entry listens on. */
export interface EntryAddresses {
  readonly front: string;
  readonly operators: string;
}

/** A running entry. */
export class Entry {
  readonly view: LiveView;
  readonly metrics = EntryMetrics.create();
  readonly ring: ExplainRing;
  private table: Table | undefined;
  private isLeaving = false;
  private readonly follower: DocumentFollower<Configuration>;
  private readonly platform: PlatformFollower;
  private readonly fleet: Fleet;
  private readonly dispatcher: Dispatcher;
  private readonly requests: Requests;
  private readonly front: Front;
  private readonly operators: OperatorPort;

  private constructor(
    private settings: EntrySettings,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly clients: PlatformClients,
  ) {
    this.view = LiveView.create(clock);
    this.ring = ExplainRing.create(settings.logs.decisions);
    this.follower = this.createFollower();
    this.follower.onChange(({ document }) => (this.table = Table.create(document)));
    this.platform = PlatformFollower.create(
      clients,
      this.view,
      clock,
      logger,
      () => this.settings.platform.list_interval,
    );
    this.fleet = Fleet.create(settings.endpoints, clock, logger, this.view);
    const prefixes = PrefixIndex.create(settings.placement.prefix_blocks);
    this.dispatcher = Dispatcher.create(settings.requests, clock, this.fleet, prefixes, () =>
      this.getPlacementOptions(),
    );
    this.requests = Requests.create(settings.requests, clock);
    const decisions = DecisionWriter.create(settings.entry.name, clock, this.ring);
    const { fleet, dispatcher, requests, metrics } = this;
    const budget = RetryBudget.create(settings.requests.retry_fraction);
    const runner = Runner.create({
      settings,
      clock,
      logger,
      fleet,
      dispatcher,
      prefixes,
      budget,
      decisions,
      metrics,
    });
    const admission = AdmissionControl.create(settings.requests, clock, dispatcher, (row) =>
      this.getShare(row),
    );
    const getTable = (): Result<Table, Failure> => this.getTable();
    const routes = CallerRoutes.create({
      settings,
      clock,
      admission,
      requests,
      runner,
      decisions,
      metrics,
      getTable,
    });
    this.front = Front.create(settings.front, logger, routes.routes, () =>
      createRequestId(settings.entry.name),
    );
    this.operators = OperatorPort.create({
      settings: settings.operators,
      metrics,
      ring: this.ring,
      getUnready: () => this.getUnready(),
      getStatus: () => this.getStatus(),
    });
    this.setGauges();
  }

  /** Creates an entry from settings; fails where they name unknown plug-ins. Nothing is opened yet. */
  static create(
    settings: EntrySettings,
    logger: Logger,
    clock: Clock = SystemClock.create(),
  ): Result<Entry, Failure> {
    return createPlatformClients(settings.platform).map(
      (clients) => new Entry(settings, clock, logger.with({ entry: settings.entry.name }), clients),
    );
  }

  /** Opens the ports and starts following; callers are served as soon as a configuration is known. */
  async start(): Promise<EntryAddresses> {
    this.follower.start();
    await this.platform.readList();
    this.platform.start();
    const operators = await this.operators.open();
    const front = await this.front.open();
    this.logger.info("entry.started", { front, operators, hall: this.settings.entry.hall });
    return { front, operators };
  }

  /** Resolves when a configuration is in force. */
  async waitUntilReady(): Promise<void> {
    await this.follower.waitForFirst();
  }

  /** Version of the configuration in force. */
  get version(): number {
    return this.follower.version;
  }

  /** Puts settings that can be re-read in force. */
  reload(settings: EntrySettings): void {
    this.settings = settings;
  }

  /** Stops as planned: takes nothing new, lets every request end, then closes. */
  async stop(): Promise<void> {
    this.isLeaving = true;
    this.logger.info("entry.stopping", { open: this.requests.getOpenCount() });
    await this.requests.waitForIdle();
    this.front.stopAccepting();
    await this.kill();
    this.logger.info("entry.stopped", {});
  }

  /** Closes at once, as a death does. */
  async kill(): Promise<void> {
    await this.front.close();
    await this.operators.close();
    await Promise.all([this.follower.close(), this.platform.close()]);
    await this.fleet.close();
    await Promise.all([
      this.clients.keyValue.close(),
      this.clients.list.close(),
      this.clients.notices.close(),
    ]);
  }

  /** Ids of requests that have not ended. */
  getOpenRequests(): readonly string[] {
    return this.requests.getOpen().map((request) => request.envelope.id);
  }

  private createFollower(): DocumentFollower<Configuration> {
    const { platform, configuration } = this.settings;
    return DocumentFollower.create({
      service: this.clients.keyValue,
      key: `${platform.prefix}${configurationKey}`,
      codec: configurationCodec,
      clock: this.clock,
      logger: this.logger,
      watchWait: configuration.watch_wait,
      currentWithin: configuration.current_within,
      getRandom: Math.random,
    });
  }

  private getTable(): Result<Table, Failure> {
    if (this.isLeaving) return Err(Failure.create(FailureCode.Leaving));
    if (!this.table || !this.follower.isCurrent()) return Err(Failure.create(FailureCode.NotReady));
    return Ok(this.table);
  }

  private getUnready(): string | undefined {
    const table = this.getTable();
    return table.isErr() ? table.error.text : undefined;
  }

  private getShare(row: TableRow): TableRow {
    return row;
  }

  private getPlacementOptions(): PlacementOptions {
    const { placement } = this.settings;
    return {
      priceWeight: placement.price_weight,
      riskWeight: placement.risk_weight,
      hallDistance: placement.hall_distance,
      loadBound: placement.load_bound,
    };
  }

  private getStatus(): unknown {
    const instances = this.view.getAll().map(({ record, state, takenAt }) => ({
      id: record.id,
      role: InstanceRole[record.role],
      service: record.service,
      hall: record.hall,
      state: InstanceState[state],
      takenInMs: takenAt === undefined ? undefined : Math.max(0, Math.round(takenAt - this.clock.getTime())),
    }));
    const { name, hall } = this.settings.entry;
    const open = this.requests.getOpenCount();
    return { entry: name, hall, version: this.version, unready: this.getUnready(), open, instances };
  }

  private setGauges(): void {
    const { registry } = this.metrics;
    registry.setGauge("gladewall_open_requests", "Requests that have not ended.", () =>
      this.requests.getOpenCount(),
    );
    registry.setGauge("gladewall_waiting_requests", "Requests in queues.", () => this.dispatcher.getTotal());
    registry.setGauge("gladewall_configuration_version", "Version in force.", () => this.version);
    registry.setGauge("gladewall_ready", "1 while requests are taken.", () =>
      this.getUnready() === undefined ? 1 : 0,
    );
  }
}
