/**
 * Assembles the protection against requests that crash endpoints: detection, records, gossip with peers, the store, and the gate
 * that requests pass.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import { type CrashFleet, CrashGossip } from "./crashGossip.js";
import { CrashRecords } from "./crashRecords.js";
import type { CrashUpdate } from "./crashUpdates.js";
import { createCrashItems } from "./crashStore.js";
import { CrashDetector } from "./crashDetector.js";
import type { Endpoint, PeerWork } from "../endpoints/endpoint.js";
import type { EndpointDirectory } from "../endpoints/endpointDirectory.js";
import { CrashWitnesses } from "./crashWitnesses.js";
import type { ProbeResult } from "./endpointProbe.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { Removal } from "../store/prefixFollower.js";
import { SuspectGate } from "./suspectGate.js";
import type { QuarantineItems } from "./quarantineItems.js";
import { createPartItems } from "./parts/partStore.js";
import { PartObserver } from "./parts/partObserver.js";
import { reportDelayMs } from "./parts/partRecords.js";
import { type TrialCallArguments, TrialScheduler } from "./trialScheduler.js";
import type { MetadataStore, StoreItem } from "../types.js";

/** The fleet as the crash protection needs it. */
export interface CrashMembers extends CrashFleet {
  /** Returns the load that other instances have put on an endpoint. */
  getPeerWork(incarnation: string): PeerWork;
}

/** Options of the crash protection. */
export interface CrashProtectionOptions {
  /** Name of this instance. */
  readonly ownName: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: MetadataStore;
  readonly directory: Pick<EndpointDirectory, "find" | "getOfService" | "getAll">;
  readonly members: CrashMembers;
  readonly metrics: GatewayMetrics;
  /** Checks whether an address accepts connections. */
  readonly probe: (address: string) => Promise<ProbeResult>;
  /** Time for which an endpoint serves on after it announced that it is leaving; milliseconds. */
  readonly drainMs: number;
  readonly getTimeSinceTrouble: () => number;
  /** Returns Unix milliseconds. */
  readonly getTimeOfDay: () => number;
}

/** Added to the time after which a suspicion is due, so that it is due when the timer fires. */
const dueMarginMs = 10;

/** Crash protection of one instance. */
export class CrashProtection {
  readonly records: CrashRecords;
  /** The gate that requests pass before they are sent. */
  readonly suspects: SuspectGate;
  private readonly detector: CrashDetector;
  private readonly witnesses: CrashWitnesses;
  private readonly scheduler: TrialScheduler;
  private readonly items: readonly Pick<QuarantineItems<object>, "handleItem" | "reconcile">[];
  private readonly observer: PartObserver;

