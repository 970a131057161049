/**
 * Runs an accepted request to its end: selects an endpoint, records a claim if the request may run only once, and
 * sends it. After a failed attempt it resumes the run, retries from the output that was already received, or fails the
 * request with the outcome that is known.
 * @module
 */
import type { Claim } from "@gladewall/coordination";
import { type Clock, Failure, FailureCode, type Logger, Outcome } from "@gladewall/kernel";
import {
  DecisionRule,
  DecisionStage,
  type PlacementRequest,
  RepeatRule,
  type RetryBudget,
  RetryDecision,
} from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import { decideAfterFailure, applyRequestOutcome, createStopFailure } from "./afterFailure.js";
import type { ResponseFetcher } from "./responseFetcher.js";
import { type AttemptRunner, getPrefillTokens } from "./attempt.js";
import type { BackupWriter } from "./backupWriter.js";
import { type ClaimGuard, type SendCheck, SendDecision } from "./claimGuard.js";
import type { DecisionWriter } from "./decisions.js";
import type { Dispatcher, QueuedPlacement } from "./dispatcher.js";
import type { EntryMetrics } from "./entryMetrics.js";
import type { EntrySettings } from "./entrySettings.js";
import { getWorkTokens } from "./envelope.js";
import type { Endpoint, Fleet } from "./fleet.js";
import { type FollowedRequest, RequestFollower } from "./requestFollower.js";
import { type ActiveRequest, StopReason } from "./requests.js";
import { CancelOutcome } from "./types.js";

/** Dependencies of a request runner. */
export interface RunnerParts {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly fleet: Fleet;
  readonly dispatcher: Dispatcher;
  readonly budget: RetryBudget;
  readonly decisions: DecisionWriter;
  readonly metrics: EntryMetrics;
  readonly attempts: AttemptRunner;
  readonly claimGuard: ClaimGuard;
  readonly backups: BackupWriter;
  readonly fetcher: ResponseFetcher;
}

/** How a request reached this entry. */
export interface RunOptions {
  /** Remainder of a body that is too large to be buffered; undefined if the envelope holds the whole body. */
  readonly rest: AsyncIterable<Uint8Array> | undefined;
  /** Whether this entry took the request over from another entry. */
  readonly isTakenOver: boolean;
  /** Whether this entry may start the request; false if its holder may have sent it without a claim. */
  readonly mayStart: boolean;
}

/** Options of a request that has just arrived from a caller. */
export const newRequestOptions: RunOptions = { rest: undefined, isTakenOver: false, mayStart: true };

/** What the attempts at one request have in common: their count and which endpoints the next one avoids. */
interface AttemptState {
  count: number;
  readonly excluded: Set<string>;
  readonly avoidedHalls: Set<string>;
  cacheSource: string | undefined;
}

/** Runs requests to their end. */
export class RequestRunner {
  private readonly follower: RequestFollower;

  private constructor(private readonly parts: RunnerParts) {
    const { clock, decisions, fetcher, settings } = parts;
    const locatePauseMs = settings.backups.locate_pause;
    this.follower = RequestFollower.create({ clock, decisions, fetcher, locatePauseMs });
  }

  static create(parts: RunnerParts): RequestRunner {
    return new RequestRunner(parts);
  }

  /** Runs a request. When this resolves, the request's response log has ended. */
  async run(request: ActiveRequest, options: RunOptions): Promise<void> {
    const { clock } = this.parts;
    const timer = clock.startTimer(request.deadline - clock.getTime(), () =>
      request.stop.abort(StopReason.DeadlinePassed),
    );
    const result = options.isTakenOver
      ? await this.continueTakenOver(request, options)
      : await this.runAttempts(request, options);
    timer.cancel();
    if (result.isOk()) this.finish(request);
    else if (request.stopReason === StopReason.HandedOver) request.log.markMoved();
    else await this.fail(request, result.error);
    this.parts.backups.finish(request);
  }

  /** Ends a request with the response of another request that has the same idempotency key. */
  async runAttached(request: ActiveRequest, other: string, otherBody: string): Promise<void> {
    const result = await this.followOther(request, { id: other, body: otherBody });
    if (result.isOk()) request.log.complete();
    else await this.fail(request, result.error);
    this.parts.backups.finish(request);
  }

