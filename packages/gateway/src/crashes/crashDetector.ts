/**
 * Detects endpoints that crashed with requests in flight. An interrupted connection alone is not enough: responses are broken
 * off, connections are reset and callers disconnect while an endpoint is healthy. A crash needs three signs: a request was
 * interrupted, the endpoint's address refuses connections, and no peer contradicts. If the endpoint responds again, or its record
 * is still there some time later, the detection is refuted.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import type { CrashRecords } from "./crashRecords.js";
import type { CrashReport, CrashUpdate } from "./crashUpdates.js";
import type { InFlightRequest } from "./inFlightRequest.js";
import { type Endpoint, EndpointState } from "../endpoints/endpoint.js";
import { LeavingSource } from "../endpoints/endpointAvailability.js";
import { ProbeResult } from "./endpointProbe.js";
import type { PartUpdate } from "./parts/partUpdates.js";

/** Options of the detector. */
export interface CrashDetectorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly records: CrashRecords;
  /** Checks whether an address accepts connections. */
  readonly probe: (address: string) => Promise<ProbeResult>;
  /** Decides whether an endpoint that refused a connection has crashed; a refusal suffices if omitted. */
  readonly confirm?: (endpoint: Endpoint) => Promise<boolean>;
  /** Returns an endpoint by its incarnation; undefined once it is removed from the directory. */
  readonly findEndpoint: (incarnation: string) => Endpoint | undefined;
  /** Time for which an endpoint serves on after it announced that it is leaving; milliseconds. */
  readonly drainMs: number;
  /** Milliseconds since a call to the store last failed; shortly after that, records say nothing about their endpoints. */
  readonly getTimeSinceTrouble: () => number;
  /** Sends an update to peers at once, because the delay until they know determines how many endpoints crash. */
  readonly broadcast: (update: CrashUpdate) => void;
  readonly countCrash: (service: string) => void;
}

/** Share of the drain time after which a stop may be the planned one: the notice may be as old as the response before it. */
const plannedStopShare = 0.75;
/** Time for which a connection that the endpoint accepted after an interruption shows that it is running. */
const aliveMs = 100;
/** Most requests of one instance in the report of one crash: those running and those queued at the endpoint, 60 bytes each. */
const maxReported = 256;
/**
 * A record expires after three missed heartbeats, 3.6 s; a record that is still there after this time belongs to a running
 * endpoint.
 */
const refuteAfterMs = 6_000;
/** Prompts of one instance in the report of one crash, and parts of each: a prompt with four parts takes 120 bytes. */
const maxReportedPrompts = 64;
const maxReportedParts = 16;
/** Time after its first event from which on a stream is not the cause: an endpoint crashes when it begins to respond. */
const settledMs = 1_000;
/** Fingerprints of suspects in a log line. */
const maxLoggedFingerprints = 4;
/** Parts of prompts in a log line. */
const maxLoggedParts = 12;

/** Endpoints that seemed to stop as planned, whose interrupted requests are kept; a peer that disagrees reports within a second. */
const maxUnreported = 16;

/** A check whether an endpoint has crashed, and the requests interrupted there meanwhile. */
interface CrashCheck {
  readonly interrupted: InFlightRequest[];
  readonly hasCrashed: Promise<boolean>;
}

/** What was in flight at an endpoint that seemed to stop as planned. */
interface UnreportedStop {
  readonly endpoint: Endpoint;
  readonly requests: readonly InFlightRequest[];
}

/** Detects crashes of endpoints. */
export class CrashDetector {
  private readonly checks = new Map<Endpoint, CrashCheck>();
  /** By incarnation, the latest last. */
  private readonly unreported = new Map<string, UnreportedStop>();
  /** When an endpoint last accepted a connection after a request was interrupted there. */
  private readonly aliveAt = new WeakMap<Endpoint, number>();

  private constructor(private readonly options: CrashDetectorOptions) {}

  static create(options: CrashDetectorOptions): CrashDetector {
    return new CrashDetector(options);
  }

