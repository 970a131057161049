/**
 * One entry, that is, one instance of `gladewalld`. Creates its components and starts them in order. It ends in one of
 * three ways: a planned stop, a stop within the time of a reclaim notice, or an immediate close.
 * @module
 */
import {
  InstanceState,
  InstanceRole,
  type MembershipView,
  type PeerLinks,
  ServiceBudget,
} from "@gladewall/coordination";
import { type Clock, Failure, FailureCode, type Logger, SystemClock } from "@gladewall/kernel";
import type { PolicyTable } from "@gladewall/policy";
import { Err, type Result } from "ts-results-es";
import { EntryMetrics } from "./entryMetrics.js";
import type { EntrySettings } from "./entrySettings.js";
import { createRequestId } from "./envelope.js";
import { DecisionHistory } from "./decisionHistory.js";
import { CallerServer } from "./callerServer.js";
import { Membership } from "./membership.js";
import { OperatorServer } from "./operatorServer.js";
import { createPlatformClients, type PlatformClients } from "./platform.js";
import { Serving } from "./serving.js";

/** Addresses that a started entry listens on, each as `host:port`. */
export interface EntryAddresses {
  readonly front: string;
  readonly operators: string;
  readonly peers: string;
}

const leavingRetryAfterMs = 1_000;

/** A running entry. */
export class Entry {
  readonly metrics = EntryMetrics.create();
  readonly history: DecisionHistory;
  private isLeaving = false;
  /** Settles when the entry has closed; undefined until a stop begins. A later stop returns the same promise. */
  private ending: Promise<void> | undefined;
  private readonly membership: Membership;
  private readonly serving: Serving;
  private readonly front: CallerServer;
  private readonly operators: OperatorServer;

  private constructor(
    private settings: EntrySettings,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly clients: PlatformClients,
  ) {
    const { metrics } = this;
    const { platform, entry } = settings;
    this.history = DecisionHistory.create(settings.logs.decisions);
    const incarnation = entry.incarnation || clock.getWallTime();
    const budget = ServiceBudget.create(clock, platform.calls_per_second, platform.timeout, metrics.registry);
    const getSettings = (): EntrySettings => this.settings;
    const base = { getSettings, incarnation, clock, logger, clients, budget };
    this.membership = Membership.create(base);
    const { membership, history } = this;
    const getTable = (): Result<PolicyTable, Failure> => this.getTable();
    this.serving = Serving.create({ ...base, membership, metrics, history, getTable });
    this.front = CallerServer.create(settings.front, logger, this.serving.routes, () =>
      createRequestId(entry.name),
    );
    this.operators = OperatorServer.create({
      settings: settings.operators,
      metrics,
      history,
      getUnreadyReason: () => this.getUnreadyReason(),
      getStatus: () => this.getStatus(),
    });
    membership.onOwnNotice((remainingMs) => void this.leave(remainingMs));
    this.setGauges();
  }

  /** Creates an entry from settings without opening its ports. Fails with `PluginUnknown`. */
  static create(
    settings: EntrySettings,
    logger: Logger,
    clock: Clock = SystemClock.create(),
  ): Result<Entry, Failure> {
    return createPlatformClients(settings.platform).map(
      (clients) => new Entry(settings, clock, logger.with({ entry: settings.entry.name }), clients),
    );
  }

  /** State of all instances that this entry knows. */
  get view(): MembershipView {
    return this.membership.view;
  }

  /** Links to peers. */
  get links(): PeerLinks {
    return this.membership.links;
  }

  /** Version of the configuration in force. */
  get version(): number {
    return this.membership.follower.version;
  }

  /**
   * Opens the ports and starts to follow the platform and the configuration. Callers are served once a configuration is
   * known.
   */
  async start(): Promise<EntryAddresses> {
    const peers = await this.membership.open();
    const operators = await this.operators.open();
    const front = await this.front.open();
    this.logger.info("entry.started", { front, operators, peers, hall: this.settings.entry.hall });
    return { front, operators, peers };
  }

  /** Resolves when a configuration is in force. */
  async waitUntilReady(): Promise<void> {
    await this.membership.follower.waitForFirst();
  }

