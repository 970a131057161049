/**
 * Creates and connects the components that serve requests: admission, queues, runs at endpoints, backups at peers,
 * claims of idempotency keys, shares of policy rows, and responses held for callers that reconnect.
 * @module
 */
import { CallKind, ClaimStore, isUsable } from "@gladewall/coordination";
import type { Closeable, Failure } from "@gladewall/kernel";
import {
  type PlacementOptions,
  PrefixIndex,
  RepeatRule,
  RetryBudget,
  type PolicyTable,
} from "@gladewall/policy";
import type { Result } from "ts-results-es";
import { AdmissionControl } from "./admission.js";
import { ResponseFetcher } from "./responseFetcher.js";
import { AttemptRunner } from "./attempt.js";
import { BackupStore, type ResumeOptions } from "./backupStore.js";
import { BackupWriter } from "./backupWriter.js";
import { ClaimGuard, createWriterName } from "./claimGuard.js";
import { ClaimClient } from "./claimClient.js";
import { DecisionWriter } from "./decisions.js";
import { Dispatcher } from "./dispatcher.js";
import type { EntryMetrics } from "./entryMetrics.js";
import type { DecisionHistory } from "./decisionHistory.js";
import { Fleet } from "./fleet.js";
import type { Route } from "./callerServer.js";
import { KeyLookup } from "./keyLookup.js";
import { LeavingRuns } from "./leavingRuns.js";
import type { Membership, MembershipParts } from "./membership.js";
import { type ActiveRequest, RequestRegistry, StopReason } from "./requests.js";
import { CallerRoutes } from "./routes.js";
import { RowShares } from "./rowShares.js";
import { RequestRunner } from "./runner.js";

/** Components and settings that serving is created from. */
export interface ServingParts extends MembershipParts {
  readonly membership: Membership;
  readonly metrics: EntryMetrics;
  readonly history: DecisionHistory;
  /** Returns the policy table for new requests, or the failure for which none is accepted. */
  readonly getTable: () => Result<PolicyTable, Failure>;
}

/** The components that serve requests, and the routes for callers. */
export class Serving implements Closeable {
  readonly routes: readonly Route[];
  readonly requests: RequestRegistry;
  private readonly fleet: Fleet;
  private readonly dispatcher: Dispatcher;
  private readonly backups: BackupWriter;
  private readonly backupStore: BackupStore;
  private readonly runner: RequestRunner;
  private readonly shares: RowShares;
  private readonly claimStore: ClaimStore;

  private constructor(private readonly parts: ServingParts) {
    const { clock, logger, metrics, history: history, membership, getTable } = parts;
    const settings = parts.getSettings();
    const { links, view } = membership;
    const { name } = settings.entry;
    const prefixes = PrefixIndex.create(settings.placement.prefix_blocks);
    const decisions = DecisionWriter.create(name, clock, history);
    const fleet = Fleet.create(settings.endpoints, clock, logger, view);
    const getOptions = (): PlacementOptions => this.getPlacementOptions();
    const dispatcher = Dispatcher.create(settings.requests, clock, fleet, prefixes, getOptions);
    const requests = RequestRegistry.create(settings.requests, clock);
    const base = {
      settings,
      clock,
      logger,
      links,
      view,
      fleet,
      dispatcher,
      requests,
      decisions,
      metrics,
      history,
    };
    const backups = BackupWriter.create(base);
    const resume = (request: ActiveRequest, options: ResumeOptions): void => this.resume(request, options);
    this.backupStore = BackupStore.create({ ...base, resume });
    const fetcher = ResponseFetcher.create({ ...base, hasCopy: (id) => this.backupStore.has(id) });
    const attempts = AttemptRunner.create({ ...base, entry: name, prefixes, backups });
    this.claimStore = this.createClaimStore();
    const claims = ClaimClient.create(name, this.claimStore, links, view, settings.claims.peer_timeout);
    const keys = KeyLookup.create(name, links, view, this.backupStore, claims, settings.backups.ack_timeout);
    const claimGuard = ClaimGuard.create(
      createWriterName(name, parts.incarnation),
      claims,
      backups,
      decisions,
    );
    const budget = RetryBudget.create(settings.requests.retry_fraction);
    const runner = RequestRunner.create({ ...base, budget, attempts, claimGuard, backups, fetcher });
    LeavingRuns.create(settings.endpoints, clock, requests, decisions, metrics, fleet);
    this.shares = RowShares.create(name, settings.limits, clock, links, view, () =>
      membership.getLatestTable().unwrapOr(undefined),
    );
    const admission = AdmissionControl.create(settings.requests, clock, dispatcher, (row, active, tokens) =>
      this.shares.getShare(row, active, tokens),
    );
    const getLatestTable = (): Result<PolicyTable, Failure> => membership.getLatestTable();
    this.routes = CallerRoutes.create({
      ...base,
      admission,
      runner,
      backups,
      fetcher,
      keys,
      getTable,
      getLatestTable,
    }).routes;
    this.fleet = fleet;
    this.dispatcher = dispatcher;
    this.requests = requests;
    this.backups = backups;
    this.runner = runner;
    membership.onPeerChange((peer) =>
      isUsable(peer) ? backups.replaceMissingBackups() : backups.handleLeaving(peer.record.id),
    );
    this.setGauges();
  }

