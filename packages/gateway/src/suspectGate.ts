/**
 * Requests under which endpoints ended, as the requests' own path sees them: what may be done with one, where a suspect
 * runs, and when it is cleared.
 * @module
 */
import { type Clock, Failure, FailureCode, type Logger, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import {
  type CrashRecords,
  type CrashSubject,
  type CrashUpdate,
  cooldownMs,
  QuarantineState,
} from "./crashRecords.js";
import type { InFlightRequest, CrashDetector } from "./crashDetector.js";
import type { Endpoint } from "./endpoint.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import { isDown, type TrialReply, type TrialCallArguments, TrialDecision } from "./trialScheduler.js";

/** Options of the suspects. */
export interface SuspectGateOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly records: CrashRecords;
  readonly detector: CrashDetector;
  readonly metrics: GatewayMetrics;
  readonly broadcast: (words: CrashUpdate) => void;
  readonly callArbiter: (question: TrialCallArguments) => Promise<TrialReply>;
  readonly endTrial: (service: string, life: string, fingerprint: string) => void;
  readonly getEndpoints: (service: string) => readonly Endpoint[];
  readonly findEndpoint: (life: string) => Endpoint | undefined;
}

/** A request that may be a suspect. */
export interface SuspectRequest {
  readonly id: string;
  readonly subject: CrashSubject;
  readonly service: string;
  /** Lives of endpoints that it was sent to before. */
  readonly excluded: ReadonlySet<string>;
  /** Time until it must have its final answer. */
  readonly leftMs: number;
}

/** A run at an endpoint where no other isolated request runs. */
export interface Trial {
  readonly endpoint: Endpoint;
  /** Lets the next one run there; called again, it changes nothing. */
  end(): void;
}

/** Time after an end until peers' words on others at the same moment are there: one or two hops of a few milliseconds. */
const wordsMs = 50;
/** Longest wait for an endpoint: a run that began at once lets the next begin after 0.2 to 0.5 s. */
const mostWaitMs = 600;
/** Of the time that a request has left, it waits this share at most. */
const waitedShare = 0.3;
/** Part of a service's endpoints that may have ended while suspects of one end still run like others. */
const shortShare = 0.75;
/** When a suspect for which no endpoint was free may come back. */
const busyRetryMs = 500;

/** Decides about requests under which endpoints ended. */
export class SuspectGate {
  private constructor(private readonly options: SuspectGateOptions) {}

  static create(options: SuspectGateOptions): SuspectGate {
    return new SuspectGate(options);
  }

  /** Whether a request of a workspace may be a suspect at all; without any, no request is looked at. */
  hasSuspects(workspace: string): boolean {
    return this.options.records.hasSuspects(workspace);
  }

  /** Takes note that a request was cut at an endpoint; resolves with whether the endpoint has ended. */
  noteInterruption(endpoint: Endpoint, request: InFlightRequest): Promise<boolean> {
    return this.options.detector.noteInterruption(endpoint, request);
  }

  /**
   * Finds an endpoint for a request that must run apart; `undefined` where it may run like others. Fails with
   * `CrashSuspect` where no endpoint is free for it, and with `CrashesEndpoints` where it is not run any more, or not
   * for a time.
   */
  async findTrial(request: SuspectRequest): Promise<Result<Trial | undefined, Failure>> {
    const { records, callArbiter: ask } = this.options;
    const { subject, service, leftMs } = request;
    await this.awaitWords(subject);
    const verdict = records.getQuarantineState(subject);
    if (verdict === QuarantineState.Clear) return Ok(undefined);
    if (verdict === QuarantineState.Suspect && !this.isShort(service)) return Ok(undefined);
    if (verdict !== QuarantineState.Isolated) return Err(this.refuse(request, verdict));
    const waitMs = Math.min(mostWaitMs, leftMs * waitedShare);
    const answer = await ask({ service, subject, excluded: this.getBarred(request), waitMs });
    this.log(request, "suspect.asked", { word: TrialDecision[answer.word], life: answer.life });
    // It may have been cleared, or convicted, while it waited.
    const current = records.getQuarantineState(subject);
    if (answer.word === TrialDecision.Granted && answer.life !== undefined) {
      return this.begin(request, answer.life, current);
    }
    if (current === QuarantineState.Clear) return Ok(undefined);
    return Err(this.refuse(request, current));
  }