  /** Returns the reason for which this entry accepts no requests, or undefined while it accepts them. */
  getUnreadyReason(): string | undefined {
    const table = this.getTable();
    return table.isErr() ? table.error.text : undefined;
  }

  /** Ids of requests that have not ended. */
  getOpenRequests(): readonly string[] {
    return this.serving.requests.getOpen().map((request) => request.envelope.id);
  }

  /** Applies the settings that can be reloaded. */
  reload(settings: EntrySettings): void {
    this.settings = settings;
  }

  /** Planned stop: accepts no new requests, waits until every request has ended, then closes. */
  stop(): Promise<void> {
    this.ending ??= this.stopAsPlanned();
    return this.ending;
  }

  /**
   * Stops within `remainingMs`: lets requests end until `notice_lead` milliseconds before that, then hands the others
   * over to their backups and closes.
   */
  leave(remainingMs: number): Promise<void> {
    this.ending ??= this.leaveWithin(remainingMs);
    return this.ending;
  }

  /** Closes immediately, with the effect of a crash: open requests are neither finished nor handed over. */
  async kill(): Promise<void> {
    const { keyValue, list, notices } = this.clients;
    // Closes all components concurrently, so that none still calls the platform or peers after the others have closed.
    await Promise.all([
      keyValue.close(),
      this.serving.close(),
      this.membership.close(),
      this.front.close(),
      this.operators.close(),
      list.close(),
      notices.close(),
    ]);
  }

  private async stopAsPlanned(): Promise<void> {
    this.startLeaving();
    await this.waitForIdle();
    await this.finishLeaving();
  }

  private async leaveWithin(remainingMs: number): Promise<void> {
    const { notice_lead: leadMs } = this.settings.entry;
    this.startLeaving();
    await this.waitForIdleWithin(Math.max(0, remainingMs - leadMs));
    await this.serving.handOver();
    await this.waitForIdleWithin(leadMs);
    await this.finishLeaving();
  }

  private startLeaving(): void {
    this.isLeaving = true;
    this.logger.info("entry.leaving", { open: this.serving.requests.getOpenCount() });
    this.membership.announceLeaving();
  }

  private async finishLeaving(): Promise<void> {
    this.front.stopAccepting();
    this.serving.stopTakeovers();
    await this.kill();
    this.logger.info("entry.stopped", {});
  }

  /** Resolves when every request has ended and every response is sent. */
  private async waitForIdle(): Promise<void> {
    await this.serving.requests.waitForIdle();
    await this.front.waitForIdle();
  }

  private async waitForIdleWithin(limitMs: number): Promise<void> {
    let cancel = (): void => undefined;
    const timedOut = new Promise<void>((resolve) => {
      const timer = this.clock.startTimer(limitMs, resolve);
      cancel = () => timer.cancel();
    });
    await Promise.race([this.waitForIdle(), timedOut]);
    cancel();
  }

  private getTable(): Result<PolicyTable, Failure> {
    if (this.isLeaving) return Err(Failure.create(FailureCode.Leaving, {}, leavingRetryAfterMs));
    return this.membership.getTable();
  }

  private getStatus(): unknown {
    const instances = this.view.getAll().map(({ record, state, reclaimAt: takenAt }) => ({
      id: record.id,
      role: InstanceRole[record.role],
      service: record.service,
      hall: record.hall,
      state: InstanceState[state],
      takenInMs: takenAt === undefined ? undefined : Math.max(0, Math.round(takenAt - this.clock.getTime())),
    }));
    const { name, hall } = this.settings.entry;
    const open = this.serving.requests.getOpenCount();
    const peers = this.links.getLinked();
    return {
      entry: name,
      hall,
      version: this.version,
      unready: this.getUnreadyReason(),
      open,
      peers,
      instances,
    };
  }

  private setGauges(): void {
    const { registry } = this.metrics;
    registry.registerGauge("gladewall_configuration_version", "Version in force.", () => this.version);
    registry.registerGauge("gladewall_ready", "1 while requests are taken.", () =>
      this.getUnreadyReason() === undefined ? 1 : 0,
    );
  }
}
