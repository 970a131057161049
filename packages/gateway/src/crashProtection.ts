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
  private readonly watch: CrashDetector;
  private readonly grants: TrialScheduler;
  private readonly kept: CrashStore;

  private constructor(private readonly options: CrashProtectionOptions) {
    const { own, clock, logger, store, directory, members, metrics } = options;
    const records = CrashRecords.create(clock);
    this.records = records;
    const findEndpoint = directory.find.bind(directory);
    const getEndpoints = directory.getOfService.bind(directory);
    this.grants = TrialScheduler.create({
      clock,
      records,
      getEndpoints,
      getPeerWork: (life) => members.getPeerWork(life),
    });
    const onWords = (words: CrashUpdate): void => {
      this.noteUnreachable(words);
      this.kept.review();
    };
    const links = CrashGossip.create({
      own,
      fleet: members,
      records,
      grants: this.grants,
      onUpdate: onWords,
    });
    const tell = (words: CrashUpdate): void => {
      links.broadcast(words);
      this.kept.review();
    };
    this.watch = CrashDetector.create({
      clock,
      logger,
      records,
      probe: (address) => probeEndpoint(address, options.connectTimeoutMs),
      findEndpoint,
      drainMs: options.drainMs,
      getTimeSinceTrouble: options.getTimeSinceTrouble,
      broadcast: tell,
      countCrash: (service) => metrics.countEndpointCrash(service),
    });
    this.kept = CrashStore.create({
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
      detector: this.watch,
      metrics,
      broadcast: tell,
      callArbiter: (question) => links.callArbiter(question),
      endTrial: (service, life, fingerprint) => links.endTrial(service, life, fingerprint),
      getEndpoints,
      findEndpoint,
    });
  }

  static create(options: CrashProtectionOptions): CrashProtection {
    return new CrashProtection(options);
  }

  /** Takes an item of the store, or that it is gone and how. */
  handleItem(key: string, item: StoreItem | undefined, removal?: Removal): void {
    this.kept.handleItem(key, item, removal);
  }

  /** Looks again at what was held to have ended, and at what the store should hold. */
  review(): void {
    this.watch.review();
    this.kept.review();
  }

  close(): void {
    this.grants.close();
  }

  /** A peer found that an endpoint has ended: this instance need not find it out by requests of its own. */
  private noteUnreachable({ reports = [] }: CrashUpdate): void {
    const { clock, directory } = this.options;
    for (const { life } of reports) {
      const endpoint = directory.find(life);
      const time = clock.getTime();
      if (endpoint && !endpoint.isUnreachable(time)) endpoint.noteUnreachable(time);
    }
  }
}
