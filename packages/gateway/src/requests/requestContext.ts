/**
 * State of one admitted request that the stages of its way share: placement, permit, attempt and relay.
 * @module
 */
import type { Attempt } from "./attempt.js";
import type { ActiveRequestInput, ActiveRequestParts, RequestOutcome } from "./activeRequestTypes.js";
import { AttemptHistory } from "./attemptHistory.js";
import type { BodyReader } from "../bodies/bodyReader.js";
import type { InFlightRequest } from "../crashes/inFlightRequest.js";
import type { CrashSubject } from "../crashes/crashUpdates.js";
import { isBegun, mayServe, type RequiredOrigin } from "../origins/streamOrigin.js";
import type { HeldSlot } from "../slots/heldSlot.js";
import type { Placement, PlacementRequest } from "../placement/placer.js";
import { getSharedParts } from "../crashes/parts/sharedParts.js";
import { createSubject } from "../crashes/requestFingerprint.js";
import type { EndedResponse } from "../responses/responseEnd.js";
import type { StreamRelay } from "../responses/streamRelay.js";
import type { SuspectSource, Trial } from "../crashes/suspectGate.js";
import { type CallerRequestHead, type Route, RouteKind } from "../types.js";

/** What to do with the request after a stage. */
export enum NextStep {
  Done = 1,
  Retry = 2,
  Fail = 3,
}

/** Added to the rank of a retry, so that first attempts get permits before retries. */
const retryRankOffset = 1_000;
const urgencyPerWorkspaceRank = 3;
/** Bytes of a response that may go on after the route's timeout, and the time after its arrival until which a request may. */
const maxLateBytes = 67_108_864;
const maxLateMs = 120_000;
/** Refused permits after which a request is only sent to endpoints that need none. */
const maxPermitRefusals = 3;

/** A request that has been admitted and has no final response yet. */
export class RequestContext implements InFlightRequest {
  readonly history = AttemptHistory.create();
  /** Incarnations of endpoints that the request was sent to. */
  readonly excluded = new Set<string>();
  /** Monotonic time by which the request must have its final response. */
  readonly deadlineAt: number;
  /** Whether the request has its final response, or needs none any more. */
  isOver = false;
  /** The last placement; undefined if the request was sent nowhere. */
  placement: Placement | undefined;
  attempt: Attempt | undefined;
  /** Whether the current attempt has neither received a response head nor failed. */
  isAttemptPending = false;
  relay: StreamRelay | undefined;
  /** Body of the last response that is no stream; undefined before. */
  body: BodyReader | undefined;
  /** What an endpoint must be: of the version at which the stream has begun, or one at which it may begin; undefined for other requests. */
  origin: RequiredOrigin | undefined;
  /** Whether it has been recorded where the stream began. */
  isOriginRecorded = false;
  /** How the last response ended that was received; undefined before. */
  ended: EndedResponse | undefined;
  /** Parts of the prompt that were suspected when the current attempt was sent. */
  suspectedParts: readonly string[] = [];
  /** Those of them because of which it was isolated. */
  triedParts: readonly string[] = [];
  /** Monotonic time at which the current attempt was sent, and of its first event. */
  sentAt = -Infinity;
  firstEventAt: number | undefined;
  /** Reserved endpoint at which an isolated request runs; undefined if the request runs like others. */
  trial: Trial | undefined;
  /** Slot that the arbiter of the service has granted to the current attempt; undefined if it needs none. */
  slot: HeldSlot | undefined;
  /** Ends the wait for a slot; undefined while the request does not wait for one. */
  queueing: AbortController | undefined;
  firstEventMs: number | undefined;
  /** Ends the request after a failure of this instance itself. */
  fail: (error: unknown) => void = () => undefined;
  /** Ends the request now. */
  abort: () => void = () => undefined;
  permitRefusals = 0;
  /** Attempts that peers did not pass on. */
  notForwarded = 0;
  private isUsageCounted = false;
  private cachedSubject: CrashSubject | undefined;
  private cachedSharedParts: readonly string[] | undefined;

  private constructor(
    readonly parts: ActiveRequestParts,
    readonly request: ActiveRequestInput,
  ) {
    const { admitted, head, arrivedAt, origin } = request;
    this.origin = origin;
    this.deadlineAt = arrivedAt + getTimeLimit(admitted.route, head);
  }

  static create(parts: ActiveRequestParts, request: ActiveRequestInput): RequestContext {
    return new RequestContext(parts, request);
  }

