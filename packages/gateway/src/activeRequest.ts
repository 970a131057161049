/**
 * Serves one admitted request until its final response: chooses endpoints, sends attempts, retries, and forwards the
 * endpoint's response to the caller.
 *
 * The caller gets a final response as soon as the request is given up, and no later than the route's timeout. A status
 * that promises that the request did not run is only sent if it certainly did not run.
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Failure, FailureCode, type Timer } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { type ReceivedBody, readResponseBody } from "./responseBody.js";
import { writeProblemResponse, writeEndpointResponse } from "./responseWriter.js";
import { Attempt, AttemptOutcome, type AttemptResult } from "./attempt.js";
import { AttemptHistory } from "./attemptHistory.js";
import type { CrashSubject } from "./crashRecords.js";
import type { InFlightRequest } from "./crashDetector.js";
import type { Endpoint } from "./endpoint.js";
import type { LimitSource } from "./endpointLimits.js";
import type { RequestOutcome, ActiveRequestParts, ActiveRequestInput } from "./activeRequestTypes.js";
import type { Placement } from "./placement.js";
import { createFingerprint } from "./requestFingerprint.js";
import { RelayOutcome, StreamRelay } from "./streamRelay.js";
import type { Trial } from "./suspectGate.js";
import {
  type ResponseHead,
  ExecutionStatus,
  type CallerRequestHead,
  type Route,
  RouteKind,
  type Service,
} from "./types.js";

/** What to do with the request after an attempt. */
enum NextStep {
  Done = 1,
  Retry = 2,
  Fail = 3,
}

const minServerErrorStatus = 500;
/** An attempt is not started if less time than this is left. */
const minAttemptMs = 5;
/**
 * Prefill time from which a placement is announced to peers at once: a request that another instance unknowingly queues
 * behind it would miss its latency objective. A tenth of the shortest usual objective.
 */
const minAnnouncedPrefillMs = 25;
const retryAfterMs = 300;
/** A trial ends once the request has streamed for this long: observed crashes came 40 to 120 ms after the run's start. */
const trialSurvivalMs = 200;
/** Refused permits after which a request is only sent to endpoints that need none. */
const maxPermitRefusals = 3;
/** Added to the rank of a retry, so that first attempts get permits before retries. */
const retryRankOffset = 1_000;
const maxUrgency = 9;
const urgencyPerWorkspaceRank = 3;

/** A request that has been admitted and has no final response yet. */
export class ActiveRequest implements InFlightRequest {
  private attempt: Attempt | undefined;
  /** Whether the current attempt has neither received a response head nor failed. */
  private isAttemptPending = false;
  private relay: StreamRelay | undefined;
  private readonly excluded = new Set<string>();
  private readonly history = AttemptHistory.create();
  private placement: Placement | undefined;
  /** Reserved endpoint at which an isolated request runs; undefined if the request runs like others. */
  private trial: Trial | undefined;
  private cachedSubject: CrashSubject | undefined;
  private firstEventMs: number | undefined;
  private permitRefusals = 0;
  /** Retries that the retry budget has granted. */
  private grantedRetries = 0;
  private isUsageCounted = false;
  private isOver = false;
  private timer: Timer | undefined;
  private readonly deadlineAt: number;
  private outcome: RequestOutcome | undefined;

  private constructor(
    private readonly parts: ActiveRequestParts,
    private readonly request: ActiveRequestInput,
  ) {
    const { admitted, head, arrivedAt } = request;
    this.deadlineAt = arrivedAt + getTimeLimit(admitted.route, head);
  }

  static create(parts: ActiveRequestParts, request: ActiveRequestInput): ActiveRequest {
    return new ActiveRequest(parts, request);
  }

