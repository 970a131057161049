/**
 * Forwards an endpoint's response to the caller: a complete response at once, a stream event by event.
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Failure, FailureCode } from "@gladewall/kernel";
import type { Endpoint } from "../endpoint.js";
import type { Placement } from "../placement.js";
import { NextStep, type RequestContext } from "../requestContext.js";
import { type ReceivedBody, readResponseBody } from "./responseBody.js";
import { writeEndpointResponse } from "./responseWriter.js";
import { RelayOutcome, StreamRelay } from "./streamRelay.js";

const minServerErrorStatus = 500;
/** A trial ends once the request has streamed for this long: a request that crashes endpoints does so sooner. */
const trialSurvivalMs = 200;

/** Forwards the responses of one request. */
export class RelayStage {
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

  /** Reads the complete response, then forwards it; after an endpoint's own failure the request may be retried first. */
  async forwardResponse(endpoint: Endpoint, response: IncomingMessage, startedAt: number): Promise<NextStep> {
    const { context } = this;
    const { clock, isLeaving, placer } = context.parts;
    const body: ReceivedBody = await readResponseBody(response);
    if (context.isOver) return NextStep.Done;
    const status = response.statusCode ?? 0;
    const isFailed = !body.isComplete || status >= minServerErrorStatus;
    const time = clock.getTime();
    endpoint.recordOutcome(!isFailed, time);
    if (!isFailed) endpoint.recordLatency(time - startedAt, placer.getPace(endpoint, time));
    if (isFailed && context.isRetryAllowed()) {
      const { isComplete } = body;
      context.log("attempt.failed", { endpoint: endpoint.id, end: "Answered", status, complete: isComplete });
      if (!isComplete) return this.handleInterruption(endpoint);
      const failure = Failure.create(FailureCode.EndpointFailed, { endpoint: endpoint.id, status });
      context.history.recordRunFailure(failure);
      return NextStep.Retry;
    }
    if (!body.isComplete) return this.handleInterruption(endpoint);
    this.clearSuspicion();
    const { request } = context;
    writeEndpointResponse(request.response, request.message.method, response, body.bytes, isLeaving());
    return NextStep.Done;
  }

  async relayStream(
    placement: Placement,
    endpointResponse: IncomingMessage,
    startedAt: number,
    clearPending: () => void,
  ): Promise<NextStep> {
    const { context } = this;
    const { clock, getTimeOfDay, isLeaving, placer } = context.parts;
    const { response, admitted, head, arrivedAt } = context.request;
    const { endpoint } = placement;
    context.relay ??= StreamRelay.create(response, admitted.route.isResumable, isLeaving);
    const { relay } = context;
    const onFirst = (): void => {
      clearPending();
      const time = clock.getTime();
      context.firstEventMs ??= time - arrivedAt;
      this.recordPrefillRate(placement, time - startedAt);
      this.scheduleTrialEnd();
      context.countUsageOnce(getTimeOfDay());
      placer.memory.recordProcessed(head.parts, endpoint.incarnation);
    };
    const relayOutcome = await relay.relay(endpointResponse, onFirst);
    if (context.isOver) return NextStep.Done;
    endpoint.recordOutcome(relayOutcome === RelayOutcome.Complete, clock.getTime());
    if (relayOutcome === RelayOutcome.Complete) {
      this.clearSuspicion();
      return NextStep.Done;
    }
    const { fingerprint } = context.subject;
    context.log("stream.cut", { endpoint: endpoint.id, lastEvent: relay.lastEventId, fingerprint });
    const next = await this.handleInterruption(endpoint);
    return next === NextStep.Retry && !relay.canContinue() ? NextStep.Fail : next;
  }

  /** Clears the request of suspicion: an endpoint that completed its response was not crashed by it. */
  private clearSuspicion(): void {
    const { context } = this;
    const { suspects } = context.parts;
    if (suspects.hasSuspects(context.workspace)) suspects.clear(context.subject);
  }

  /** Ends the trial once events have been streaming for a while: a request that crashes endpoints does so at its start. */
  private scheduleTrialEnd(): void {
    const { trial, parts } = this.context;
    if (trial) parts.clock.startTimer(trialSurvivalMs, () => trial.end());
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