  private async continueTakenOver(
    request: ActiveRequest,
    options: RunOptions,
  ): Promise<Result<void, Failure>> {
    const isNever = request.envelope.repeat === RepeatRule.Never;
    // The holder may have sent the request before it was lost, so "not run" can no longer be reported.
    request.mayHaveRun = request.run !== undefined || !options.mayStart;
    const attached = await this.tryAttach(request);
    if (attached?.isOk()) return attached;
    const failure = attached?.isErr() ? attached.error : Failure.create(FailureCode.ClaimUnavailable);
    if (request.stopReason !== undefined) return Err(createStopFailure(request, failure));
    const mayRunElsewhere = !isNever || (request.run === undefined && options.mayStart);
    if (!mayRunElsewhere) return Err(applyRequestOutcome(request, failure.withOutcome(Outcome.Unknown)));
    return this.runAttempts(request, options);
  }

  /** Attaches to the lost holder's run, if that run is known and the endpoint supports it; otherwise undefined. */
  private async tryAttach(request: ActiveRequest): Promise<Result<void, Failure> | undefined> {
    const { run } = request;
    const endpoint = run && this.parts.fleet.get(run.endpoint);
    if (!endpoint || !request.envelope.model) return undefined;
    const result = await this.parts.attempts.attach(request, endpoint);
    if (result.isErr()) this.parts.metrics.countLostTokens(request, endpoint.load.record.id);
    return result;
  }

  private async runAttempts(request: ActiveRequest, options: RunOptions): Promise<Result<void, Failure>> {
    const count = request.run?.attempt ?? 0;
    const attempts: AttemptState = {
      count,
      excluded: new Set(),
      avoidedHalls: new Set(),
      cacheSource: undefined,
    };
    while (true) {
      const placed = await this.place(request, attempts);
      if (placed.isErr()) return Err(this.createPlacementFailure(request, placed.error));
      attempts.count += 1;
      const { placement } = placed.value;
      const prefillTokens = getPrefillTokens(request, placement);
      const endpoint = this.parts.fleet.get(placement.endpoint.record.id);
      if (!endpoint) continue;
      const runId = this.parts.attempts.getRunId(request, attempts.count);
      const claimCheck = await this.parts.claimGuard.ensureClaim(
        request,
        placement.endpoint.record.id,
        runId,
        options.isTakenOver,
      );
      if (claimCheck.isErr() || claimCheck.value.decision === SendDecision.Lost) {
        placement.endpoint.cancelDispatch(prefillTokens);
        return this.handleUnclaimed(request, claimCheck);
      }
      if (request.stopReason !== undefined) {
        placement.endpoint.cancelDispatch(prefillTokens);
        return Err(createStopFailure(request, Failure.create(FailureCode.EndpointRefused)));
      }
      const { cacheSource } = attempts;
      const attempt = { endpoint, attempt: attempts.count, prefillTokens, cacheSource, rest: options.rest };
      const result = await this.parts.attempts.run(request, attempt);
      if (result.isOk()) return result;
      const retry = this.handleAttemptFailure(request, endpoint, attempts, result.error, options);
      if (retry.isErr()) return retry;
    }
  }

  private async handleUnclaimed(
    request: ActiveRequest,
    claimCheck: Result<SendCheck, Failure>,
  ): Promise<Result<void, Failure>> {
    if (claimCheck.isErr()) return Err(applyRequestOutcome(request, claimCheck.error));
    const { currentClaim } = claimCheck.value;
    if (!currentClaim) return Err(Failure.create(FailureCode.ClaimUnavailable));
    if (currentClaim.request !== request.envelope.id)
      return this.followOther(request, { id: currentClaim.request, body: currentClaim.body });
    return this.attachToClaim(request, currentClaim);
  }