  /** Resolves with the outcome once the final response is sent or the caller is gone. Never rejects. */
  async run(): Promise<RequestOutcome> {
    const { response } = this.request;
    const handleClose = (): void => this.handleCallerGone();
    response.on("close", handleClose);
    this.timer = this.parts.clock.startTimer(this.getTimeLeft(), () => this.abort());
    this.parts.budget.countRequest(this.request.service.name);
    this.parts.demand.countPromptTokens(this.request.service.name, this.request.head.promptTokens ?? 0);
    let next = NextStep.Retry;
    while (next === NextStep.Retry && !this.isOver) next = await this.attemptOnce();
    if (next === NextStep.Fail && !this.isOver) this.respondWithFailure(this.createFinalFailure());
    this.isOver = true;
    this.timer.cancel();
    response.off("close", handleClose);
    return this.outcome ?? this.createOutcome(response.statusCode, undefined);
  }

  private createOutcome(status: number, failure: Failure | undefined): RequestOutcome {
    const { placement, history, firstEventMs, runs } = this;
    return { status, failure, placement, arrivals: history.arrivals, runs, firstEventMs };
  }

  private getTimeLeft(): number {
    return this.deadlineAt - this.parts.clock.getTime();
  }

  /** Whether the request may run on more than one endpoint. */
  private get isRetryable(): boolean {
    const { kind, isResumable } = this.request.admitted.route;
    return kind === RouteKind.Safe || (kind === RouteKind.Stream && isResumable);
  }

  /** Identifies all requests with this content, whatever their ids and the instances that serve them. */
  get subject(): CrashSubject {
    this.cachedSubject ??= this.createSubject();
    return this.cachedSubject;
  }

  private createSubject(): CrashSubject {
    const { message, body } = this.request;
    const { workspace } = this;
    const { method = "", url: target = "/", headers } = message;
    return {
      workspace,
      fingerprint: createFingerprint({ workspace, method, host: headers.host ?? "", target, body }),
    };
  }

  /** Name of the workspace; empty on public routes. */
  private get workspace(): string {
    return this.request.admitted.workspace?.name ?? "";
  }

  private async attemptOnce(): Promise<NextStep> {
    const { service } = this.request;
    if (this.needsCharge && !(await this.chargeRun())) {
      this.log("retry.refused", { service: service.name, cause: "limit" });
      return NextStep.Fail;
    }
    if (this.isOver) return NextStep.Done;
    if (this.needsRetryGrant && !(await this.acquireRetry())) {
      this.log("retry.refused", { service: service.name, cause: "budget" });
      return NextStep.Fail;
    }
    if (this.isOver) return NextStep.Done;
    const placement = await this.choose();
    const next = placement.isOk()
      ? await this.sendWithPermit(placement.value)
      : this.failUnplaced(placement.error);
    this.trial?.end();
    this.trial = undefined;
    return next;
  }

  private failUnplaced(failure: Failure): NextStep {
    this.history.recordNoEndpoint(failure);
    return NextStep.Fail;
  }

  /** Chooses an endpoint; an isolated request gets one where no other isolated request runs. */
  private async choose(): Promise<Result<Placement, Failure>> {
    const { suspects, placer } = this.parts;
    const { service, head } = this.request;
    const { excluded } = this;
    const { promptTokens = 0, parts } = head;
    const avoidsLimited = this.permitRefusals >= maxPermitRefusals;
    const placementRequest = { service, promptTokens, parts, excluded, rank: this.permitRank, avoidsLimited };
    if (suspects.hasSuspects(this.workspace)) {
      const { subject } = this;
      const leftMs = this.getTimeLeft();
      const trial = await suspects.findTrial({
        id: head.id,
        subject,
        service: service.name,
        excluded,
        leftMs,
      });
      if (trial.isErr()) return trial;
      this.trial = trial.value;
    }
    if (this.trial) return Ok(placer.describe(placementRequest, this.trial.endpoint));
    const placement = placer.choose(placementRequest);
    return placement ? Ok(placement) : Err(createRefusal(FailureCode.NoEndpoint, service));
  }

