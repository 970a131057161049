/**
 * Sends a request to the endpoint that was chosen for it, and decides what follows if no response comes back.
 * @module
 */
import { Failure, FailureCode } from "@gladewall/kernel";
import { AttemptOutcome, type AttemptResult } from "./attempt.js";
import type { Endpoint } from "../endpoints/endpoint.js";
import {
  type AttemptContent,
  type AttemptRoute,
  chooseRoute,
  isEndpointAtFault,
  isPeerAtFault,
} from "../forwarding/attemptRoute.js";
import type { LimitSource } from "../limits/endpointLimits.js";
import type { Placement } from "../placement/placer.js";
import { RelayStage } from "../responses/relayStage.js";
import { isEventStream } from "../responses/streamRelay.js";
import { NextStep, type RequestContext } from "./requestContext.js";
import { createRefusal } from "./requestRefusal.js";
import { ExecutionStatus, type ResponseHead, RouteKind } from "../types.js";

const minServerErrorStatus = 500;
/** An attempt is not started if less time than this is left. */
const minAttemptMs = 5;
/**
 * Prefill time from which a placement is announced to peers at once: a request that another instance unknowingly queues
 * behind it would miss its latency objective. A tenth of the shortest usual objective.
 */
const minAnnouncedPrefillMs = 25;
const maxUrgency = 9;
/** Attempts of one request that peers did not pass on, after which it is refused. */
const maxNotForwarded = 6;

/** Sends the attempts of one request. */
export class AttemptStage {
  private readonly relayStage: RelayStage;

  private constructor(private readonly context: RequestContext) {
    this.relayStage = RelayStage.create(context, (endpoint) => this.handleInterruption(endpoint));
  }

  static create(context: RequestContext): AttemptStage {
    return new AttemptStage(context);
  }

  /** Sends the request and forwards the response. */
  async run(placement: Placement): Promise<NextStep> {
    const { context } = this;
    const { service } = context.request;
    if (context.isOver) return NextStep.Done;
    if (context.getTimeLeft() < minAttemptMs) return NextStep.Fail;
    const { endpoint } = placement;
    const route = chooseRoute(context, endpoint);
    if (!route) return this.failCutOff();
    context.excluded.add(endpoint.incarnation);
    context.placement = placement;
    context.slot ??= context.parts.slots.hold(service, {
      endpoint: endpoint.incarnation,
      deadlineAt: context.deadlineAt,
      tokens: context.memoryTokens,
    });
    context.suspectedParts = context.parts.suspects.getSuspectedParts(service.name, context);
    context.triedParts = context.trial?.parts ?? [];
    context.sentAt = context.parts.clock.getTime();
    context.firstEventAt = undefined;
    endpoint.recordSent();
    endpoint.inFlight.add(context);
    const pending = service.engine ? placement.uncachedTokens : 0;
    endpoint.pendingTokens += pending;
    this.announceIfLong(placement, pending);
    let isPending = true;
    const clearPending = (): void => {
      if (isPending) endpoint.pendingTokens -= pending;
      isPending = false;
    };
    try {
      return await this.send(placement, route, clearPending);
    } finally {
      context.isAttemptPending = false;
      route.close();
      clearPending();
      endpoint.recordEnded();
      endpoint.inFlight.delete(context);
    }
  }

  /** Fails a request to an endpoint that neither this instance nor a peer reaches. */
  private failCutOff(): NextStep {
    const { context } = this;
    context.history.recordNoEndpoint(createRefusal(FailureCode.NoEndpoint, context.request.service));
    return NextStep.Fail;
  }

  private announceIfLong({ endpoint }: Placement, tokens: number): void {
    const { rates, announcePlacement } = this.context.parts;
    if (tokens / rates.get(this.context.request.service.name) < minAnnouncedPrefillMs) return;
    announcePlacement(endpoint.incarnation, tokens);
  }

  private async send(placement: Placement, route: AttemptRoute, clearPending: () => void): Promise<NextStep> {
    const { context } = this;
    const { endpoint } = placement;
    const { clock, getTimeOfDay, metrics } = context.parts;
    const startedAt = clock.getTime();
    const beganAt = getTimeOfDay();
    const attempt = route.send(this.createContent(endpoint));
    context.attempt = attempt;
    context.isAttemptPending = true;
    const round = endpoint.availability.beginAttempt();
    context.slot?.recordSending();
    const result = await attempt.result;
    endpoint.availability.endAttempt(round, result.outcome === AttemptOutcome.Answered);
    context.isAttemptPending = false;
    metrics.countAttempt(context.request.service.name, AttemptOutcome[result.outcome]);
    this.recordAcceptance(endpoint, result.outcome);
    this.recordSlotUse(result.outcome);
    if (result.outcome !== AttemptOutcome.NotSent) context.history.recordArrival();
    const recorded = route.recordResult(result);
    if (context.isOver) return NextStep.Done;
    if (result.outcome !== AttemptOutcome.Answered || !result.response) {
      await recorded;
      return this.handleNoResponse(endpoint, route, result, beganAt);
    }
    recorded.catch(context.fail);
    context.history.recordRun();
    const { kind } = context.request.admitted.route;
    if (kind === RouteKind.Stream && isEventStream(result.response)) {
      context.slot?.recordStream();
      return this.relayStage.relayStream(placement, {
        response: result.response,
        startedAt,
        beganAt,
        clearPending,
      });
    }
    context.countUsageOnce(beganAt);
    return this.relayStage.forwardResponse(endpoint, result.response, startedAt);
  }