  /**
   * Handles a request that another entry has claimed under the same request id: its backup, or the holder that this
   * entry took it over from. Attaches to that entry's run, because starting another would run the request twice.
   */
  private async attachToClaim(request: ActiveRequest, currentClaim: Claim): Promise<Result<void, Failure>> {
    request.mayHaveRun = true;
    const endpoint = this.parts.fleet.get(currentClaim.endpoint);
    const canAttach = endpoint && request.envelope.model !== undefined;
    if (canAttach) {
      request.run = {
        runId: currentClaim.run,
        attempt: getAttemptNumber(currentClaim.run),
        endpoint: currentClaim.endpoint,
      };
      const attached = await this.parts.attempts.attach(request, endpoint);
      if (attached.isOk()) return attached;
    }
    const failure = Failure.create(FailureCode.EndpointRunUnknown, { endpoint: currentClaim.endpoint });
    return Err(applyRequestOutcome(request, failure.withOutcome(Outcome.Unknown)));
  }

  private followOther(request: ActiveRequest, other: FollowedRequest): Promise<Result<void, Failure>> {
    return this.follower.follow(request, other, () => this.runAttempts(request, newRequestOptions));
  }

  private async place(
    request: ActiveRequest,
    attempts: AttemptState,
  ): Promise<Result<QueuedPlacement, Failure>> {
    const { envelope } = request;
    const placement: PlacementRequest = {
      service: envelope.service,
      hall: this.parts.settings.entry.hall,
      tokens: envelope.model?.promptTokens ?? 0,
      blocks: envelope.model?.blocks ?? [],
      priority: envelope.priority,
      excluded: attempts.excluded,
      avoidedHalls: attempts.avoidedHalls,
    };
    const { weight, priority } = envelope;
    const item = { flow: envelope.workspace, weight, priority, cost: getWorkTokens(envelope) };
    const remaining = request.deadline - this.parts.clock.getTime();
    const placed = await this.parts.dispatcher.place(placement, item, remaining, request.stop.signal);
    if (placed.isOk()) this.recordPlacement(request, placed.value, attempts.count + 1);
    return placed;
  }

  private recordPlacement(request: ActiveRequest, placed: QueuedPlacement, attempt: number): void {
    const { id, service } = request.envelope;
    const { placement, waitMs, ahead } = placed;
    const { decisions, fleet } = this.parts;
    const hasWaited = ahead > 0;
    const rule = hasWaited ? DecisionRule.QueuedBehind : DecisionRule.ServedAtOnce;
    decisions.add(id, DecisionStage.Queue, rule, { wait: waitMs, ahead, service });
    const { record } = placement.endpoint;
    const inputs = { endpoint: record.id, hall: record.hall, attempt, count: fleet.getLoads(service).length };
    decisions.add(id, DecisionStage.Placement, DecisionRule.PlacedByScore, inputs, placement.alternatives);
  }

  /** Decides what follows a failed attempt: Ok if the request is placed again, Err with the failure for the caller. */
  private handleAttemptFailure(
    request: ActiveRequest,
    endpoint: Endpoint,
    attempts: AttemptState,
    failure: Failure,
    options: RunOptions,
  ): Result<void, Failure> {
    const { envelope } = request;
    const { record } = endpoint.load;
    if (failure.outcome !== Outcome.NotRun) request.mayHaveRun = true;
    if (request.stopReason !== undefined) return Err(createStopFailure(request, failure));
    const wasMoved = request.attemptStop.signal.aborted;
    if (!wasMoved) this.recordEndpointFailure(endpoint, failure);
    const decision = decideAfterFailure({
      request,
      failure,
      attempts: attempts.count,
      maxAttempts: this.parts.settings.requests.attempts,
      remainingMs: request.deadline - this.parts.clock.getTime(),
      budget: this.parts.budget,
      isStreamedBody: options.rest !== undefined,
    });
    const inputs = { attempt: attempts.count, endpoint: record.id };
    if (decision === RetryDecision.GiveUp) {
      this.parts.decisions.addFailure(
        envelope.id,
        DecisionStage.Retry,
        DecisionRule.NotRetried,
        failure,
        inputs,
      );
      return Err(applyRequestOutcome(request, failure));
    }
    attempts.excluded.add(record.id);
    attempts.avoidedHalls.add(record.hall);
    attempts.cacheSource =
      wasMoved && request.run ? endpoint.client.getCacheSource(request.run.runId) : undefined;
    if (wasMoved && request.run) void endpoint.client.cancel(request.run.runId);
    this.parts.metrics.retries.add();
    this.recordRetry(request, record.id, failure, inputs, attempts.cacheSource !== undefined);
    return Ok.EMPTY;
  }