  /** Sends the request if the endpoint needs no permit or one is granted; otherwise the request is placed again. */
  private async sendWithPermit(placement: Placement): Promise<NextStep> {
    const { permits, clock } = this.parts;
    const { endpoint } = placement;
    if (permits.isUnlimited(endpoint)) return this.sendTo(placement);
    const permitRequest = { id: this.request.head.id, rank: this.permitRank, leftMs: this.getTimeLeft() };
    const isGranted = await permits.acquire(endpoint, permitRequest);
    // The endpoint's state may have changed while the permit was requested.
    if (isGranted && endpoint.acceptsPermitted(clock.getTime())) return this.sendTo(placement);
    this.permitRefusals += 1;
    const { limit } = endpoint.availability;
    this.log("permit.refused", {
      endpoint: endpoint.id,
      perSecond: limit.perSecond,
      limitAgeMs: Math.round(limit.getAge(clock.getTime())),
      rank: permitRequest.rank,
      waitMs: Math.round(limit.getWaitMs(clock.getTime())),
    });
    if (!this.trial) return NextStep.Retry;
    return this.failUnplaced(createRefusal(FailureCode.CrashSuspect, this.request.service));
  }

  /** Urgency of the request, 0 being the most urgent; retries rank behind all first attempts. */
  private get permitRank(): number {
    return this.rank + (this.history.arrivals > 0 ? retryRankOffset : 0);
  }

  private get rank(): number {
    const { workspace, route } = this.request.admitted;
    return (workspace?.priority ?? 0) * urgencyPerWorkspaceRank + route.priority;
  }

  private async sendTo(placement: Placement): Promise<NextStep> {
    const { service } = this.request;
    if (this.isOver) return NextStep.Done;
    if (this.getTimeLeft() < minAttemptMs) return NextStep.Fail;
    const { endpoint } = placement;
    this.excluded.add(endpoint.incarnation);
    this.placement = placement;
    endpoint.active += 1;
    endpoint.inFlight.add(this);
    const pending = service.engine ? placement.uncachedTokens : 0;
    endpoint.pendingTokens += pending;
    this.announceIfLong(placement, pending);
    let isPending = true;
    const clearPending = (): void => {
      if (isPending) endpoint.pendingTokens -= pending;
      isPending = false;
    };
    const next = await this.send(placement, clearPending);
    clearPending();
    endpoint.active -= 1;
    endpoint.inFlight.delete(this);
    return next;
  }

  /** Whether the next attempt is a retry that the retry budget has not granted yet. */
  private get needsRetryGrant(): boolean {
    return this.history.arrivals > this.grantedRetries;
  }

  /** Takes one retry from the budget that all instances share; returns false if the budget is exhausted. */
  private async acquireRetry(): Promise<boolean> {
    const isTaken = await this.parts.budget.take(this.request.service.name, this.getTimeLeft());
    if (isTaken) this.grantedRetries += 1;
    return isTaken;
  }

  /** Whether as many runs may have happened as were charged, so that one more must be charged first. */
  private get needsCharge(): boolean {
    const { charge } = this.request;
    return charge !== undefined && this.history.runs >= charge.runs;
  }

  /** Charges one more run; returns false if the workspace's limit is exhausted. */
  private async chargeRun(): Promise<boolean> {
    const { charge } = this.request;
    return !charge || (await this.parts.charges.takeRetry(charge, this.getTimeLeft())).isOk();
  }

  private announceIfLong({ endpoint }: Placement, tokens: number): void {
    const { rates, announcePlacement } = this.parts;
    if (tokens / rates.get(this.request.service.name) < minAnnouncedPrefillMs) return;
    announcePlacement(endpoint.incarnation, tokens);
  }

