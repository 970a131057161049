/**
 * Finds out which endpoints have ended with requests on them. A cut connection alone says little: answers are broken
 * off, connections reset and callers leave while an endpoint is sound. Its end shows by two signs that come about
 * apart: a request was cut, and its address refuses connections. A record that is still there some time later takes the
 * word back.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import type { CrashRecords, CrashReport, CrashSubject, CrashUpdate } from "./crashRecords.js";
import { type Endpoint, EndpointState } from "./endpoint.js";
import { LeavingSource } from "./endpointAvailability.js";
import { ProbeResult } from "./endpointProbe.js";

/** A request that is at an endpoint. */
export interface InFlightRequest {
  /** Costs a digest where it was not needed before. */
  readonly subject: CrashSubject;
}

/** Options of the watch. */
export interface CrashDetectorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly records: CrashRecords;
  /** Asks an address whether anybody listens there. */
  readonly probe: (address: string) => Promise<ProbeResult>;
  /** Returns an endpoint by its life; undefined once it is forgotten. */
  readonly findEndpoint: (incarnation: string) => Endpoint | undefined;
  /** Time for which an endpoint serves on after its word that it leaves; milliseconds. */
  readonly drainMs: number;
  /** Milliseconds since the store was last in trouble: until then, records say nothing of their endpoints. */
  readonly getTimeSinceTrouble: () => number;
  /** Tells peers at once: the time until they know decides how many endpoints end. */
  readonly broadcast: (update: CrashUpdate) => void;
  readonly countCrash: (service: string) => void;
}

/** Part of the drain time after which an end may be the planned one: the word may be as old as the answer before it. */
const plannedStopShare = 0.75;
/** Connections that an endpoint takes right after a cut tell for as long that it lives. */
const aliveMs = 100;
/** Most requests of one instance that are reported of one end: those that run there and wait there, 60 bytes each. */
const maxReported = 256;
/** A record vanishes after three heartbeats without a write, 3.6 s; one that is there after this long is a live one's. */
const refuteAfterMs = 6_000;
/** Fingerprints of suspects in a log line. */
const maxLoggedFingerprints = 4;

/** An attempt to find out whether an endpoint has ended, and who was cut there meanwhile. */
interface CrashCheck {
  readonly interrupted: InFlightRequest[];
  readonly hasCrashed: Promise<boolean>;
}

/** Watches endpoints for their end. */
export class CrashDetector {
  private readonly checks = new Map<Endpoint, CrashCheck>();
  /** When an endpoint last showed that it lives, though a request was cut there. */
  private readonly aliveAt = new WeakMap<Endpoint, number>();

  private constructor(private readonly options: CrashDetectorOptions) {}

  static create(options: CrashDetectorOptions): CrashDetector {
    return new CrashDetector(options);
  }

  /** Takes note that a request was cut at an endpoint; resolves with whether the endpoint has ended. */
  async noteInterruption(endpoint: Endpoint, request: InFlightRequest): Promise<boolean> {
    const { clock, records } = this.options;
    if (this.mayBePlannedStop(endpoint)) return false;
    if (records.hasCrashed(endpoint.incarnation)) {
      this.report(endpoint, [request]);
      return true;
    }
    const aliveAt = this.aliveAt.get(endpoint) ?? -Infinity;
    if (clock.getTime() - aliveAt < aliveMs) return false;
    const check = this.checks.get(endpoint) ?? this.startCheck(endpoint);
    check.interrupted.push(request);
    return check.hasCrashed;
  }

  /** Takes back what a record shows to be wrong; called several times a second. */
  review(): void {
    const { records, findEndpoint, getTimeSinceTrouble, logger, broadcast } = this.options;
    if (getTimeSinceTrouble() < refuteAfterMs) return;
    for (const incarnation of records.getCrashedBefore(refuteAfterMs)) {
      if (findEndpoint(incarnation)?.state !== EndpointState.Ready) continue;
      logger.info("endpoint.end-refuted", { life: incarnation });
      const update = { refuted: [incarnation] };
      records.apply(update);
      broadcast(update);
    }
  }

  /**
   * Whether an end now would be one that was announced, so that no request is to blame. One that leaves ends as planned, and one
   * whose record is gone may; but one that has only just begun to say so in answers does not end before its drain time.
   */
  private mayBePlannedStop({ state, availability, servedAt }: Endpoint): boolean {
    if (state === EndpointState.Ready) return false;
    const isAnnouncedInResponses =
      availability.leavingSource === LeavingSource.Answer ||
      availability.leavingSource === LeavingSource.Peer;
    if (!isAnnouncedInResponses) return true;
    const { clock, drainMs } = this.options;
    return clock.getTime() - servedAt >= drainMs * plannedStopShare;
  }

  private startCheck(endpoint: Endpoint): CrashCheck {
    const interrupted: InFlightRequest[] = [];
    const check = { interrupted, hasCrashed: this.check(endpoint, interrupted) };
    this.checks.set(endpoint, check);
    return check;
  }

  private async check(endpoint: Endpoint, interrupted: readonly InFlightRequest[]): Promise<boolean> {
    const result = await this.options.probe(endpoint.record.address);
    this.checks.delete(endpoint);
    if (result === ProbeResult.Listening) this.aliveAt.set(endpoint, this.options.clock.getTime());
    const hasCrashed = result === ProbeResult.Refused && !this.mayBePlannedStop(endpoint);
    if (hasCrashed) this.report(endpoint, [...new Set([...interrupted, ...endpoint.inFlight])]);
    return hasCrashed;
  }

  private report(endpoint: Endpoint, requests: readonly InFlightRequest[]): void {
    const { clock, logger, records, broadcast, countCrash } = this.options;
    const { incarnation, record } = endpoint;
    const isFirst = !records.hasCrashed(incarnation);
    const inFlight = requests.slice(0, maxReported).map(({ subject }) => subject);
    const report: CrashReport = records.createReport(incarnation, inFlight);
    const update = { reports: [report] };
    if (!records.apply(update)) return;
    broadcast(update);
    logger.info("endpoint.ended", {
      endpoint: record.id,
      life: incarnation,
      service: record.service,
      aboard: inFlight.length,
      suspects: report.suspects.length,
      fingerprints: report.suspects
        .slice(0, maxLoggedFingerprints)
        .map(({ fingerprint }) => fingerprint)
        .join(),
    });
    if (!isFirst) return;
    endpoint.noteUnreachable(clock.getTime());
    countCrash(record.service);
  }
}
