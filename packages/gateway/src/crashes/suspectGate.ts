/**
 * Decides, for a request about to be sent, whether it may be responsible for crashes of endpoints (a suspect), whether and where
 * it may run, and when it is cleared.
 * @module
 */
import { type Clock, Failure, FailureCode, type Logger, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { type CrashRecords, cooldownMs } from "./crashRecords.js";
import type { CrashSubject, CrashUpdate } from "./crashUpdates.js";
import type { CrashDetector } from "./crashDetector.js";
import type { InFlightRequest } from "./inFlightRequest.js";
import { getStricter, QuarantineState } from "./quarantineState.js";
import type { Endpoint } from "../endpoints/endpoint.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import { mayServe, type RequiredOrigin } from "../origins/streamOrigin.js";
import type { PartJudgment } from "./parts/partRecords.js";
import { isDown, type TrialReply, type TrialCallArguments, TrialDecision } from "./trialScheduler.js";

/** Options of the gate. */
export interface SuspectGateOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly records: CrashRecords;
  readonly detector: CrashDetector;
  readonly metrics: GatewayMetrics;
  readonly broadcast: (update: CrashUpdate) => void;
  readonly callArbiter: (callArguments: TrialCallArguments) => Promise<TrialReply>;
  readonly endTrial: (service: string, incarnation: string, fingerprint: string) => void;
  readonly getEndpoints: (service: string) => readonly Endpoint[];
  readonly findEndpoint: (incarnation: string) => Endpoint | undefined;
  /** Records that the complete response to a request was received. */
  readonly recordWhole?: (service: string, parts: readonly string[], beganAt: number) => void;
}

/** What a request may be suspected for. */
export interface SuspectSource {
  readonly subject: CrashSubject;
  readonly service: string;
  /** Ids of the parts of its prompt that other requests may share. */
  readonly sharedParts?: readonly string[];
}

/** A request that may be a suspect. */
export interface SuspectRequest extends SuspectSource {
  readonly id: string;
  /** Incarnations of endpoints that it was sent to before. */
  readonly excluded: ReadonlySet<string>;
  /** Where the stream began that it goes on with; undefined if any endpoint of the service may serve it. */
  readonly origin?: RequiredOrigin | undefined;
  /** Milliseconds until it must have its final response. */
  readonly leftMs: number;
}

/** Whether and how a request may run, and why. */
interface Suspicion {
  readonly state: QuarantineState;
  readonly ofRequest: QuarantineState;
  readonly judgment: PartJudgment;
}

/** A run at an endpoint that no other isolated request uses meanwhile. */
export interface Trial {
  readonly endpoint: Endpoint;
  /** Parts of the prompt because of which the request runs there. */
  readonly parts: readonly string[];
  /** Releases the endpoint for the next trial; further calls have no effect. */
  end(): void;
}

/** Time after a crash until peers' reports of crashes at the same moment arrive: one or two hops of a few milliseconds. */
const peerReportDelayMs = 50;
/** Longest wait for an endpoint: a trial that starts at once lets the next one start after 0.2 to 0.5 s. */
const maxTrialWaitMs = 600;
/** Largest share of its remaining time that a request waits for an endpoint. */
const trialWaitShare = 0.3;
/** Share of a service's endpoints that may be down while suspects of a single crash still run like other requests. */
const maxDownShare = 0.75;
/** Time after which a suspect for which no endpoint was free may be retried. */
const busyRetryMs = 500;

/** Decides on suspects. */
export class SuspectGate {
  private constructor(private readonly options: SuspectGateOptions) {}

  static create(options: SuspectGateOptions): SuspectGate {
    return new SuspectGate(options);
  }

  /** Whether requests of a workspace may be suspects; if not, they need no fingerprint. */
  hasSuspects(workspace: string, service: string): boolean {
    const { records } = this.options;
    return records.hasSuspects(workspace) || records.parts.hasSuspects(service);
  }

  /** Whether a request may have to run isolated, or must not run. */
  isSuspect(source: SuspectSource): boolean {
    return this.getSuspicion(source).state !== QuarantineState.Clear;
  }