  private async send(placement: Placement, clearPending: () => void): Promise<NextStep> {
    const { endpoint } = placement;
    const startedAt = this.parts.clock.getTime();
    const beganAt = this.parts.getTimeOfDay();
    const attempt = this.createAttempt(endpoint);
    this.attempt = attempt;
    this.isAttemptPending = true;
    const round = endpoint.availability.beginAttempt();
    const result = await attempt.result;
    endpoint.availability.endAttempt(round, result.outcome === AttemptOutcome.Answered);
    this.isAttemptPending = false;
    this.parts.metrics.countAttempt(this.request.service.name, AttemptOutcome[result.outcome]);
    if (result.outcome !== AttemptOutcome.NotSent) this.history.recordArrival();
    if (this.isOver) return NextStep.Done;
    if (result.outcome !== AttemptOutcome.Answered || !result.response)
      return this.handleNoResponse(endpoint, result, beganAt);
    this.history.recordRun();
    const { route } = this.request.admitted;
    const isStream = route.kind === RouteKind.Stream && (result.response.statusCode ?? 0) < 300;
    if (isStream) return this.relayStream(placement, result.response, startedAt, clearPending);
    this.countUsageOnce(beganAt);
    return this.forwardResponse(endpoint, result.response, startedAt);
  }

  private createAttempt(endpoint: Endpoint): Attempt {
    const { platform, connections, connectTimeoutMs } = this.parts;
    const { admitted, message, head, body, service } = this.request;
    const { workspace } = admitted;
    const headers = platform.endpoints.createHeaders(message.rawHeaders, {
      endpointId: endpoint.id,
      workspace: workspace?.name,
      deadlineMs: this.getTimeLeft(),
      urgency: service.engine ? Math.min(maxUrgency, this.rank) : undefined,
      lastEventId: this.relay?.lastEventId,
    });
    const pool = connections.get(endpoint);
    const method = message.method ?? "GET";
    const target = message.url ?? "/";
    const base = { pool, protocol: platform.endpoints, requestId: head.id, connectTimeoutMs };
    const sentAt = this.parts.clock.getTime();
    const onHead = (responseHead: ResponseHead, status: number): void =>
      this.handleResponseHead(endpoint, responseHead, { requestId: head.id, status, sentAt });
    return Attempt.create({ ...base, method, target, headers, body, onHead });
  }

  /** Records what an endpoint reports about itself, whatever becomes of the request. */
  private handleResponseHead(
    endpoint: Endpoint,
    { executionStatus, load, notice, limit }: ResponseHead,
    source: LimitSource,
  ): void {
    const { clock, directory, limits } = this.parts;
    if (load) endpoint.recordLoad(load, clock.getTime());
    if (executionStatus === ExecutionStatus.Ran && !notice?.isLeaving) endpoint.recordServed(clock.getTime());
    if (notice) directory.handleNotice(endpoint, notice, source);
    // A refusal or failure without a limit does not mean that the limit has ended: the endpoint may still be overloaded.
    const isServed = executionStatus === ExecutionStatus.Ran && source.status < minServerErrorStatus;
    if (limit !== undefined || isServed) limits.handleResponse(endpoint, limit, source);
  }

  private async handleNoResponse(
    endpoint: Endpoint,
    result: AttemptResult,
    beganAt: number,
  ): Promise<NextStep> {
    const { clock, directory } = this.parts;
    const { service } = this.request;
    const time = clock.getTime();
    const isLost = result.outcome === AttemptOutcome.Lost;
    const fingerprint = isLost ? this.subject.fingerprint : undefined;
    this.log("attempt.failed", {
      endpoint: endpoint.id,
      end: AttemptOutcome[result.outcome],
      detail: result.detail,
      fingerprint,
    });
    if (isLost) {
      this.history.recordRun();
      this.countUsageOnce(beganAt);
      endpoint.recordOutcome(false, time);
      return this.handleInterruption(endpoint);
    }
    if (result.outcome === AttemptOutcome.NotSent) endpoint.recordUnreachable(time);
    if (result.outcome === AttemptOutcome.WrongEndpoint) directory.handleReplaced(endpoint);
    if (result.outcome === AttemptOutcome.NotRun) endpoint.recordOutcome(false, time);
    this.history.recordNotRun(createRefusal(FailureCode.Overloaded, service));
    return this.history.isExhausted ? NextStep.Fail : NextStep.Retry;
  }