  getTimeLeft(): number {
    return this.deadlineAt - this.parts.clock.getTime();
  }

  /**
   * Whether a response may go on after the route's timeout: its caller takes it more slowly than the endpoint sends it, and waits for it.
   * A body without end is not meant, so that the bytes and the time are bounded.
   */
  mayFinishLate(): boolean {
    const { body, deadlineAt, parts, request } = this;
    if (!body?.takeWaited() || body.receivedBytes > maxLateBytes) return false;
    const { deadlineMs = maxLateMs } = request.head;
    const latestAt = Math.max(deadlineAt, request.arrivedAt + Math.min(deadlineMs, maxLateMs));
    return parts.clock.getTime() < latestAt;
  }

  /** Name of the workspace; empty on public routes. */
  get workspace(): string {
    return this.request.admitted.workspace?.name ?? "";
  }

  /** Identifies all requests with this content, whatever their ids and the instances that serve them. */
  get subject(): CrashSubject {
    this.cachedSubject ??= this.createSubject();
    return this.cachedSubject;
  }

  private createSubject(): CrashSubject {
    const { message, body } = this.request;
    const { method = "", url: target = "/", headers } = message;
    return createSubject({ workspace: this.workspace, method, host: headers.host ?? "", target, body });
  }

  /** What the request may be suspected for. */
  get suspectSource(): SuspectSource {
    const { subject, sharedParts } = this;
    return { subject, service: this.request.service.name, sharedParts };
  }

  get sharedParts(): readonly string[] {
    this.cachedSharedParts ??= getSharedParts(this.request.head.parts);
    return this.cachedSharedParts;
  }

  /** Urgency of the request, 0 being the most urgent. */
  get rank(): number {
    const { workspace, route } = this.request.admitted;
    return (workspace?.priority ?? 0) * urgencyPerWorkspaceRank + route.priority;
  }

  /** The same for permits; retries rank behind all first attempts. */
  get permitRank(): number {
    return this.rank + (this.history.arrivals > 0 ? retryRankOffset : 0);
  }

  /** What placement uses of the request. */
  get placementRequest(): PlacementRequest {
    const { service, head } = this.request;
    const { promptTokens = 0, parts } = head;
    const { excluded, origin, permitRank: rank } = this;
    const avoidsLimited = this.permitRefusals >= maxPermitRefusals;
    return { service, promptTokens, parts, excluded, origin, rank, avoidsLimited };
  }

  /** Tokens of an engine's memory that the request may take. */
  get memoryTokens(): number {
    const { promptTokens = 0, outputTokens = 0 } = this.request.head;
    return promptTokens + outputTokens;
  }

  /** Attempts that may have run, finished ones and the current one. */
  get runs(): number {
    const isRunning = this.isAttemptPending && this.attempt?.mayHaveRun === true;
    return this.history.runs + (isRunning ? 1 : 0);
  }

  /** Whether an endpoint that accepts requests may serve this one; always true for a stream that has not begun. */
  isServable(): boolean {
    const { origin, parts, request } = this;
    if (!isBegun(origin)) return true;
    const endpoints = parts.directory.getOfService(request.service.name);
    return endpoints.some((endpoint) => endpoint.isUsable() && mayServe(origin, endpoint));
  }

  /** Whether the request may run on one more endpoint. */
  isRetryAllowed(): boolean {
    return this.isRepeatable() && this.history.runs < this.request.admitted.route.attempts && !this.isOver;
  }

  private isRepeatable(): boolean {
    const { kind, isResumable } = this.request.admitted.route;
    return kind === RouteKind.Safe || (kind === RouteKind.Stream && isResumable);
  }

  /** Whether the request may run on another endpoint after the current attempt. */
  mayRunAgain(): boolean {
    return this.isRepeatable() && this.history.runs + 1 < this.request.admitted.route.attempts;
  }

  /** Counts the run for the usage report, once for all attempts. `at` is the time of day at which it began. */
  countUsageOnce(at: number): void {
    const workspace = this.request.admitted.workspace?.name;
    if (this.isUsageCounted || workspace === undefined) return;
    this.isUsageCounted = true;
    this.parts.countRun(workspace, at);
  }

  createOutcome(status: number, failure: RequestOutcome["failure"]): RequestOutcome {
    const { placement, history, firstEventMs, runs, ended } = this;
    return { status, failure, placement, arrivals: history.arrivals, runs, firstEventMs, ended };
  }

  log(event: string, fields: Readonly<Record<string, string | number | boolean | undefined>>): void {
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
