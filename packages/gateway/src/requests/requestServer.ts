/**
 * Serves all requests of one instance from their arrival to their final response: admission, body, quota charge, and the
 * active request; then logs and counts the outcome.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Failure, FailureCode, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { FailurePlace } from "../failures/containedFailures.js";
import type { AdmittedRequest } from "../limits/admission.js";
import { BodyFraming, ResponseEnd } from "../responses/responseEnd.js";
import { writeProblemResponse } from "../responses/responseWriter.js";
import { ActiveRequest } from "./activeRequest.js";
import type { ActiveRequestInput, RequestOutcome, ActiveRequestParts } from "./activeRequestTypes.js";
import type { GatewayParts } from "../parts/gatewayPartTypes.js";
import { canServe } from "../parts/readiness.js";
import type { RequestCharge } from "../limits/quotaCharges.js";
import { discardBody, requestBounds } from "../bodies/discardBody.js";
import { readRequestBody } from "../bodies/requestBody.js";
import { isCallerGone, waitForNextRead } from "./callerPresence.js";
import { getTimeLimit } from "./requestContext.js";
import { createLeavingRefusal } from "./requestRefusal.js";
import type { LeavingSchedule } from "../intake/leavingSchedule.js";
import type { CallerRequestHead, Service } from "../types.js";

/** Options of the request server. */
export interface RequestServerOptions {
  readonly parts: GatewayParts;
  readonly leaving: LeavingSchedule;
}

/** A request that was admitted and has been received completely. */
type ReceivedRequest = Omit<ActiveRequestInput, "service" | "origin" | "charge">;

/** Time after which a request may come back whose route leads to no service that is configured. */
const unroutedRetryAfterMs = 200;
/** Interval at which a starting instance checks whether it can serve held requests. */
const startPollMs = 10;

/** Serves requests and tracks those in progress. */
export class RequestServer {
  private readonly activeRequestParts: ActiveRequestParts;
  private readonly activeRequests = new Set<ActiveRequest>();
  private openCount = 0;
  private isStopped = false;
  private readonly startedAt: number;

  private constructor(private readonly options: RequestServerOptions) {
    const { parts, leaving } = options;
    this.startedAt = parts.clock.getTime();
    this.activeRequestParts = { ...parts, leaving };
  }

  static create(options: RequestServerOptions): RequestServer {
    return new RequestServer(options);
  }

  /** Number of requests without a final response. */
  get open(): number {
    return this.openCount;
  }

  /** Refuses every request that arrives from now on. */
  stop(): void {
    this.isStopped = true;
  }

  /** Refuses the requests that wait and could outlast the instance, which leaves. */
  refuseWaiting(): void {
    for (const activeRequest of this.activeRequests) activeRequest.refuseIfWaiting();
  }

  /** Ends all requests in progress now. */
  abortAll(): void {
    for (const activeRequest of this.activeRequests) activeRequest.abort();
  }