  private recordRetry(
    request: ActiveRequest,
    endpoint: string,
    failure: Failure,
    inputs: Readonly<Record<string, string | number>>,
    hasCache: boolean,
  ): void {
    const { decisions, metrics } = this.parts;
    const { id } = request.envelope;
    if (!hasCache) metrics.countLostTokens(request, endpoint);
    if (request.log.count > 0) {
      const rerun = { endpoint, emitted: request.log.end };
      decisions.add(id, DecisionStage.Retry, DecisionRule.RerunFromEmitted, rerun);
    } else {
      decisions.addFailure(id, DecisionStage.Retry, DecisionRule.RetriedElsewhere, failure, inputs);
    }
  }

  private recordEndpointFailure(endpoint: Endpoint, failure: Failure): void {
    if (failure.code === FailureCode.BadRequest) return;
    const { backoff, backoff_highest: highest } = this.parts.settings.endpoints;
    endpoint.load.recordFailure(backoff, highest);
    this.parts.metrics.endpointFailures.add();
    const { id } = endpoint.load.record;
    this.parts.logger.warn("endpoint.failed", { endpoint: id, failure: failure.name, text: failure.text });
  }

  private createPlacementFailure(request: ActiveRequest, failure: Failure): Failure {
    if (request.stopReason !== undefined) return createStopFailure(request, failure);
    return applyRequestOutcome(request, failure);
  }

  private finish(request: ActiveRequest): void {
    const { envelope, log } = request;
    const { clock, budget, decisions, logger, metrics } = this.parts;
    log.complete();
    budget.deposit();
    const total = clock.getTime() - request.startedAt;
    const first = (request.firstChunkAt ?? clock.getTime()) - request.startedAt;
    const output = envelope.model ? log.end : 0;
    metrics.countCompletion(envelope, first, total, output);
    decisions.add(envelope.id, DecisionStage.Outcome, DecisionRule.Finished, { total, first, output });
    const { id, workspace, service, class: requestClass } = envelope;
    logger.info("request.finished", {
      request: id,
      workspace,
      service,
      class: requestClass,
      totalMs: Math.round(total),
    });
  }

  private async fail(request: ActiveRequest, failure: Failure): Promise<void> {
    const { envelope, log } = request;
    const final = await this.cancelRun(request, failure);
    if (final.outcome === Outcome.NotRun) await this.parts.claimGuard.release(request);
    log.fail(final);
    this.parts.metrics.countFailure(envelope, final);
    const rule = final.code === FailureCode.CallerGone ? DecisionRule.CallerLeft : DecisionRule.Failed;
    this.parts.decisions.addFailure(envelope.id, DecisionStage.Outcome, rule, final);
    const { id, workspace, service } = envelope;
    this.parts.logger.warn("request.failed", {
      request: id,
      workspace,
      service,
      failure: final.name,
      text: final.text,
    });
  }

  /**
   * Cancels the run of a request that was stopped. The outcome becomes "not run" only if the endpoint reports that the
   * run never started; every other reply leaves the outcome as it was.
   */
  private async cancelRun(request: ActiveRequest, failure: Failure): Promise<Failure> {
    const { run } = request;
    const endpoint = run && this.parts.fleet.get(run.endpoint);
    const isStopped = request.stopReason !== undefined;
    if (!endpoint || !isStopped || failure.outcome === Outcome.NotRun) return failure;
    const cancelOutcome = await endpoint.client.cancel(run.runId);
    const isNotRun =
      cancelOutcome === CancelOutcome.NotStarted && run.attempt === 1 && request.log.count === 0;
    return isNotRun ? failure.withOutcome(Outcome.NotRun) : failure;
  }
}

function getAttemptNumber(run: string): number {
  return Number(run.slice(run.lastIndexOf(".") + 1));
}