  /**
   * Continues after a run whose connection was interrupted. A retry waits until it is known whether the endpoint has
   * crashed; otherwise all requests that ran there would move to the next endpoint together, along with the request that
   * crashes both.
   */
  private async handleInterruption(endpoint: Endpoint): Promise<NextStep> {
    this.history.recordRunFailure(Failure.create(FailureCode.EndpointCut, { endpoint: endpoint.id }));
    const checked = this.parts.suspects.recordInterruption(endpoint, this);
    if (!this.isRetryAllowed()) return NextStep.Fail;
    await checked;
    return this.isOver ? NextStep.Done : NextStep.Retry;
  }

  private isRetryAllowed(): boolean {
    return this.isRetryable && this.history.runs < this.request.admitted.route.attempts && !this.isOver;
  }

  /** Reads the complete response, then forwards it; after an endpoint's own failure the request may be retried first. */
  private async forwardResponse(
    endpoint: Endpoint,
    response: IncomingMessage,
    startedAt: number,
  ): Promise<NextStep> {
    const body: ReceivedBody = await readResponseBody(response);
    if (this.isOver) return NextStep.Done;
    const status = response.statusCode ?? 0;
    const isFailed = !body.isComplete || status >= minServerErrorStatus;
    endpoint.recordOutcome(!isFailed, this.parts.clock.getTime());
    if (!isFailed) endpoint.recordLatency(this.parts.clock.getTime() - startedAt);
    if (isFailed && this.isRetryAllowed()) {
      this.log("attempt.failed", {
        endpoint: endpoint.id,
        end: "Answered",
        status,
        complete: body.isComplete,
      });
      if (!body.isComplete) return this.handleInterruption(endpoint);
      this.history.recordRunFailure(
        Failure.create(FailureCode.EndpointFailed, { endpoint: endpoint.id, status }),
      );
      return NextStep.Retry;
    }
    if (!body.isComplete) return this.handleInterruption(endpoint);
    this.clearSuspicion();
    writeEndpointResponse(
      this.request.response,
      this.request.message.method,
      response,
      body.bytes,
      this.parts.isLeaving(),
    );
    return NextStep.Done;
  }

  private async relayStream(
    placement: Placement,
    endpointResponse: IncomingMessage,
    startedAt: number,
    clearPending: () => void,
  ): Promise<NextStep> {
    const { response, admitted, head } = this.request;
    const { endpoint } = placement;
    this.relay ??= StreamRelay.create(response, admitted.route.isResumable, this.parts.isLeaving);
    const onFirst = (): void => {
      clearPending();
      const time = this.parts.clock.getTime();
      this.firstEventMs ??= time - this.request.arrivedAt;
      this.recordPrefillRate(placement, time - startedAt);
      this.scheduleTrialEnd();
      this.countUsageOnce(this.parts.getTimeOfDay());
      this.parts.placer.memory.recordProcessed(head.parts, endpoint.incarnation);
    };
    const relayOutcome = await this.relay.relay(endpointResponse, onFirst);
    if (this.isOver) return NextStep.Done;
    endpoint.recordOutcome(relayOutcome === RelayOutcome.Complete, this.parts.clock.getTime());
    if (relayOutcome === RelayOutcome.Complete) {
      this.clearSuspicion();
      return NextStep.Done;
    }
    const { relay, subject } = this;
    const { fingerprint } = subject;
    this.log("stream.cut", { endpoint: endpoint.id, lastEvent: relay.lastEventId, fingerprint });
    return this.handleInterruption(endpoint);
  }

