/**
 * Forwards an endpoint's response to the caller: a complete response at once, a stream event by event.
 * @module
 */
import { Failure, FailureCode, type Timer } from "@gladewall/kernel";
import { BodyReader } from "../bodies/bodyReader.js";
import { containThrows } from "../failures/containedFailures.js";
import type { Endpoint } from "../endpoints/endpoint.js";
import { getOrigin, isBegun, type StreamOrigin } from "../origins/streamOrigin.js";
import type { Placement } from "../placement/placer.js";
import { AttemptOutcome } from "../requests/attempt.js";
import { NextStep, type RequestContext } from "../requests/requestContext.js";
import {
  type EndedResponse,
  type EndpointResponse,
  EndEvidence,
  formatEnd,
  getConsequence,
  ResponseEnd,
} from "./responseEnd.js";
import { beginEndpointResponse, writeEndpointResponse } from "./responseWriter.js";
import { StreamRelay } from "./streamRelay.js";

/** A stream that an endpoint has begun. */
export interface BegunStream {
  readonly response: EndpointResponse;
  /** Monotonic time at which the attempt was sent. */
  readonly startedAt: number;
  /** The same as time of day. */
  readonly beganAt: number;
  /** Called once the prompt has been processed. */
  readonly clearPending: () => void;
}

/** A response whose body has ended. */
interface HeldResponse {
  readonly response: EndpointResponse;
  readonly bytes: Buffer;
  readonly ended: EndedResponse;
  /** Monotonic time at which the attempt was sent. */
  readonly startedAt: number;
}

/** A response whose body goes on. */
interface LongResponse {
  readonly response: EndpointResponse;
  readonly body: BodyReader;
  /** What has been received of it. */
  readonly begin: Buffer;
  /** Monotonic time at which the attempt was sent. */
  readonly startedAt: number;
}

const minServerErrorStatus = 500;
/** A trial ends once the request has streamed for this long: a request that crashes endpoints does so sooner. */
const trialSurvivalMs = 200;

/** Longest time for which the end of a stream waits until another endpoint has said whether it goes on. */
const maxConfirmationMs = 500;

/** Forwards the responses of one request. */
export class RelayStage {
  private confirmationTimer: Timer | undefined;

  private constructor(
    private readonly context: RequestContext,
    /** Decides what follows after a run whose connection was interrupted. */
    private readonly handleInterruption: (endpoint: Endpoint) => Promise<NextStep>,
  ) {}

  static create(
    context: RequestContext,
    handleInterruption: (endpoint: Endpoint) => Promise<NextStep>,
  ): RelayStage {
    return new RelayStage(context, handleInterruption);
  }

  /**
   * Reads the complete response, then forwards it; after an endpoint's own failure the request may be retried first. A long response is
   * forwarded as it comes.
   */
  async forwardResponse(
    endpoint: Endpoint,
    response: EndpointResponse,
    startedAt: number,
  ): Promise<NextStep> {
    const { context } = this;
    const { heldResponses: held, linkPace: pace, clock } = context.parts;
    const body = BodyReader.create(response, { held, pace, clock, fail: context.fail });
    context.body = body;
    try {
      const { bytes, ended } = await body.readHeld();
      if (context.isOver) return NextStep.Done;
      if (!ended) return await this.forwardLong(endpoint, { response, body, begin: bytes, startedAt });
      return await this.forwardHeld(endpoint, { response, bytes, ended, startedAt });
    } finally {
      body.close(context.request.response);
    }
  }

  /** Forwards a response whose body has been read. */
  private async forwardHeld(
    endpoint: Endpoint,
    { response, bytes, ended: received, startedAt }: HeldResponse,
  ): Promise<NextStep> {
    const { context } = this;
    const { clock, leaving, placer } = context.parts;
    const receivedAt = clock.getTime();
    const ended = await this.checkEnd(endpoint, received);
    if (context.isOver) return NextStep.Done;
    const status = response.message.statusCode ?? 0;
    const isBrokenOff = getConsequence(ended).isFailure;
    const isFailed = isBrokenOff || status >= minServerErrorStatus;
    endpoint.recordOutcome(!isFailed, receivedAt);
    if (!isFailed) endpoint.recordLatency(receivedAt - startedAt, placer.getPace(endpoint, receivedAt));
    if (isFailed && context.isRetryAllowed()) {
      this.logFailed(endpoint, status, !isBrokenOff);
      if (isBrokenOff) return this.handleInterruption(endpoint);
      return this.retryAfterFailure(endpoint, status);
    }
    if (isBrokenOff) return this.handleInterruption(endpoint);
    this.clearSuspicion(ended);
    if (context.relay?.tryClose()) return NextStep.Done;
    writeEndpointResponse(context.request.response, response, bytes, leaving.hasBegun);
    return NextStep.Done;
  }

