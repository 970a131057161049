/**
 * Serves one admitted request until its final response. Each attempt passes the stages queue, placement, permit, attempt and relay.
 *
 * The caller gets a final response as soon as the request is given up, and no later than the route's timeout. A status
 * that promises that the request did not run is only sent if it certainly did not run.
 * @module
 */
import { Failure, FailureCode, type Timer } from "@gladewall/kernel";
import type { RequestOutcome, ActiveRequestParts, ActiveRequestInput } from "./activeRequestTypes.js";
import { isCallerGone, waitForNextRead } from "./callerPresence.js";
import { containThrows, FailurePlace } from "../failures/containedFailures.js";
import { AttemptStage } from "./attemptStage.js";
import { PermitStage } from "./permitStage.js";
import type { Placement } from "../placement/placer.js";
import { PlacementStage } from "../placement/placementStage.js";
import { QueueStage } from "./queueStage.js";
import { NextStep, RequestContext } from "./requestContext.js";
import { createLeavingRefusal, createRefusal } from "./requestRefusal.js";
import { breakOffStream, writeProblemResponse } from "../responses/responseWriter.js";

/** Time between two checks whether a caller still takes the rest of a response after the route's timeout. */
const lateCheckMs = 250;

/** A request that has been admitted and has no final response yet. */
export class ActiveRequest {
  private readonly queueStage: QueueStage;
  private readonly placementStage: PlacementStage;
  private readonly permitStage: PermitStage;
  private readonly attemptStage: AttemptStage;
  private outcome: RequestOutcome | undefined;
  private timer: Timer | undefined;
  private isDemandCounted = false;

  private constructor(private readonly context: RequestContext) {
    this.queueStage = QueueStage.create(context);
    this.placementStage = PlacementStage.create(context);
    this.permitStage = PermitStage.create(context);
    this.attemptStage = AttemptStage.create(context);
    context.fail = (error) => this.fail(error);
    context.abort = () => this.abort();
  }

  static create(parts: ActiveRequestParts, request: ActiveRequestInput): ActiveRequest {
    return new ActiveRequest(RequestContext.create(parts, request));
  }

  /** Resolves with the outcome once the final response is sent or the caller is gone. Never rejects. */
  async run(): Promise<RequestOutcome> {
    const { context } = this;
    const { budget, linkPace } = context.parts;
    const endRequest = linkPace.beginRequest();
    const { response, service } = context.request;
    const handleClose = containThrows(() => this.handleCallerGone(), context.fail);
    response.on("close", handleClose);
    this.timer = this.startTimer(context.getTimeLeft());
    try {
      budget.countRequest(service.name);
      await this.attemptUntilDone();
    } catch (error) {
      this.fail(error);
    }
    context.isOver = true;
    this.timer.cancel();
    endRequest();
    response.off("close", handleClose);
    return this.outcome ?? context.createOutcome(response.statusCode, undefined);
  }

  private startTimer(delayMs: number): Timer {
    const { context } = this;
    const handleTimeout = containThrows(() => this.handleTimeout(), context.fail);
    return context.parts.clock.startTimer(delayMs, handleTimeout);
  }

  /** Ends the request, unless only its caller delays the rest of a response that has come in time. */
  private handleTimeout(): void {
    if (this.context.mayFinishLate()) this.timer = this.startTimer(lateCheckMs);
    else this.abort();
  }

  private async attemptUntilDone(): Promise<void> {
    const { context } = this;
    let next = NextStep.Retry;
    while (next === NextStep.Retry && !context.isOver) next = await this.attemptOnce();
    if (next === NextStep.Fail && !context.isOver) this.respondWithFailure(this.createFinalFailure());
  }

  private async attemptOnce(): Promise<NextStep> {
    const { context } = this;
    // What ended the last attempt may have been received together with the end of the caller's connection.
    if (context.history.arrivals > 0) await waitForNextRead();
    if (this.endIfCallerGone()) return NextStep.Done;
    if (this.mayOutlast()) return this.failUnplaced(createLeavingRefusal());
    if (!context.isServable())
      return this.failUnplaced(createRefusal(FailureCode.NoEndpoint, context.request.service));
    if (!(await this.permitStage.chargeRun())) return NextStep.Fail;
    if (context.isOver) return NextStep.Done;
    if (!this.permitStage.isAttemptWorthwhile()) return NextStep.Fail;
    const queued = await this.queueStage.acquireSlot();
    if (queued !== NextStep.Retry) return queued;
    try {
      return await this.placeAndSend();
    } finally {
      this.queueStage.release();
      context.trial?.end();
      context.trial = undefined;
    }
  }

  private async placeAndSend(): Promise<NextStep> {
    const placement = await this.placementStage.choose();
    this.countDemandOnce(placement.isOk() ? placement.value : undefined);
    if (placement.isErr()) return this.failUnplaced(placement.error);
    const { trial, request } = this.context;
    if (trial && !(await this.queueStage.acquireAt(placement.value.endpoint)))
      return this.failUnplaced(createRefusal(FailureCode.CrashSuspect, request.service));
    return this.sendWithPermit(placement.value);
  }