  /** Records whether the service has room. */
  private recordAcceptance(endpoint: Endpoint, outcome: AttemptOutcome): void {
    const { parts, request } = this.context;
    const service = request.service.name;
    if (outcome === AttemptOutcome.Answered) parts.acceptance.record(service, true);
    // A leaving endpoint refuses requests however much room the others have.
    if (outcome !== AttemptOutcome.NotRun || !endpoint.isUsable()) return;
    parts.acceptance.record(service, false);
    parts.contention.recordRejection(service);
  }

  /** Frees the slot of an attempt without a response now; that of others is freed when the response has been read. */
  private recordSlotUse(outcome: AttemptOutcome): void {
    const { slot, parts, request, isOver } = this.context;
    if (outcome === AttemptOutcome.Answered) return;
    // The arbiter grants no slots for a while at an endpoint that takes no requests, whatever the reason.
    const isCutOff = outcome === AttemptOutcome.NotSent && parts.paths.isCutOff(request.service.name);
    const isAborted = (isOver && outcome === AttemptOutcome.NotSent) || isCutOff;
    if (outcome !== AttemptOutcome.Lost && !isAborted) slot?.recordRejection();
    slot?.end();
  }

  private createContent(endpoint: Endpoint): AttemptContent {
    const { context } = this;
    const { platform, connectTimeoutMs } = context.parts;
    const { admitted, message, head, body, service } = context.request;
    const { workspace } = admitted;
    const headers = platform.endpoints.createHeaders(message.rawHeaders, {
      endpointId: endpoint.id,
      workspace: workspace?.name,
      deadlineMs: context.getTimeLeft(),
      urgency: service.engine ? Math.min(maxUrgency, context.rank) : undefined,
      lastEventId: context.relay?.lastEventId,
    });
    const method = message.method ?? "GET";
    const target = message.url ?? "/";
    const base = { protocol: platform.endpoints, requestId: head.id, connectTimeoutMs };
    const sentAt = context.parts.clock.getTime();
    const onHead = (responseHead: ResponseHead, status: number): void =>
      this.handleResponseHead(endpoint, responseHead, { requestId: head.id, status, sentAt });
    return { ...base, method, target, headers, body, onHead, onFailure: context.fail };
  }

  /** Records what an endpoint reports about itself, whatever becomes of the request. */
  private handleResponseHead(
    endpoint: Endpoint,
    { executionStatus, load, notice, limit, refusalLimit }: ResponseHead,
    source: LimitSource,
  ): void {
    const { clock, directory, limits, suspects, brittle } = this.context.parts;
    const isOwn = executionStatus === ExecutionStatus.Ran || executionStatus === ExecutionStatus.NotRun;
    if (isOwn) suspects.recordResponse(endpoint, source.sentAt);
    if (isOwn) brittle.recordResponse(endpoint, refusalLimit, source.sentAt);
    if (load) endpoint.recordLoad(load, clock.getTime());
    this.context.slot?.recordResponse(load);
    if (executionStatus === ExecutionStatus.Ran && !notice?.isLeaving) endpoint.recordServed(clock.getTime());
    if (notice) directory.handleNotice(endpoint, notice, source);
    // A refusal or failure without a limit does not mean that the limit has ended: the endpoint may still be overloaded.
    const isServed = executionStatus === ExecutionStatus.Ran && source.status < minServerErrorStatus;
    if (limit !== undefined || isServed) limits.handleResponse(endpoint, limit, source);
  }