  /** Serves one request until its final response. Never rejects: what fails on a request's way ends that request. */
  async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    this.openCount += 1;
    // Broken connections are handled where responses are written, but an `error` event without a listener would throw.
    message.on("error", () => undefined);
    response.on("error", () => undefined);
    try {
      await this.serveOrRefuse(message, response);
    } catch (error) {
      this.fail(message, response, error);
    } finally {
      this.openCount -= 1;
    }
  }

  private async serveOrRefuse(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAt = this.options.parts.clock.getTime();
    const head = this.options.parts.platform.callers.readHead(message.headers);
    const failure = head.isErr() ? head.error : await this.serve(message, response, head.value, arrivedAt);
    if (!failure) return;
    this.refuse(message, response, head.isOk() ? head.value.id : undefined, failure);
  }

  /** Ends a request after a failure of this instance itself, before or after it was active. */
  private fail({ url, socket }: IncomingMessage, response: ServerResponse, error: unknown): void {
    this.options.parts.failures.record(FailurePlace.Request, error, { target: url });
    if (response.writableEnded) return;
    if (response.headersSent) return void response.destroy();
    try {
      writeProblemResponse(response, Failure.create(FailureCode.GatewayFailed), [], true);
    } catch {
      socket.destroy();
    }
  }

  /** Serves a request; returns the failure if it was refused before it became active. */
  private async serve(
    message: IncomingMessage,
    response: ServerResponse,
    head: CallerRequestHead,
    arrivedAt: number,
  ): Promise<Failure | undefined> {
    if (this.isStopped) return createLeavingRefusal();
    if (this.isStarting) await this.waitForStart(message);
    const admitted = this.options.parts.admission.admit(message.headers.host ?? "", message.url ?? "/", head);
    if (admitted.isErr()) return admitted.error;
    const { table } = admitted.value;
    if (this.mayOutlast(admitted.value, head, arrivedAt)) return createLeavingRefusal();
    const { heldRequests: held, clock } = this.options.parts;
    const limit = table.configuration.limits.maxBodyBytes;
    const waitMs = this.getTimeLeft(admitted.value, head, arrivedAt);
    const body = await readRequestBody(message, { limit, held, clock, waitMs });
    if (body.isErr()) return body.error;
    const arrival = { admitted: admitted.value, message, response, head, body: body.value.bytes, arrivedAt };
    return this.serveAdmitted(arrival).finally(body.value.release);
  }

  /** Serves a request whose body has been received; returns the failure if it was refused before it became active. */
  private async serveAdmitted(arrival: ReceivedRequest): Promise<Failure | undefined> {
    const { admitted, message, response, head, arrivedAt } = arrival;
    const { route, table, workspace } = admitted;
    await waitForNextRead();
    // The instance may have stopped, and the caller may have left, while the body was received.
    if (this.isStopped || this.mayOutlast(admitted, head, arrivedAt)) return createLeavingRefusal();
    if (isCallerGone(message, response)) return Failure.create(FailureCode.CallerGone);
    const chosen = await this.options.parts.takeUps.choose({ route, head, workspace: workspace?.name ?? "" });
    if (chosen.isErr()) return chosen.error;
    // Either may have come about while peers were called for the stream's origin.
    if (this.isStopped) return createLeavingRefusal();
    if (isCallerGone(message, response)) return Failure.create(FailureCode.CallerGone);
    const service = table.findService(chosen.value.service);
    if (!service)
      return Failure.create(FailureCode.NoEndpoint, { service: route.name }, unroutedRetryAfterMs);
    const charge = await this.charge(arrival);
    if (charge.isErr()) return charge.error;
    const request = { ...arrival, service, origin: chosen.value.origin, charge: charge.value };
    const activeRequest = ActiveRequest.create(this.activeRequestParts, request);
    this.activeRequests.add(activeRequest);
    const end = await activeRequest.run().finally(() => this.activeRequests.delete(activeRequest));
    if (charge.value) this.options.parts.charges.settle(charge.value, end.runs);
    this.recordOutcome(admitted, head, service, end, arrivedAt);
    return undefined;
  }

  /** Whether the instance has just started and can't serve yet (see `canServe`); requests are held meanwhile. */
  private get isStarting(): boolean {
    const { parts } = this.options;
    if (canServe(parts)) return false;
    const { clock, settings } = parts;
    return clock.getTime() - this.startedAt < settings.listen.start_hold;
  }

  private async waitForStart(message: IncomingMessage): Promise<void> {
    while (this.isStarting && !message.destroyed) await waitFor(this.options.parts.clock, startPollMs);
  }

  /** Charges a request. Fails with `QuotaSpent`, `QuotaShareSpent`, `Leaving`, or `CallerGone`; the last two refund the charge. */
  private async charge({
    admitted,
    message,
    response,
    head,
    arrivedAt,
  }: ReceivedRequest): Promise<Result<RequestCharge | undefined, Failure>> {
    const { workspace, route } = admitted;
    if (!workspace) return Ok(undefined);
    const { admission, charges } = this.options.parts;
    const units = admission.getCost(workspace, head);
    const leftMs = this.getTimeLeft(admitted, head, arrivedAt);
    const { priority: rank, name } = route;
    const charge = await charges.take({ request: head.id, workspace, units, leftMs, rank, route: name });
    if (charge.isErr()) return charge;
    if (!this.isStopped && !isCallerGone(message, response)) return charge;
    charges.settle(charge.value, 0);
    return Err(this.isStopped ? createLeavingRefusal() : Failure.create(FailureCode.CallerGone));
  }

  private recordOutcome(
    { workspace, route }: AdmittedRequest,
    head: CallerRequestHead,
    service: Service,
    { status, failure, placement, arrivals, runs, firstEventMs, ended }: RequestOutcome,
    arrivedAt: number,
  ): void {
    const fields = {
      request: head.id,
      route: route.name,
      service: service.name,
      workspace: workspace?.name,
      status,
      failure: failure?.name,
      mayHaveRun: runs > 0,
      endpoint: placement?.endpoint.id,
      softwareVersion: placement?.endpoint.record.softwareVersion,
      candidates: placement?.candidates,
      expectedMs: placement && Math.round(placement.expectedMs),
      pace: placement?.pace && Math.round(placement.pace * 100) / 100,
      uncached: placement && service.engine ? placement.uncachedTokens : undefined,
      ahead: placement && service.engine ? placement.tokensAhead : undefined,
      firstMs: firstEventMs && Math.round(firstEventMs),
      arrivals,
      runs,
      ended: ended && ResponseEnd[ended.end],
      framing: ended && BodyFraming[ended.framing],
      tookMs: Math.round(this.options.parts.clock.getTime() - arrivedAt),
    };
    this.options.parts.metrics.countRequest(service.name, status, failure?.name ?? "none", fields.tookMs);
    if (failure) this.options.parts.logger.info("request.failed", fields);
    else this.options.parts.logger.info("request.served", fields);
  }

  /** Whether a request could outlast the remaining time of a leaving instance. */
  private mayOutlast(admitted: AdmittedRequest, head: CallerRequestHead, arrivedAt: number): boolean {
    const leftMs = this.getTimeLeft(admitted, head, arrivedAt);
    return this.options.leaving.mayBeOutlastedBy(admitted.route, leftMs);
  }

  /** Milliseconds until a request's own limit. */
  private getTimeLeft({ route }: AdmittedRequest, head: CallerRequestHead, arrivedAt: number): number {
    return arrivedAt + getTimeLimit(route, head) - this.options.parts.clock.getTime();
  }

  private refuse(
    message: IncomingMessage,
    response: ServerResponse,
    request: string | undefined,
    failure: Failure,
  ): void {
    this.options.parts.logger.info("request.refused", {
      request,
      status: failure.status,
      failure: failure.name,
      cause: failure.text,
      retryAfterMs: failure.retryAfterMs && Math.round(failure.retryAfterMs),
      version: this.options.parts.follower.getTable()?.version,
      proofAgeMs: Math.round(this.options.parts.follower.getProofAge()),
    });
    this.options.parts.metrics.countRefusal(failure.name, failure.status);
    if (failure.code === FailureCode.CallerGone || response.headersSent) return;
    const gatewayHeaders = this.options.parts.platform.callers.createGatewayHeaders(request);
    // After `BodyTooLarge` the connection is closed, because the unread rest of the body would be parsed as the next
    // request.
    const closes = this.options.leaving.hasBegun || failure.code === FailureCode.BodyTooLarge;
    writeProblemResponse(response, failure, gatewayHeaders, closes);
    discardBody(message, requestBounds);
  }
}