  /** Forwards a response whose body goes on. Once it has begun, no other endpoint can serve the request. */
  private async forwardLong(
    endpoint: Endpoint,
    { response, body, begin, startedAt }: LongResponse,
  ): Promise<NextStep> {
    const { context } = this;
    const { clock, leaving, placer } = context.parts;
    const { response: caller } = context.request;
    const status = response.message.statusCode ?? 0;
    const isFailed = status >= minServerErrorStatus;
    const time = clock.getTime();
    if (isFailed && context.isRetryAllowed() && !caller.headersSent) {
      endpoint.recordOutcome(false, time);
      this.logFailed(endpoint, status, false);
      context.attempt?.abort("a failure that is too long to be held");
      return this.retryAfterFailure(endpoint, status);
    }
    if (!isFailed) endpoint.recordLatency(time - startedAt, placer.getPace(endpoint, time));
    if (context.relay?.tryClose() || !beginEndpointResponse(caller, response, leaving.hasBegun)) {
      context.attempt?.abort("the caller has begun to receive another response");
      return NextStep.Done;
    }
    const received = await body.forwardTo(caller, begin);
    if (context.isOver) return NextStep.Done;
    const ended = await this.checkEnd(endpoint, received);
    if (context.isOver) return NextStep.Done;
    const isBrokenOff = getConsequence(ended).isFailure;
    endpoint.recordOutcome(!isBrokenOff && !isFailed, clock.getTime());
    if (isBrokenOff) {
      this.logFailed(endpoint, status, false);
      await this.handleInterruption(endpoint);
      return NextStep.Fail;
    }
    this.clearSuspicion(ended);
    caller.end();
    return NextStep.Done;
  }

  private logFailed({ id, record }: Endpoint, status: number, complete: boolean): void {
    const { softwareVersion } = record;
    const end = AttemptOutcome[AttemptOutcome.Answered];
    this.context.log("attempt.failed", { endpoint: id, softwareVersion, end, status, complete });
  }

  private retryAfterFailure({ id }: Endpoint, status: number): NextStep {
    const failure = Failure.create(FailureCode.EndpointFailed, { endpoint: id, status });
    this.context.history.recordRunFailure(failure);
    return NextStep.Retry;
  }

  /** Forwards a stream until it ends; if it was broken off, another endpoint may continue it. */
  async relayStream(placement: Placement, stream: BegunStream): Promise<NextStep> {
    const { context } = this;
    const { clock, getTimeOfDay, leaving, placer, linkPace } = context.parts;
    const { response, admitted, head, arrivedAt } = context.request;
    const { endpoint } = placement;
    const origin = getOrigin(endpoint.record);
    context.relay ??= StreamRelay.create(response, {
      isResumable: admitted.route.isResumable,
      resumesAfter: head.lastEventId,
      isLeaving: () => leaving.hasBegun,
      clock,
      pace: linkPace,
    });
    const { relay } = context;
    const onFirst = (): Promise<void> | undefined => {
      stream.clearPending();
      const time = clock.getTime();
      context.firstEventAt ??= time;
      context.firstEventMs ??= time - arrivedAt;
      const kept = this.recordOrigin(origin);
      this.recordPrefillRate(placement, time - stream.startedAt);
      this.scheduleTrialEnd();
      context.countUsageOnce(getTimeOfDay());
      placer.memory.recordProcessed(head.parts, endpoint.incarnation);
      return kept;
    };
    const received = await relay.relay(stream.response, onFirst, context.fail);
    if (context.isOver) return NextStep.Done;
    const ended = await this.checkEnd(endpoint, received);
    // It has run, even if it was broken off before its first event.
    context.countUsageOnce(stream.beganAt);
    if (context.isOver) return NextStep.Done;
    const { isFailure } = getConsequence(ended);
    endpoint.recordOutcome(!isFailure, clock.getTime());
    if (relay.hasGoneBack) context.attempt?.abort("the stream does not continue where it ended");
    if (isFailure) return this.handleBrokenStream(endpoint, relay);
    this.clearSuspicion(ended);
    if (!relay.canFinish(ended)) return this.confirmEnd(endpoint, relay, ended);
    relay.finish(stream.response);
    return NextStep.Done;
  }

