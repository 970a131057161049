/**
 * Puts together what an instance knows of endpoints that ended and of the requests they had, and keeps it in step with peers
 * and the store.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import { CrashGossip } from "./crashGossip.js";
import { CrashRecords, type CrashUpdate } from "./crashRecords.js";
import { CrashStore } from "./crashStore.js";
import { CrashDetector } from "./crashDetector.js";
import type { EndpointDirectory } from "./endpointDirectory.js";
import { probeEndpoint } from "./endpointProbe.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { Members } from "./members.js";
import type { Removal } from "./prefixFollower.js";
import { SuspectGate } from "./suspectGate.js";
import { TrialScheduler } from "./trialScheduler.js";
import type { MetadataStore, StoreItem } from "./types.js";

/** What the parts stand on. */
export interface CrashProtectionOptions {
  /** Name of this instance. */
  readonly own: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: MetadataStore;
  readonly directory: EndpointDirectory;
  readonly members: Members;
  readonly metrics: GatewayMetrics;
  /** Longest time to open a connection to an endpoint. */
  readonly connectTimeoutMs: number;
  /** Time for which an endpoint serves on after its word that it leaves; milliseconds. */
  readonly drainMs: number;
  readonly getTimeSinceTrouble: () => number;
}

/** All that an instance knows of endpoints that ended. */
export class CrashProtection {
  readonly records: CrashRecords;
  /** What requests are asked about. */
  readonly suspects: SuspectGate;
  private readonly detector: CrashDetector;
  private readonly scheduler: TrialScheduler;
  private readonly crashStore: CrashStore;

  private constructor(private readonly options: CrashProtectionOptions) {
    const { own, clock, logger, store, directory, members, metrics } = options;
    const records = CrashRecords.create(clock);
    this.records = records;
    const findEndpoint = directory.find.bind(directory);
    const getEndpoints = directory.getOfService.bind(directory);
    this.scheduler = TrialScheduler.create({
      clock,
      records,
      getEndpoints,
      getPeerWork: (incarnation) => members.getPeerWork(incarnation),
    });
    const onUpdate = (update: CrashUpdate): void => {
      this.markUnreachable(update);
      this.crashStore.review();
    };
    const gossip = CrashGossip.create({
      own,
      fleet: members,
      records,
      scheduler: this.scheduler,
      onUpdate,
    });
    const broadcast = (update: CrashUpdate): void => {
      gossip.broadcast(update);
      this.crashStore.review();
    };
    this.detector = CrashDetector.create({
      clock,
      logger,
      records,
      probe: (address) => probeEndpoint(address, options.connectTimeoutMs),
      findEndpoint,
      drainMs: options.drainMs,
      getTimeSinceTrouble: options.getTimeSinceTrouble,
      broadcast,
      countCrash: (service) => metrics.countEndpointCrash(service),
    });
    this.crashStore = CrashStore.create({
      store,
      clock,
      logger,
      records,
      isWriter: (fingerprint) => members.isCollector && members.findArbiter(fingerprint) === own,
    });
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
    });
  }

  static create(options: CrashProtectionOptions): CrashProtection {
    return new CrashProtection(options);
  }

  /** Takes an item of the store, or that it is gone and how. */
  handleItem(key: string, item: StoreItem | undefined, removal?: Removal): void {
    this.crashStore.handleItem(key, item, removal);
  }

  /** Looks again at what was held to have ended, and at what the store should hold. */
  review(): void {
    this.detector.review();
    this.crashStore.review();
  }

  close(): void {
    this.scheduler.close();
  }

  /** A peer found that an endpoint has ended: this instance need not find it out by requests of its own. */
  private markUnreachable({ reports = [] }: CrashUpdate): void {
    const { clock, directory } = this.options;
    for (const { life: incarnation } of reports) {
      const endpoint = directory.find(incarnation);
      const time = clock.getTime();
      if (endpoint && !endpoint.isUnreachable(time)) endpoint.noteUnreachable(time);
    }
  }
}
