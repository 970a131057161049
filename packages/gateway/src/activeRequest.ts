/**
 * The life of one request from its admission to its final answer: placements, attempts, the answer's way back.
 *
 * The caller has a final answer the moment the request is given up, and at its route's time at the latest. Only what
 * certainly did not run is refused with a status that promises so.
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

/** What a finished attempt means for the request. */
enum Next {
  Done = 1,
  TryAgain = 2,
  GiveUp = 3,
}

const firstServerError = 500;
const leastAttemptMs = 5;
/** Reading that would make another request late if it came behind unknown: a tenth of the shortest usual objective. */
const toldAtOnceMs = 25;
const retryAfterMs = 300;
/** Endpoints ended 40 to 120 ms after they began to run the request under which they did. */
const survivedMs = 200;
/** Refused permits after which a request goes only where none is needed. */
const mostPermitRefusals = 3;
/** Added to the rank of a repeat: permits go to first tries before. */
const repeatRank = 1_000;
const urgencyLevels = 9;
const urgencyPerWorkspaceRank = 3;

/** Serves one request. */
export class ActiveRequest implements InFlightRequest {
  private attempt: Attempt | undefined;
  /** Whether the attempt has neither an answer's head nor failed. */
  private isUnderWay = false;
  private relay: StreamRelay | undefined;
  private readonly excluded = new Set<string>();
  private readonly history = AttemptHistory.create();
  private placement: Placement | undefined;
  /** Where it runs apart from others under which endpoints ended. */
  private trial: Trial | undefined;
  private knownSubject: CrashSubject | undefined;
  private firstEventMs: number | undefined;
  private permitRefusals = 0;
  /** Repeats that the budget has given. */
  private repeats = 0;
  private isCounted = false;
  private isOver = false;
  private timer: Timer | undefined;
  private readonly endsAt: number;
  private end: RequestOutcome | undefined;

  private constructor(
    private readonly parts: ActiveRequestParts,
    private readonly request: ActiveRequestInput,
  ) {
    const { admitted, head, arrivedAt } = request;
    this.endsAt = arrivedAt + getTimeLimit(admitted.route, head);
  }

  static create(parts: ActiveRequestParts, request: ActiveRequestInput): ActiveRequest {
    return new ActiveRequest(parts, request);
  }

  /** Runs to the final answer. Never rejects. */
  async run(): Promise<RequestOutcome> {
    const { response } = this.request;
    const handleClose = (): void => this.handleCallerGone();
    response.on("close", handleClose);
    this.timer = this.parts.clock.startTimer(this.getTimeLeft(), () => this.giveUp());
    this.parts.budget.countRequest(this.request.service.name);
    this.parts.demand.countPromptTokens(this.request.service.name, this.request.head.promptTokens ?? 0);
    let next = Next.TryAgain;
    while (next === Next.TryAgain && !this.isOver) next = await this.tryOnce();
    if (next === Next.GiveUp && !this.isOver) this.answerFailure(this.createFinalFailure());
    this.isOver = true;
    this.timer.cancel();
    response.off("close", handleClose);
    return this.end ?? this.createEnd(response.statusCode, undefined);
  }

  private createEnd(status: number, failure: Failure | undefined): RequestOutcome {
    const { placement, history, firstEventMs, runs } = this;
    return { status, failure, placement, arrivals: history.arrivals, runs, firstEventMs };
  }

  private getTimeLeft(): number {
    return this.endsAt - this.parts.clock.getTime();
  }

  /** Whether the request may run on more than one endpoint. */
  private get isRepeatable(): boolean {
    const { kind, isResumable } = this.request.admitted.route;
    return kind === RouteKind.Safe || (kind === RouteKind.Stream && isResumable);
  }