  /** Returns those of a prompt's parts that are suspected; they are only read if the service has suspected ones. */
  getSuspectedParts(service: string, prompt: Pick<InFlightRequest, "sharedParts">): readonly string[] {
    const { parts } = this.options.records;
    return parts.hasSuspects(service) ? parts.getSuspected(service, prompt.sharedParts ?? []) : [];
  }

  /** Records that a request was interrupted at an endpoint; resolves with whether the endpoint has crashed. */
  recordInterruption(endpoint: Endpoint, request: InFlightRequest): Promise<boolean> {
    return this.options.detector.recordInterruption(endpoint, request);
  }

  /** Records a response of an endpoint to a request that was sent at the given time. */
  recordResponse(endpoint: Endpoint, sentAt: number): void {
    this.options.detector.recordResponse(endpoint, sentAt);
  }

  /**
   * Finds an endpoint for a request that must run isolated; returns `undefined` if it may run like others. Fails with
   * `CrashSuspect` if no endpoint is free for it, and with `CrashesEndpoints` or `PartCrashesEndpoints` if it is blocked for good or for
   * the cooldown.
   */
  async findTrial(request: SuspectRequest): Promise<Result<Trial | undefined, Failure>> {
    const { callArbiter } = this.options;
    const { subject, service, leftMs, sharedParts = [] } = request;
    await this.awaitPeerReports(request);
    const suspicion = this.getSuspicion(request);
    const { state } = suspicion;
    if (state === QuarantineState.Clear) return Ok(undefined);
    if (state === QuarantineState.Suspect && !this.hasFewEndpoints(service)) return Ok(undefined);
    if (state !== QuarantineState.Isolated) return Err(this.refuse(request, suspicion));
    const waitMs = Math.min(maxTrialWaitMs, leftMs * trialWaitShare);
    const heldParts = suspicion.judgment.parts;
    const reply = await callArbiter({
      service,
      subject,
      ...(heldParts.length > 0 && { parts: sharedParts, heldParts }),
      excluded: this.getExcluded(request),
      waitMs,
    });
    this.log(request, "suspect.asked", {
      word: TrialDecision[reply.word],
      life: reply.life,
      parts: heldParts.join(),
    });
    // It may have been cleared or blocked while it waited.
    const current = this.getSuspicion(request);
    if (reply.word === TrialDecision.Granted && reply.life !== undefined) {
      return this.beginTrial(request, reply.life, heldParts, current.state);
    }
    const mayRun = current.state === QuarantineState.Clear || reply.word === TrialDecision.Cleared;
    if (mayRun && isRunnable(current.state)) return Ok(undefined);
    return Err(this.refuse(request, current));
  }

  /** Returns the stricter one of what is known of the whole request and of the parts of its prompt. */
  private getSuspicion({ subject, service, sharedParts = [] }: SuspectSource): Suspicion {
    const { records } = this.options;
    // Where only parts are suspected, as after a verdict on one, requests need no digest.
    const isWatched = records.hasSuspects(subject.workspace);
    const ofRequest = isWatched ? records.getQuarantineState(subject) : QuarantineState.Clear;
    const judgment = records.parts.judge(service, subject.workspace, sharedParts);
    return { state: getStricter(ofRequest, judgment.state), ofRequest, judgment };
  }

  /**
   * Endpoints that this request must not be sent to. Includes endpoints on hold-off at this instance and those at which its
   * stream can't go on, because the arbiter has no record of either.
   */
  private getExcluded({ service, excluded, origin }: SuspectRequest): readonly string[] {
    const { clock, getEndpoints } = this.options;
    const time = clock.getTime();
    const unsuitable = getEndpoints(service).filter(
      (endpoint) => !endpoint.availability.acceptsRequest(time) || !mayServe(origin, endpoint),
    );
    return [...excluded, ...unsuitable.map(({ incarnation }) => incarnation)];
  }

  /** Waits until peers' reports of crashes at the same moment have had time to arrive. */
  private async awaitPeerReports({ subject, service, sharedParts = [] }: SuspectRequest): Promise<void> {
    const { clock, records } = this.options;
    const isWatched = records.hasSuspects(subject.workspace);
    const sinceRequest = isWatched ? records.getTimeSinceCrash(subject.fingerprint) : Infinity;
    const sincePart = records.parts.getTimeSinceCrash(service, sharedParts);
    const leftMs = peerReportDelayMs - Math.min(sinceRequest, sincePart);
    if (leftMs > 0) await waitFor(clock, leftMs);
  }