  /** Clears the request of suspicion: an endpoint that completed its response was not crashed by it. */
  private clearSuspicion(): void {
    const { suspects } = this.parts;
    if (suspects.hasSuspects(this.workspace)) suspects.clear(this.subject);
  }

  /** Ends the trial once events have been streaming for a while: a request that crashes endpoints does so at its start. */
  private scheduleTrialEnd(): void {
    const { trial } = this;
    if (trial) this.parts.clock.startTimer(trialSurvivalMs, () => trial.end());
  }

  /** Records the engine's prefill rate; only a prompt that is read from the start, with none queued before it, shows it. */
  private recordPrefillRate({ uncachedTokens, tokensAhead }: Placement, elapsedMs: number): void {
    const { service, head } = this.request;
    const isResumed = head.lastEventId !== undefined || this.history.runs > 1;
    if (!service.engine || isResumed || tokensAhead > 0) return;
    this.parts.rates.note(service.name, { tokens: uncachedTokens, elapsedMs });
  }

  private countUsageOnce(at: number): void {
    const workspace = this.request.admitted.workspace?.name;
    if (this.isUsageCounted || workspace === undefined) return;
    this.isUsageCounted = true;
    this.parts.countRun(workspace, at);
  }

  private createFinalFailure(): Failure {
    const { service } = this.request;
    const failure = this.history.findFailure() ?? createRefusal(FailureCode.Overloaded, service);
    if (failure.retryAfterMs === undefined) return failure;
    const openingMs = this.parts.directory.getShortestWaitMs(service.name);
    return failure.withRetryAfter(Math.max(failure.retryAfterMs, openingMs));
  }

  /** Attempts that may have run, finished ones and the current one. */
  private get runs(): number {
    const isRunning = this.isAttemptPending && this.attempt?.mayHaveRun === true;
    return this.history.runs + (isRunning ? 1 : 0);
  }

  /** Ends the request now, because the route's timeout has passed or the instance stops. */
  abort(): void {
    if (this.isOver) return;
    const { route } = this.request.admitted;
    const { runs } = this;
    this.isOver = true;
    this.attempt?.abort("given up");
    const failure =
      runs > 0
        ? Failure.create(FailureCode.RouteTimeout, { limit: route.timeoutMs })
        : createRefusal(FailureCode.Overloaded, this.request.service);
    this.respondWithFailure(failure);
  }

  private handleCallerGone(): void {
    if (this.isOver || this.request.response.writableFinished) return;
    this.isOver = true;
    this.attempt?.abort("caller gone");
    this.outcome = this.createOutcome(0, Failure.create(FailureCode.CallerGone));
  }

  /** Sends the final response; a response that has begun is aborted instead, so that it does not look complete. */
  private respondWithFailure(failure: Failure): void {
    const { response, head } = this.request;
    this.outcome = this.createOutcome(failure.status, failure);
    if (response.headersSent) {
      response.destroy();
      return;
    }
    writeProblemResponse(
      response,
      failure,
      this.parts.platform.callers.createGatewayHeaders(head.id),
      this.parts.isLeaving(),
    );
  }

  private log(event: string, fields: Readonly<Record<string, string | number | boolean | undefined>>): void {
    const { head, admitted, arrivedAt } = this.request;
    this.parts.logger.info(event, {
      request: head.id,
      route: admitted.route.name,
      version: admitted.table.version,
      sinceMs: Math.round(this.parts.clock.getTime() - arrivedAt),
      ...fields,
    });
  }
}

/** Returns the milliseconds after its arrival within which a request must have its final response. */
export function getTimeLimit({ timeoutMs }: Route, { deadlineMs }: CallerRequestHead): number {
  return Math.min(timeoutMs, deadlineMs ?? timeoutMs);
}

function createRefusal(code: FailureCode, service: Service): Failure {
  return Failure.create(code, { service: service.name }, retryAfterMs);
}