  static create(parts: ServingParts): Serving {
    return new Serving(parts);
  }

  /**
   * Hands over the requests that another entry can continue, and stops those that a peer has taken over. The other
   * requests go on here until the entry closes.
   */
  async handOver(): Promise<void> {
    const open = this.requests.getOpen();
    const movable = open.filter(canHandOver);
    const taken = await this.backups.handOver(movable);
    for (const request of movable) {
      if (taken.has(request.envelope.id)) request.stop.abort(StopReason.HandedOver);
    }
    this.parts.logger.info("entry.handed-over", { requests: taken.size, open: open.length });
  }

  /** Takes over no more requests of peers. */
  stopTakeovers(): void {
    this.backupStore.close();
  }

  async close(): Promise<void> {
    this.backupStore.close();
    await this.fleet.close();
  }

  /** Continues a request of another entry, of which this entry is the backup. */
  private resume(request: ActiveRequest, { mayStart }: ResumeOptions): void {
    const task = async (): Promise<void> => {
      await this.backups.replicate(request);
      await this.runner.run(request, { rest: undefined, isTakenOver: true, mayStart });
      this.requests.finish(request);
    };
    void task();
  }

  private getPlacementOptions(): PlacementOptions {
    const { placement } = this.parts.getSettings();
    return {
      priceWeight: placement.price_weight,
      riskWeight: placement.risk_weight,
      hallRoundTripMs: placement.hall_distance,
      maxLoadFactor: placement.load_bound,
    };
  }

  private createClaimStore(): ClaimStore {
    const { budget, clients, clock } = this.parts;
    const { claims, platform } = this.parts.getSettings();
    return ClaimStore.create({
      service: budget.wrap(clients.keyValue, CallKind.Claim),
      clock,
      prefix: `${platform.prefix}claims/`,
      shards: claims.shards,
      minSwapIntervalMs: claims.interval,
      timeoutMs: claims.patience,
      retentionMs: claims.retention,
      maxActiveBytes: claims.head_bytes,
    });
  }

  private setGauges(): void {
    const { registry } = this.parts.metrics;
    const { traffic } = this.parts.membership.links;
    registry.registerGauge("gladewall_open_requests", "Requests that have not ended.", () =>
      this.requests.getOpenCount(),
    );
    registry.registerGauge("gladewall_waiting_requests", "Requests in queues.", () =>
      this.dispatcher.getTotalQueuedCount(),
    );
    registry.registerGauge(
      "gladewall_claim_swaps",
      "Swaps of claim shards.",
      () => this.claimStore.swapCount,
    );
    registry.registerGauge("gladewall_borrowed_rows", "Rows with a borrowed share.", () =>
      this.shares.getAllocatedCount(),
    );
    registry.registerGauge("gladewall_lent_rows", "Rows that this entry lends.", () =>
      this.shares.getManagedCount(),
    );
    registry.registerGauge("gladewall_copies", "Copies held for peers.", () => this.backupStore.size);
    registry.registerGauge("gladewall_protected", "Requests with a copy elsewhere.", () =>
      this.backups.getReplicatedCount(),
    );
    registry.registerGauge("gladewall_peer_sent_bytes", "Bytes sent to peers.", () => traffic.sentBytes);
    registry.registerGauge(
      "gladewall_peer_received_bytes",
      "Bytes received from peers.",
      () => traffic.receivedBytes,
    );
  }
}

/**
 * Returns whether another entry can continue a request. A call of a web service that is running can't be continued,
 * because its response arrives on this entry's connection; it is handed over only if it may be retried.
 */
function canHandOver(request: ActiveRequest): boolean {
  const { envelope, log, run } = request;
  if (!log.isWhole) return false;
  return envelope.model !== undefined || run === undefined || envelope.repeat === RepeatRule.Allowed;
}