  /** Whether so many endpoints of a service are down that no suspect may crash another one. */
  private hasFewEndpoints(service: string): boolean {
    return this.countDown(service) > this.getUsable(service).length * maxDownShare;
  }

  private getUsable(service: string): readonly Endpoint[] {
    return this.options.getEndpoints(service).filter((endpoint) => endpoint.isUsable());
  }

  private countDown(service: string): number {
    const { clock, records } = this.options;
    const time = clock.getTime();
    return this.getUsable(service).filter((endpoint) => isDown(endpoint, records, time)).length;
  }

  /** Clears a request whose complete response was received, and the parts of its prompt. */
  clear({ subject, service, sharedParts = [] }: SuspectSource, beganAt: number): void {
    const { records, broadcast, logger, recordWhole } = this.options;
    recordWhole?.(service, sharedParts, beganAt);
    if (!records.hasSuspects(subject.workspace)) return;
    const { workspace, fingerprint } = subject;
    const incarnations = records.getUncleared(fingerprint);
    if (incarnations.length === 0) return;
    const update = { acquittals: [{ fingerprint, lives: incarnations }] };
    records.apply(update);
    broadcast(update);
    logger.info("suspect.cleared", { workspace, fingerprint, lives: incarnations.length });
  }

  private beginTrial(
    { subject, service, origin }: SuspectRequest,
    incarnation: string,
    parts: readonly string[],
    state: QuarantineState,
  ): Result<Trial | undefined, Failure> {
    const { clock, endTrial, findEndpoint } = this.options;
    const endpoint = findEndpoint(incarnation);
    let hasEnded = false;
    const end = (): void => {
      if (!hasEnded) endTrial(service, incarnation, subject.fingerprint);
      hasEnded = true;
    };
    // The endpoint may have announced meanwhile that it is leaving, or requested a hold-off.
    const isSuitable = endpoint?.acceptsRequest(clock.getTime()) === true && mayServe(origin, endpoint);
    if (isSuitable && isRunnable(state)) return Ok({ endpoint, parts, end });
    end();
    return Err(createBusyRefusal(service));
  }

  private refuse(request: SuspectRequest, { state, ofRequest, judgment }: Suspicion): Failure {
    const { records, metrics } = this.options;
    const { subject, service } = request;
    const isOfPart = judgment.state > ofRequest;
    const incarnations = isOfPart ? judgment.lives : records.getUncleared(subject.fingerprint);
    this.log(request, "suspect.refused", {
      verdict: QuarantineState[state],
      lives: incarnations.join(),
      down: this.countDown(service),
      usable: this.getUsable(service).length,
      parts: request.sharedParts?.join(),
      because: judgment.parts.join(),
    });
    metrics.countSuspectRefusal(service, QuarantineState[state]);
    // The verdict on a part is reached within a few hundred milliseconds.
    if (isRunnable(state) || (isOfPart && state === QuarantineState.Resting))
      return createBusyRefusal(service);
    const count = incarnations.length;
    const part = judgment.parts[0] ?? "";
    return isOfPart
      ? Failure.create(FailureCode.PartCrashesEndpoints, { service, count, part }, cooldownMs)
      : Failure.create(FailureCode.CrashesEndpoints, { service, count }, cooldownMs);
  }

  private log(
    { id, subject, service }: SuspectRequest,
    event: string,
    fields: Record<string, string | number | undefined>,
  ): void {
    const { workspace, fingerprint } = subject;
    const ageMs = Math.round(this.options.records.getTimeSinceCrash(fingerprint));
    this.options.logger.info(event, { request: id, service, workspace, fingerprint, ageMs, ...fields });
  }
}

/** Whether a request may run, now or as soon as an endpoint is free for it. */
function isRunnable(state: QuarantineState): boolean {
  return state < QuarantineState.Resting;
}

function createBusyRefusal(service: string): Failure {
  return Failure.create(FailureCode.CrashSuspect, { service }, busyRetryMs);
}