  /** Records where the stream began before its first event is forwarded; only then is it certain. Returns what that event waits for. */
  private recordOrigin(origin: StreamOrigin): Promise<void> | undefined {
    const { context } = this;
    const { admitted, head } = context.request;
    if (context.isOriginRecorded) return undefined;
    context.isOriginRecorded = true;
    const begunAt = isBegun(context.origin) ? context.origin : origin;
    context.origin = begunAt;
    const { workspace, parts } = context;
    return parts.origins.record({ route: admitted.route, head, workspace }, begunAt);
  }

  /** Looks for evidence on an end that is unverified, and logs each end that is not complete. */
  private async checkEnd(endpoint: Endpoint, received: EndedResponse): Promise<EndedResponse> {
    const { context } = this;
    const { endChecker, paths, metrics } = context.parts;
    // A peer through which the request was passed on has looked for it.
    const ended = paths.isDirect(endpoint) ? await endChecker.check(endpoint, received) : received;
    metrics.countResponseEnd(context.request.service.name, ended);
    context.ended = ended;
    if (ended.end === ResponseEnd.Complete) return ended;
    context.log("response.ended", { endpoint: endpoint.id, ...formatEnd(ended) });
    return ended;
  }

  private async handleBrokenStream(endpoint: Endpoint, relay: StreamRelay): Promise<NextStep> {
    const { context } = this;
    const { fingerprint } = context.subject;
    const { softwareVersion } = endpoint.record;
    const { lastEventId: lastEvent } = relay;
    const { hasGoneBack: wentBack } = relay;
    context.log("stream.cut", { endpoint: endpoint.id, softwareVersion, lastEvent, wentBack, fingerprint });
    const next = await this.handleInterruption(endpoint);
    return next === NextStep.Retry && !relay.canContinue() ? NextStep.Fail : next;
  }

  /**
   * Has another endpoint continue a stream that may be complete: what follows the last event is nothing, or what was missing. The caller
   * waits no longer than `maxConfirmationMs` for nothing, unless it was promised a frame, or the end is doubtful.
   */
  private confirmEnd(endpoint: Endpoint, relay: StreamRelay, ended: EndedResponse): NextStep {
    const { context } = this;
    const failure = Failure.create(FailureCode.EndpointCut, { endpoint: endpoint.id });
    relay.beginConfirmation(ended);
    if (relay.isUnconfirmed) context.history.recordUnconfirmed(failure);
    else context.history.recordRunFailure(failure);
    this.confirmationTimer?.cancel();
    const end = (): void => (relay.isUnconfirmed ? context.abort() : undefined);
    this.confirmationTimer = context.parts.clock.startTimer(
      maxConfirmationMs,
      containThrows(end, context.fail),
    );
    return context.isRetryAllowed() && relay.canContinue() ? NextStep.Retry : NextStep.Fail;
  }

  /** Clears the request of suspicion: an endpoint that went on after its response was not crashed by it. */
  private clearSuspicion({ end, evidence }: EndedResponse): void {
    const { context } = this;
    const { suspects } = context.parts;
    if (end !== ResponseEnd.Complete && evidence !== EndEvidence.Running) return;
    if (!suspects.hasSuspects(context.workspace, context.request.service.name)) return;
    suspects.clear(context.suspectSource, context.firstEventAt ?? context.sentAt);
  }

  /** Ends the trial once events have been streaming for a while: a request that crashes endpoints does so at its start. */
  private scheduleTrialEnd(): void {
    const { trial, parts } = this.context;
    if (!trial) return;
    const end = containThrows(() => trial.end(), this.context.fail);
    parts.clock.startTimer(trialSurvivalMs, end);
  }

  /** Records the engine's prefill rate; only a prompt that is read from the start, with none queued before it, shows it. */
  private recordPrefillRate({ uncachedTokens, tokensAhead }: Placement, elapsedMs: number): void {
    const { parts, request, history } = this.context;
    const { service, head } = request;
    const isResumed = head.lastEventId !== undefined || history.runs > 1;
    if (!service.engine || isResumed || tokensAhead > 0) return;
    parts.rates.note(service.name, { tokens: uncachedTokens, elapsedMs });
  }
}