  /** Endpoints that this request, or this instance, must not be sent to: the arbiter knows of no hold-off here. */
  private getBarred({ service, excluded }: SuspectRequest): readonly string[] {
    const { clock, getEndpoints } = this.options;
    const time = clock.getTime();
    const heldOff = getEndpoints(service).filter(({ availability: words }) => !words.acceptsRequest(time));
    return [...excluded, ...heldOff.map(({ incarnation: life }) => life)];
  }

  /** Leaves peers time to tell of ends at the same moment. */
  private async awaitWords({ fingerprint }: CrashSubject): Promise<void> {
    const { clock, records } = this.options;
    const leftMs = wordsMs - records.getTimeSinceCrash(fingerprint);
    if (leftMs > 0) await waitFor(clock, leftMs);
  }

  /** Whether so many endpoints have ended that no suspect may cost another one. */
  private isShort(service: string): boolean {
    const { clock, records, getEndpoints } = this.options;
    const time = clock.getTime();
    const usable = getEndpoints(service).filter((endpoint) => endpoint.isUsable());
    const lost = usable.filter((endpoint) => isDown(endpoint, records, time));
    return lost.length > usable.length * shortShare;
  }

  /** Takes note that a request was answered whole. */
  clear({ workspace, fingerprint }: CrashSubject): void {
    const { records, broadcast: tell, logger } = this.options;
    const lives = records.getUncleared(fingerprint);
    if (lives.length === 0) return;
    const words = { acquittals: [{ fingerprint, lives }] };
    records.apply(words);
    tell(words);
    logger.info("suspect.cleared", { workspace, fingerprint, lives: lives.length });
  }

  private begin(
    { subject, service }: SuspectRequest,
    life: string,
    verdict: QuarantineState,
  ): Result<Trial | undefined, Failure> {
    const { clock, endTrial, findEndpoint } = this.options;
    const endpoint = findEndpoint(life);
    let isOver = false;
    const end = (): void => {
      if (!isOver) endTrial(service, life, subject.fingerprint);
      isOver = true;
    };
    // Its endpoint may have said meanwhile that it leaves, or that it wants nothing.
    if (endpoint?.acceptsRequest(clock.getTime()) && isRunnable(verdict)) return Ok({ endpoint, end });
    end();
    return Err(createBusyRefusal(service));
  }

  private refuse(request: SuspectRequest, verdict: QuarantineState): Failure {
    const { records, metrics } = this.options;
    const { subject, service } = request;
    const lives = records.getUncleared(subject.fingerprint);
    this.log(request, "suspect.refused", { verdict: QuarantineState[verdict], lives: lives.join() });
    metrics.countSuspectRefusal(service, QuarantineState[verdict]);
    if (isRunnable(verdict)) return createBusyRefusal(service);
    return Failure.create(FailureCode.CrashesEndpoints, { service, count: lives.length }, cooldownMs);
  }

  private log(
    { id, subject, service }: SuspectRequest,
    event: string,
    fields: Record<string, string | undefined>,
  ): void {
    const { workspace, fingerprint } = subject;
    const ageMs = Math.round(this.options.records.getTimeSinceCrash(fingerprint));
    this.options.logger.info(event, { request: id, service, workspace, fingerprint, ageMs, ...fields });
  }
}

/** Whether a request may run, now or as soon as an endpoint is free for it. */
function isRunnable(verdict: QuarantineState): boolean {
  return verdict < QuarantineState.Resting;
}

function createBusyRefusal(service: string): Failure {
  return Failure.create(FailureCode.CrashSuspect, { service }, busyRetryMs);
}