  /** Without an endpoint no token counts as cached: endpoints that fail together do not lower the load. */
  private countDemandOnce(placement: Placement | undefined): void {
    if (this.isDemandCounted) return;
    this.isDemandCounted = true;
    const { parts, request } = this.context;
    const { service, head } = request;
    const prompt = head.promptTokens ?? 0;
    const cached = placement ? Math.max(0, prompt - placement.uncachedTokens) : 0;
    parts.demand.countPromptTokens(service, { prompt, cached });
  }

  /** Refuses the request if it has not run, and could outlast the instance, which leaves. */
  refuseIfWaiting(): void {
    const refuse = (): void => (this.mayOutlast() ? this.abort() : undefined);
    containThrows(refuse, this.context.fail)();
  }

  private mayOutlast(): boolean {
    const { context } = this;
    const { route } = context.request.admitted;
    return context.runs === 0 && context.parts.leaving.mayBeOutlastedBy(route, context.getTimeLeft());
  }

  private failUnplaced(failure: Failure): NextStep {
    this.context.history.recordNoEndpoint(failure);
    return NextStep.Fail;
  }

  /** Sends the request if the endpoint needs no permit or one is granted; otherwise the request is placed again. */
  private async sendWithPermit(placement: Placement): Promise<NextStep> {
    const { context } = this;
    if (await this.permitStage.acquirePermit(placement)) return this.sendWithRetry(placement);
    if (!context.trial) return NextStep.Retry;
    return this.failUnplaced(createRefusal(FailureCode.CrashSuspect, context.request.service));
  }

  /** Takes the retry last, so that it arrives at the endpoint when it counts as taken. */
  private async sendWithRetry(placement: Placement): Promise<NextStep> {
    if (this.endIfCallerGone()) return NextStep.Done;
    // The request may have waited for a slot or a permit.
    if (this.mayOutlast()) return this.failUnplaced(createLeavingRefusal());
    return (await this.permitStage.acquireRetry()) ? this.attemptStage.run(placement) : NextStep.Fail;
  }

  private createFinalFailure(): Failure {
    const { history, parts, request } = this.context;
    const { service } = request;
    const failure = history.findFailure() ?? createRefusal(FailureCode.Overloaded, service);
    if (failure.retryAfterMs === undefined) return failure;
    const openingMs = parts.directory.getShortestWaitMs(service.name);
    return failure.withRetryAfter(Math.max(failure.retryAfterMs, openingMs));
  }

  /** Ends the request now, because the route's timeout has passed or the instance stops. */
  abort(): void {
    const { context } = this;
    if (context.isOver) return;
    const { admitted, service } = context.request;
    const { runs } = context;
    context.isOver = true;
    context.queueing?.abort();
    context.attempt?.abort("given up");
    const failure =
      runs > 0
        ? Failure.create(FailureCode.RouteTimeout, { limit: admitted.route.timeoutMs })
        : createRefusal(FailureCode.Overloaded, service);
    this.respondWithFailure(failure);
  }

  /** Ends the request after a failure of this instance itself, which tells nothing about what has run. */
  private fail(error: unknown): void {
    const { context } = this;
    const { admitted, head, response } = context.request;
    const fields = { request: head.id, route: admitted.route.name };
    context.parts.failures.record(FailurePlace.Request, error, fields);
    context.isOver = true;
    context.queueing?.abort();
    context.attempt?.abort("the gateway failed");
    if (response.writableEnded || response.destroyed) return;
    try {
      this.respondWithFailure(Failure.create(FailureCode.GatewayFailed));
    } catch {
      response.destroy();
    }
  }

  /** Ends the request if its caller has left, which the close of the response tells some turns of the event loop later. */
  private endIfCallerGone(): boolean {
    const { message, response } = this.context.request;
    if (isCallerGone(message, response)) this.handleCallerGone();
    return this.context.isOver;
  }

  private handleCallerGone(): void {
    const { context } = this;
    if (context.isOver || context.request.response.writableFinished) return;
    context.isOver = true;
    context.queueing?.abort();
    context.attempt?.abort("caller gone");
    this.outcome = context.createOutcome(0, Failure.create(FailureCode.CallerGone));
  }

  /**
   * Sends the final response; a response that has begun is aborted instead, so that it does not look complete. A stream of which only the
   * end is unconfirmed is closed.
   */
  private respondWithFailure(failure: Failure): void {
    const { context } = this;
    const { response, head } = context.request;
    if (context.relay?.tryClose()) return;
    this.outcome = context.createOutcome(failure.status, failure);
    if (response.headersSent) {
      breakOffStream(response);
      return;
    }
    const headers = context.parts.platform.callers.createGatewayHeaders(head.id);
    const { leaving, paths } = context.parts;
    // A caller that keeps its connection would come back to the same instance.
    const closes = leaving.hasBegun || paths.isCutOff(context.request.service.name);
    writeProblemResponse(response, failure, headers, closes);
  }
}