  private constructor(private readonly options: CrashProtectionOptions) {
    const { ownName, clock, logger, store, directory, members, metrics, probe } = options;
    const records = CrashRecords.create(clock);
    this.records = records;
    const findEndpoint = directory.find.bind(directory);
    const getEndpoints = directory.getOfService.bind(directory);
    this.scheduler = TrialScheduler.create({
      clock,
      records,
      getEndpoints,
      getPeerWork: (incarnation) => members.getPeerWork(incarnation),
      onExpired: (incarnation, request) => this.checkExpiredTrial(incarnation, request),
    });
    const onUpdate = (update: CrashUpdate): void => {
      this.markUnreachable(update);
      this.detector.applyPeerReports(update);
      this.handleUpdate(update);
    };
    const gossip = CrashGossip.create({
      ownName,
      fleet: members,
      records,
      scheduler: this.scheduler,
      onUpdate,
    });
    const broadcast = (update: CrashUpdate): void => {
      gossip.broadcast(update);
      this.handleUpdate(update);
    };
    this.observer = PartObserver.create({
      clock,
      logger,
      records,
      getEndpoints,
      isCollector: () => members.isCollector,
      getTimeOfDay: options.getTimeOfDay,
      publish: (parts) => {
        if (records.apply({ parts })) broadcast({ parts });
      },
    });
    this.witnesses = CrashWitnesses.create({
      fleet: members,
      logger,
      records,
      probe,
      findEndpoint,
      getAllEndpoints: () => directory.getAll(),
      getRandom: Math.random,
    });
    this.detector = CrashDetector.create({
      clock,
      logger,
      records,
      probe,
      confirm: (endpoint) => this.confirmCrash(endpoint),
      findEndpoint,
      drainMs: options.drainMs,
      getTimeSinceTrouble: options.getTimeSinceTrouble,
      broadcast,
      countCrash: (service) => metrics.countEndpointCrash(service),
    });
    const isWriter = (id: string): boolean => members.isCollector && members.findArbiter(id) === ownName;
    const kept = { store, clock, logger, records, isWriter };
    this.items = [createCrashItems(kept), createPartItems(kept)];
    this.suspects = SuspectGate.create({
      clock,
      logger,
      records,
      detector: this.detector,
      metrics,
      broadcast,
      callArbiter: (callArguments) => gossip.callArbiter(callArguments),
      endTrial: (service, incarnation, fingerprint) => gossip.endTrial(service, incarnation, fingerprint),
      getEndpoints,
      findEndpoint,
      recordWhole: (service, parts, beganAt) => this.observer.recordWhole(service, parts, beganAt),
    });
  }

  static create(options: CrashProtectionOptions): CrashProtection {
    return new CrashProtection(options);
  }

  /** Resolves with whether an endpoint that refused a connection of this instance has crashed. */
  confirmCrash(endpoint: Endpoint): Promise<boolean> {
    return this.witnesses.confirm(endpoint);
  }

  /** Handles an item of the store that was written or removed. */
  handleItem(key: string, item: StoreItem | undefined, removal?: Removal): void {
    for (const items of this.items) items.handleItem(key, item, removal);
    this.scheduler.review();
  }

  /** Refutes crashes that records disprove, and brings the store up to date; called several times a second. */
  reconcile(): void {
    this.detector.refuteCrashes();
    this.observer.review();
    this.reconcileItems();
  }

  close(): void {
    this.scheduler.close();
  }

  /** Handles what has become known of crashes, here or at a peer. */
  private handleUpdate({ parts }: CrashUpdate): void {
    this.reconcileItems();
    if (!parts) return;
    if (parts.crashes) this.handlePartCrash();
    this.scheduler.review();
  }

  /** The suspicion is written as soon as it is due, because all instances may be killed before the next review. */
  private handlePartCrash(): void {
    this.observer.handleCrash();
    this.options.clock.startTimer(reportDelayMs + dueMarginMs, () => this.reconcileItems());
  }

  /** Only instances that receive the reports of the whole fleet write items. */
  private reconcileItems(): void {
    if (!this.options.members.isCollector) return;
    for (const items of this.items) items.reconcile();
  }

  /** Checks whether the endpoint of a trial has crashed whose instance did not tell, as when it was killed meanwhile. */
  private checkExpiredTrial(incarnation: string, { subject, parts, heldParts }: TrialCallArguments): void {
    const endpoint = this.options.directory.find(incarnation);
    if (!endpoint || !heldParts) return;
    const request = { subject, sharedParts: parts ?? [], suspectedParts: heldParts, triedParts: heldParts };
    void this.detector.recordInterruption(endpoint, request);
  }

  /**
   * Marks endpoints that a peer reported as crashed as unreachable, so that this instance sends no requests to find it out
   * itself.
   */
  private markUnreachable({ reports = [] }: CrashUpdate): void {
    const { clock, directory } = this.options;
    for (const { life: incarnation } of reports) {
      const endpoint = directory.find(incarnation);
      const time = clock.getTime();
      if (endpoint && !endpoint.isUnreachable(time)) endpoint.recordUnreachable(time);
    }
  }
}