  /** Records that a request was interrupted at an endpoint; resolves with whether the endpoint has crashed. */
  async recordInterruption(endpoint: Endpoint, request: InFlightRequest): Promise<boolean> {
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

  /**
   * Reports what was in flight here at endpoints that peers have reported as crashed, and that seemed to stop as planned: else the
   * peers' requests would seem to be the only ones that can have caused the crashes.
   */
  applyPeerReports({ reports = [] }: CrashUpdate): void {
    for (const { life: incarnation } of reports) {
      const unreported = this.unreported.get(incarnation);
      if (!unreported || !this.options.records.hasCrashed(incarnation)) continue;
      this.unreported.delete(incarnation);
      this.report(unreported.endpoint, unreported.requests);
    }
  }

  /** Refutes crashes of endpoints that still have a record; called several times a second. */
  refuteCrashes(): void {
    const { records, findEndpoint, getTimeSinceTrouble } = this.options;
    if (getTimeSinceTrouble() < refuteAfterMs) return;
    for (const incarnation of records.getCrashedBefore(refuteAfterMs)) {
      if (findEndpoint(incarnation)?.state === EndpointState.Ready) this.refute(incarnation);
    }
  }

  private refute(incarnation: string): void {
    const { records, logger, broadcast } = this.options;
    logger.info("endpoint.end-refuted", { life: incarnation });
    const update = { refuted: [incarnation] };
    records.apply(update);
    broadcast(update);
  }

  /** Records a response to a request that was sent at the given time: it refutes a crash that was reported before. */
  recordResponse({ incarnation }: Endpoint, sentAt: number): void {
    const { records } = this.options;
    if (records.hasCrashed(incarnation) && records.getCrashedAt(incarnation) < sentAt)
      this.refute(incarnation);
  }

  /**
   * Whether the endpoint may be stopping as announced, so that no request is responsible. A leaving endpoint stops as planned,
   * and one whose record is gone may. An endpoint that announced it only in responses does not stop before its drain time has
   * passed.
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
    const { probe, confirm, clock, records } = this.options;
    const result = await probe(endpoint.record.address);
    if (result === ProbeResult.Listening) this.aliveAt.set(endpoint, clock.getTime());
    const isConfirmed =
      result === ProbeResult.Refused && (confirm === undefined || (await confirm(endpoint)));
    this.checks.delete(endpoint);
    const requests = [...new Set([...interrupted, ...endpoint.inFlight])];
    const hasCrashed =
      isConfirmed && (records.hasCrashed(endpoint.incarnation) || !this.mayBePlannedStop(endpoint));
    if (hasCrashed) this.report(endpoint, requests);
    else if (isConfirmed) this.addUnreported(endpoint, requests);
    return hasCrashed;
  }

  /** Keeps subjects only, because requests hold their bodies. */
  private addUnreported(endpoint: Endpoint, interrupted: readonly InFlightRequest[]): void {
    const requests = interrupted.slice(0, maxReported).map(copyWithoutBody);
    this.unreported.set(endpoint.incarnation, { endpoint, requests });
    if (this.unreported.size > maxUnreported) this.unreported.delete(this.unreported.keys().next().value!);
  }

  /** Returns the prompts that may have crashed an endpoint; undefined if there are none. */
  private createPartCrash(
    { incarnation: life, record }: Endpoint,
    requests: readonly InFlightRequest[],
  ): PartUpdate | undefined {
    const time = this.options.clock.getTime();
    const beginning = requests.filter(
      ({ sharedParts = [], firstEventAt = time }) =>
        sharedParts.length > 0 && time - firstEventAt < settledMs,
    );
    if (beginning.length === 0) return undefined;
    const aboard = beginning.slice(0, maxReportedPrompts).map((request) => {
      const { subject, sharedParts = [], suspectedParts: suspected = [], triedParts: tried = [] } = request;
      return { ...subject, parts: sharedParts.slice(0, maxReportedParts), suspected, tried };
    });
    return { crashes: [{ life, service: record.service, aboard }] };
  }

  private report(endpoint: Endpoint, requests: readonly InFlightRequest[]): void {
    const { clock, logger, records, broadcast, countCrash } = this.options;
    const { incarnation, record } = endpoint;
    const isFirst = !records.hasCrashed(incarnation);
    const inFlight = requests.slice(0, maxReported).map(({ subject }) => subject);
    const report: CrashReport = records.createReport(incarnation, inFlight);
    const parts = this.createPartCrash(endpoint, requests.slice(0, maxReported));
    const update: CrashUpdate = { reports: [report], ...(parts && { parts }) };
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
      parts: formatPartCounts(requests),
    });
    if (!isFirst) return;
    endpoint.recordUnreachable(clock.getTime());
    countCrash(record.service);
  }
}

/** Formats which parts the prompts of requests had and how many requests had each, the most frequent first: `id*count,…`. */
function formatPartCounts(requests: readonly InFlightRequest[]): string {
  const counts = new Map<string, number>();
  for (const id of requests.flatMap(({ sharedParts = [] }) => sharedParts))
    counts.set(id, (counts.get(id) ?? 0) + 1);
  const ordered = [...counts].sort(([, one], [, other]) => other - one);
  return ordered
    .slice(0, maxLoggedParts)
    .map(([id, count]) => `${id}*${count}`)
    .join();
}

/** Copies what a report needs, because the request itself holds its body. */
function copyWithoutBody(request: InFlightRequest): InFlightRequest {
  const { subject, sharedParts, suspectedParts, triedParts, firstEventAt } = request;
  return { subject: { ...subject }, sharedParts, suspectedParts, triedParts, firstEventAt };
}