  /** Tells the same request again, whatever its id and instance. */
  get subject(): CrashSubject {
    this.knownSubject ??= this.createSubject();
    return this.knownSubject;
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

  private async tryOnce(): Promise<Next> {
    const { service } = this.request;
    if (this.isChargeDue && !(await this.tryCharge())) {
      this.log("retry.refused", { service: service.name, cause: "limit" });
      return Next.GiveUp;
    }
    if (this.isOver) return Next.Done;
    if (this.isRepeatDue && !(await this.tryRepeat())) {
      this.log("retry.refused", { service: service.name, cause: "budget" });
      return Next.GiveUp;
    }
    if (this.isOver) return Next.Done;
    const placement = await this.choose();
    const next = placement.isOk()
      ? await this.tryPermitted(placement.value)
      : this.noteNotPlaced(placement.error);
    this.trial?.end();
    this.trial = undefined;
    return next;
  }

  private noteNotPlaced(failure: Failure): Next {
    this.history.noteNoEndpoint(failure);
    return Next.GiveUp;
  }

  /** Chooses an endpoint; an isolated request has one apart from the others of its kind. */
  private async choose(): Promise<Result<Placement, Failure>> {
    const { suspects, placer } = this.parts;
    const { service, head } = this.request;
    const { excluded } = this;
    const { promptTokens = 0, parts } = head;
    const avoidsLimited = this.permitRefusals >= mostPermitRefusals;
    const wanted = { service, promptTokens, parts, excluded, rank: this.permitRank, avoidsLimited };
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
    if (this.trial) return Ok(placer.describe(wanted, this.trial.endpoint));
    const placement = placer.choose(wanted);
    return placement ? Ok(placement) : Err(createRefusal(FailureCode.NoEndpoint, service));
  }

  /** Sends it where no permit is needed or one is to be had; else it is placed anew. */
  private async tryPermitted(placement: Placement): Promise<Next> {
    const { permits, clock } = this.parts;
    const { endpoint } = placement;
    if (permits.isUnlimited(endpoint)) return this.tryAt(placement);
    const wanted = { id: this.request.head.id, rank: this.permitRank, leftMs: this.getTimeLeft() };
    const isGranted = await permits.acquire(endpoint, wanted);
    // The endpoint may have said something else while the permit was asked for.
    if (isGranted && endpoint.acceptsPermitted(clock.getTime())) return this.tryAt(placement);
    this.permitRefusals += 1;
    const { limit } = endpoint.availability;
    this.log("permit.refused", {
      endpoint: endpoint.id,
      perSecond: limit.perSecond,
      limitAgeMs: Math.round(limit.getAge(clock.getTime())),
      rank: wanted.rank,
      waitMs: Math.round(limit.getWaitMs(clock.getTime())),
    });
    if (!this.trial) return Next.TryAgain;
    return this.noteNotPlaced(createRefusal(FailureCode.CrashSuspect, this.request.service));
  }

  /** Urgency of the request, 0 first; of a repeat behind all first tries. */
  private get permitRank(): number {
    return this.rank + (this.history.arrivals > 0 ? repeatRank : 0);
  }

  private get rank(): number {
    const { workspace, route } = this.request.admitted;
    return (workspace?.priority ?? 0) * urgencyPerWorkspaceRank + route.priority;
  }

  private async tryAt(placement: Placement): Promise<Next> {
    const { service } = this.request;
    if (this.isOver) return Next.Done;
    if (this.getTimeLeft() < leastAttemptMs) return Next.GiveUp;
    const { endpoint } = placement;
    this.excluded.add(endpoint.incarnation);
    this.placement = placement;
    endpoint.active += 1;
    endpoint.inFlight.add(this);
    const pending = service.engine ? placement.uncachedTokens : 0;
    endpoint.pendingTokens += pending;
    this.tellIfLong(placement, pending);
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

  /** Whether the next sending is a repeat that the budget has not been asked for. */
  private get isRepeatDue(): boolean {
    return this.history.arrivals > this.repeats;
  }

  /** Takes one repeat of the budget that all instances share; false where it is spent. */
  private async tryRepeat(): Promise<boolean> {
    const isTaken = await this.parts.budget.take(this.request.service.name, this.getTimeLeft());
    if (isTaken) this.repeats += 1;
    return isTaken;
  }

  /** Whether all runs that were charged may have been. */
  private get isChargeDue(): boolean {
    const { charge } = this.request;
    return charge !== undefined && this.history.runs >= charge.runs;
  }

  /** Charges one more run; false where the limit is spent. */
  private async tryCharge(): Promise<boolean> {
    const { charge } = this.request;
    return !charge || (await this.parts.charges.takeRetry(charge, this.getTimeLeft())).isOk();
  }

  private tellIfLong({ endpoint }: Placement, tokens: number): void {
    const { rates, announcePlacement: tellPlaced } = this.parts;
    if (tokens / rates.get(this.request.service.name) < toldAtOnceMs) return;
    tellPlaced(endpoint.incarnation, tokens);
  }

  private async send(placement: Placement, clearPending: () => void): Promise<Next> {
    const { endpoint } = placement;
    const startedAt = this.parts.clock.getTime();
    const beganAt = this.parts.getTimeOfDay();
    const attempt = this.createAttempt(endpoint);
    this.attempt = attempt;
    this.isUnderWay = true;
    const round = endpoint.availability.beginAttempt();
    const result = await attempt.result;
    endpoint.availability.endAttempt(round, result.end === AttemptOutcome.Answered);
    this.isUnderWay = false;
    this.parts.metrics.countAttempt(this.request.service.name, AttemptOutcome[result.end]);
    if (result.end !== AttemptOutcome.NotSent) this.history.noteArrival();
    if (this.isOver) return Next.Done;
    if (result.end !== AttemptOutcome.Answered || !result.response)
      return this.handleNoAnswer(endpoint, result, beganAt);
    this.history.noteRun();
    const { route } = this.request.admitted;
    const isStream = route.kind === RouteKind.Stream && (result.response.statusCode ?? 0) < 300;
    if (isStream) return this.relayStream(placement, result.response, startedAt, clearPending);
    this.countOnce(beganAt);
    return this.answerWhole(endpoint, result.response, startedAt);
  }

  private createAttempt(endpoint: Endpoint): Attempt {
    const { platform, connections, connectTimeoutMs } = this.parts;
    const { admitted, message, head, body, service } = this.request;
    const { workspace } = admitted;
    const headers = platform.endpoints.createHeaders(message.rawHeaders, {
      endpointId: endpoint.id,
      workspace: workspace?.name,
      deadlineMs: this.getTimeLeft(),
      urgency: service.engine ? Math.min(urgencyLevels, this.rank) : undefined,
      lastEventId: this.relay?.lastEventId,
    });
    const pool = connections.get(endpoint);
    const method = message.method ?? "GET";
    const target = message.url ?? "/";
    const base = { pool, protocol: platform.endpoints, requestId: head.id, connectTimeoutMs };
    const sentAt = this.parts.clock.getTime();
    const onHead = (answer: ResponseHead, status: number): void =>
      this.takeHead(endpoint, answer, { requestId: head.id, status, sentAt });
    return Attempt.create({ ...base, method, target, headers, body, onHead });
  }

  /** Takes what an endpoint says of itself, whatever becomes of the request. */
  private takeHead(
    endpoint: Endpoint,
    { executionStatus: word, load, notice, limit }: ResponseHead,
    source: LimitSource,
  ): void {
    const { clock, directory, limits } = this.parts;
    if (load) endpoint.noteLoad(load, clock.getTime());
    if (word === ExecutionStatus.Ran && !notice?.isLeaving) endpoint.noteServed(clock.getTime());
    if (notice) directory.handleNotice(endpoint, notice, source);
    // A refusal or a failure without the word says nothing of its end: the endpoint may be in need all the same.
    const isServed = word === ExecutionStatus.Ran && source.status < firstServerError;
    if (limit !== undefined || isServed) limits.handleAnswer(endpoint, limit, source);
  }

  private async handleNoAnswer(endpoint: Endpoint, result: AttemptResult, beganAt: number): Promise<Next> {
    const { clock, directory } = this.parts;
    const { service } = this.request;
    const time = clock.getTime();
    const isLost = result.end === AttemptOutcome.Lost;
    const fingerprint = isLost ? this.subject.fingerprint : undefined;
    this.log("attempt.failed", {
      endpoint: endpoint.id,
      end: AttemptOutcome[result.end],
      detail: result.detail,
      fingerprint,
    });
    if (isLost) {
      this.history.noteRun();
      this.countOnce(beganAt);
      endpoint.noteOutcome(false, time);
      return this.handleCut(endpoint);
    }
    if (result.end === AttemptOutcome.NotSent) endpoint.noteUnreachable(time);
    if (result.end === AttemptOutcome.WrongEndpoint) directory.handleReplaced(endpoint);
    if (result.end === AttemptOutcome.NotRun) endpoint.noteOutcome(false, time);
    this.history.noteNotRun(createRefusal(FailureCode.Overloaded, service));
    return this.history.isTriedOut ? Next.GiveUp : Next.TryAgain;
  }

  /**
   * Goes on after a run whose connection was cut. Sent on before it is known that the endpoint has ended, what had run there
   * would go on together at the next one, beside the request that ends both.
   */
  private async handleCut(endpoint: Endpoint): Promise<Next> {
    this.history.noteRunFailed(Failure.create(FailureCode.EndpointCut, { endpoint: endpoint.id }));
    const checked = this.parts.suspects.noteInterruption(endpoint, this);
    if (!this.isRepeatAllowed()) return Next.GiveUp;
    await checked;
    return this.isOver ? Next.Done : Next.TryAgain;
  }

  private isRepeatAllowed(): boolean {
    return this.isRepeatable && this.history.runs < this.request.admitted.route.attempts && !this.isOver;
  }

  /** Reads a whole answer, then passes it on; a failure of the endpoint's own may be tried elsewhere first. */
  private async answerWhole(endpoint: Endpoint, response: IncomingMessage, startedAt: number): Promise<Next> {
    const body: ReceivedBody = await readResponseBody(response);
    if (this.isOver) return Next.Done;
    const status = response.statusCode ?? 0;
    const isFailed = !body.isComplete || status >= firstServerError;
    endpoint.noteOutcome(!isFailed, this.parts.clock.getTime());
    if (!isFailed) endpoint.noteLatency(this.parts.clock.getTime() - startedAt);
    if (isFailed && this.isRepeatAllowed()) {
      this.log("attempt.failed", {
        endpoint: endpoint.id,
        end: "Answered",
        status,
        complete: body.isComplete,
      });
      if (!body.isComplete) return this.handleCut(endpoint);
      this.history.noteRunFailed(
        Failure.create(FailureCode.EndpointFailed, { endpoint: endpoint.id, status }),
      );
      return Next.TryAgain;
    }
    if (!body.isComplete) return this.handleCut(endpoint);
    this.noteWhole();
    writeEndpointResponse(
      this.request.response,
      this.request.message.method,
      response,
      body.bytes,
      this.parts.isLeaving(),
    );
    return Next.Done;
  }

  private async relayStream(
    placement: Placement,
    answer: IncomingMessage,
    startedAt: number,
    clearPending: () => void,
  ): Promise<Next> {
    const { response, admitted, head } = this.request;
    const { endpoint } = placement;
    this.relay ??= StreamRelay.create(response, admitted.route.isResumable, this.parts.isLeaving);
    const onFirst = (): void => {
      clearPending();
      const time = this.parts.clock.getTime();
      this.firstEventMs ??= time - this.request.arrivedAt;
      this.noteFirstEvent(placement, time - startedAt);
      this.endTrialLater();
      this.countOnce(this.parts.getTimeOfDay());
      this.parts.placer.memory.noteSent(head.parts, endpoint.incarnation);
    };
    const relayEnd = await this.relay.relay(answer, onFirst);
    if (this.isOver) return Next.Done;
    endpoint.noteOutcome(relayEnd === RelayOutcome.Complete, this.parts.clock.getTime());
    if (relayEnd === RelayOutcome.Complete) {
      this.noteWhole();
      return Next.Done;
    }
    const { relay, subject } = this;
    const { fingerprint } = subject;
    this.log("stream.cut", { endpoint: endpoint.id, lastEvent: relay.lastEventId, fingerprint });
    return this.handleCut(endpoint);
  }

  /** An endpoint that has answered it whole was not ended by it. */
  private noteWhole(): void {
    const { suspects } = this.parts;
    if (suspects.hasSuspects(this.workspace)) suspects.clear(this.subject);
  }

  /** An isolated request that has given events for a while lets the next begin: it ends endpoints at once if at all. */
  private endTrialLater(): void {
    const { trial } = this;
    if (trial) this.parts.clock.startTimer(survivedMs, () => trial.end());
  }

  /** Only a prompt that is read from its beginning, with none before it, tells how fast an engine reads. */
  private noteFirstEvent({ uncachedTokens, tokensAhead }: Placement, elapsedMs: number): void {
    const { service, head } = this.request;
    const isResumed = head.lastEventId !== undefined || this.history.runs > 1;
    if (!service.engine || isResumed || tokensAhead > 0) return;
    this.parts.rates.note(service.name, { tokens: uncachedTokens, elapsedMs });
  }

  private countOnce(at: number): void {
    const workspace = this.request.admitted.workspace?.name;
    if (this.isCounted || workspace === undefined) return;
    this.isCounted = true;
    this.parts.countRun(workspace, at);
  }

  private createFinalFailure(): Failure {
    const { service } = this.request;
    const failure = this.history.findFailure() ?? createRefusal(FailureCode.Overloaded, service);
    if (failure.retryAfterMs === undefined) return failure;
    const openingMs = this.parts.directory.getShortestWaitMs(service.name);
    return failure.withRetryAfter(Math.max(failure.retryAfterMs, openingMs));
  }

  /** Sendings that may have run, by what came of them or is under way. */
  private get runs(): number {
    const isRunning = this.isUnderWay && this.attempt?.mayHaveRun === true;
    return this.history.runs + (isRunning ? 1 : 0);
  }

  /** Ends the request now: the route's time is over, or the instance's. */
  giveUp(): void {
    if (this.isOver) return;
    const { route } = this.request.admitted;
    const { runs } = this;
    this.isOver = true;
    this.attempt?.abort("given up");
    const failure =
      runs > 0
        ? Failure.create(FailureCode.RouteTimeout, { limit: route.timeoutMs })
        : createRefusal(FailureCode.Overloaded, this.request.service);
    this.answerFailure(failure);
  }

  private handleCallerGone(): void {
    if (this.isOver || this.request.response.writableFinished) return;
    this.isOver = true;
    this.attempt?.abort("caller gone");
    this.end = this.createEnd(0, Failure.create(FailureCode.CallerGone));
  }

  /** Gives the final answer; an answer that has begun is cut, so that it does not look complete. */
  private answerFailure(failure: Failure): void {
    const { response, head } = this.request;
    this.end = this.createEnd(failure.status, failure);
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

/** Milliseconds from a request's arrival to its final answer. */
export function getTimeLimit({ timeoutMs }: Route, { deadlineMs }: CallerRequestHead): number {
  return Math.min(timeoutMs, deadlineMs ?? timeoutMs);
}

function createRefusal(code: FailureCode, service: Service): Failure {
  return Failure.create(code, { service: service.name }, retryAfterMs);
}