  private async handleNoResponse(
    endpoint: Endpoint,
    route: AttemptRoute,
    result: AttemptResult,
    beganAt: number,
  ): Promise<NextStep> {
    const { context } = this;
    const { clock, directory } = context.parts;
    const { service } = context.request;
    const time = clock.getTime();
    const isLost = result.outcome === AttemptOutcome.Lost;
    const fingerprint = isLost ? context.subject.fingerprint : undefined;
    context.log("attempt.failed", {
      endpoint: endpoint.id,
      softwareVersion: endpoint.record.softwareVersion,
      end: AttemptOutcome[result.outcome],
      detail: result.detail,
      peer: route.peer?.name,
      fingerprint,
      ...(result.outcome === AttemptOutcome.NotRun && this.describeRoom(endpoint)),
    });
    if (isLost) {
      context.history.recordRun();
      context.countUsageOnce(beganAt);
      if (!isEndpointAtFault(route, result)) return this.failOnTheWay(endpoint);
      endpoint.recordOutcome(false, time);
      const isMalformed = result.fault !== undefined;
      return this.handleInterruption(
        endpoint,
        isMalformed ? FailureCode.EndpointBadAnswer : FailureCode.EndpointCut,
      );
    }
    if (isPeerAtFault(route, result)) return this.passOnAgain(endpoint);
    if (result.outcome === AttemptOutcome.NotSent) this.recordNotSent(endpoint, route);
    if (result.outcome === AttemptOutcome.WrongEndpoint) directory.handleReplaced(endpoint);
    if (result.outcome === AttemptOutcome.NotRun) {
      endpoint.recordOutcome(false, time);
      // A leaving endpoint also refuses requests; it is not chosen again in any case.
      if (endpoint.isUsable()) this.recordRefused(endpoint, time);
    }
    context.history.recordNotRun(createRefusal(FailureCode.Overloaded, service));
    return context.history.isExhausted ? NextStep.Fail : NextStep.Retry;
  }

  /** Tells why an endpoint that refused the request was thought to have room. */
  private describeRoom(endpoint: Endpoint): Readonly<Record<string, string | number | boolean | undefined>> {
    const { parts, request, slot, trial } = this.context;
    const { clock, brittle, members } = parts;
    const time = clock.getTime();
    const report = endpoint.capacity.getReport();
    return {
      life: endpoint.incarnation,
      countedBy: slot?.arbiter,
      trial: trial !== undefined,
      ownActive: endpoint.active,
      peerActive: members.getPeerWork(endpoint.incarnation).active,
      slots: endpoint.record.slots,
      running: report?.load.running,
      waiting: report?.load.waiting,
      reportAgeMs: report && Math.round(time - report.at),
      brittleLimit: brittle.getLimit(request.service.name),
      brittleKnownMs: brittle.getKnownMs(request.service.name),
    };
  }

  /** Engines are placed by what is known of their load, so a refusal has to be known everywhere; other slots have an arbiter. */
  private recordRefused(endpoint: Endpoint, time: number): void {
    const { parts, request } = this.context;
    endpoint.recordRejected(time);
    if (request.service.engine) parts.brittle.recordRefusal(endpoint);
  }

  private recordNotSent(endpoint: Endpoint, route: AttemptRoute): void {
    const { context } = this;
    const { clock, paths } = context.parts;
    const isCutOff = route.peer === undefined && !paths.isDirect(endpoint);
    // Its paths from this instance are lost; it may be reached through a peer.
    if (isCutOff) context.excluded.delete(endpoint.incarnation);
    else endpoint.recordUnreachable(clock.getTime());
  }

  /** Retries after a peer did not pass an attempt on, at the same endpoint or another one. */
  private passOnAgain(endpoint: Endpoint): NextStep {
    const { context } = this;
    context.excluded.delete(endpoint.incarnation);
    context.notForwarded += 1;
    if (context.notForwarded < maxNotForwarded) return NextStep.Retry;
    return this.failCutOff();
  }

  /** Continues after the connection to a peer was interrupted: the endpoint may have run the request, and has not failed. */
  private failOnTheWay(endpoint: Endpoint): NextStep {
    const { context } = this;
    context.history.recordRunFailure(Failure.create(FailureCode.EndpointCut, { endpoint: endpoint.id }));
    return context.isRetryAllowed() ? NextStep.Retry : NextStep.Fail;
  }

  /**
   * Continues after a run whose connection was interrupted. A retry waits until it is known whether the endpoint has
   * crashed; otherwise all requests that ran there would move to the next endpoint together, along with the request that
   * crashes both.
   */
  private async handleInterruption(
    endpoint: Endpoint,
    code: FailureCode = FailureCode.EndpointCut,
  ): Promise<NextStep> {
    const { context } = this;
    context.history.recordRunFailure(Failure.create(code, { endpoint: endpoint.id }));
    // An instance that is cut off learns nothing about the endpoint from an interrupted connection, and a brittle endpoint crashes
    // because of what it refused.
    const { suspects, paths, brittle } = context.parts;
    const isTelling = paths.isDirect(endpoint) && brittle.getLimit(endpoint.record.service) === undefined;
    const checked = isTelling && suspects.recordInterruption(endpoint, context);
    this.endTrialAfter(checked);
    if (!context.isRetryAllowed()) return NextStep.Fail;
    await checked;
    return context.isOver ? NextStep.Done : NextStep.Retry;
  }

  /** Ends the trial once it is known whether the endpoint has crashed: until then nothing else like it may be tried. */
  private endTrialAfter(checked: Promise<boolean> | false): void {
    const { context } = this;
    const { trial } = context;
    if (!trial || !checked) return;
    context.trial = undefined;
    void checked.then(() => trial.end()).catch(context.fail);
  }
}
