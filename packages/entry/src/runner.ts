/**
 * Runs an accepted request to its end: places it, sends it, and after a failure resumes it, runs it again from what
 * was given, or tells the caller what is known.
 * @module
 */
import { type Clock, Failure, FailureCode, type Logger, Outcome } from "@gladewall/kernel";
import {
  decideRetry,
  DecisionRule,
  DecisionStage,
  type Placement,
  type PlacementRequest,
  type PrefixIndex,
  RepeatRule,
  type RetryBudget,
  RetryVerdict,
} from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import type { DecisionWriter } from "./decisions.js";
import type { Dispatcher, Placed } from "./dispatcher.js";
import type { EntrySettings } from "./entrySettings.js";
import { getWorkTokens } from "./envelope.js";
import type { Endpoint, Fleet } from "./fleet.js";
import type { EntryMetrics } from "./entryMetrics.js";
import { type ActiveRequest, StopReason } from "./requests.js";
import { type AnswerChunk, CancelWord, type Dispatch, type RunSink } from "./types.js";

/** What a runner works with. */
export interface RunnerParts {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly fleet: Fleet;
  readonly dispatcher: Dispatcher;
  readonly prefixes: PrefixIndex;
  readonly budget: RetryBudget;
  readonly decisions: DecisionWriter;
  readonly metrics: EntryMetrics;
}

/** State of one request's attempts. */
interface Attempts {
  count: number;
  readonly excluded: Set<string>;
  readonly avoidedHalls: Set<string>;
}

/** Runs requests. */
export class Runner {
  private constructor(private readonly parts: RunnerParts) {}

  static create(parts: RunnerParts): Runner {
    return new Runner(parts);
  }

  /** Runs a request; its log has ended when this resolves. */
  async run(request: ActiveRequest, rest: AsyncIterable<Uint8Array> | undefined): Promise<void> {
    const timer = this.parts.clock.startTimer(request.deadline - this.parts.clock.getTime(), () =>
      request.stop.abort(StopReason.DeadlinePassed),
    );
    const result = await this.runAttempts(request, rest);
    timer.cancel();
    if (result.isOk()) this.finish(request);
    else this.fail(request, result.error);
  }

  private async runAttempts(
    request: ActiveRequest,
    rest: AsyncIterable<Uint8Array> | undefined,
  ): Promise<Result<void, Failure>> {
    const attempts: Attempts = { count: 0, excluded: new Set(), avoidedHalls: new Set() };
    while (true) {
      const placed = await this.place(request, attempts);
      if (placed.isErr()) return Err(describeUnplaced(placed.error, request));
      attempts.count += 1;
      const endpoint = this.parts.fleet.get(placed.value.placement.endpoint.record.id);
      if (!endpoint) continue;
      const result = await this.runOnce(request, endpoint, placed.value.placement, attempts, rest);
      if (result.isOk()) return result;
      const next = this.decideNext(request, endpoint, attempts, result.error, rest !== undefined);
      if (next.isErr()) return next;
    }
  }

  private async place(request: ActiveRequest, attempts: Attempts): Promise<Result<Placed, Failure>> {
    const { envelope } = request;
    const tokens = envelope.model?.promptTokens ?? 0;
    const placement: PlacementRequest = {
      service: envelope.service,
      hall: this.parts.settings.entry.hall,
      tokens,
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

  private recordPlacement(request: ActiveRequest, placed: Placed, attempt: number): void {
    const { envelope } = request;
    const { placement, waited, ahead } = placed;
    const { decisions } = this.parts;
    if (waited >= 1) {
      const inputs = { wait: waited, ahead, service: envelope.service };
      decisions.add(envelope.id, DecisionStage.Queue, DecisionRule.QueuedBehind, inputs);
    } else {
      decisions.add(envelope.id, DecisionStage.Queue, DecisionRule.ServedAtOnce, {
        service: envelope.service,
      });
    }
    const { record } = placement.endpoint;
    const count = this.parts.fleet.getLoads(envelope.service).length;
    const inputs = { endpoint: record.id, hall: record.hall, attempt, count };
    decisions.add(
      envelope.id,
      DecisionStage.Placement,
      DecisionRule.PlacedByScore,
      inputs,
      placement.alternatives,
    );
  }

  private async runOnce(
    request: ActiveRequest,
    endpoint: Endpoint,
    placement: Placement,
    attempts: Attempts,
    rest: AsyncIterable<Uint8Array> | undefined,
  ): Promise<Result<void, Failure>> {
    const { clock, fleet } = this.parts;
    const { envelope } = request;
    const started = clock.getTime();
    const dispatch = createDispatch(request, attempts.count, rest);
    request.run = { runId: dispatch.runId, attempt: attempts.count, endpoint: endpoint.load.record.id };
    request.attemptStop = new AbortController();
    const sink = this.createSink(request, endpoint, placement, started);
    let result = await endpoint.client.run(dispatch, sink, getAttemptSignal(request));
    if (result.isErr() && this.mayResume(request, result.error))
      result = await this.resume(request, endpoint, sink);
    const tokens = (envelope.model?.promptTokens ?? 0) + request.log.end - dispatch.emitted;
    endpoint.load.addEnd(clock.getTime() - started, tokens, result.isOk());
    fleet.announceRoom(envelope.service);
    return result;
  }

  private createSink(
    request: ActiveRequest,
    endpoint: Endpoint,
    placement: Placement,
    started: number,
  ): RunSink {
    const { clock } = this.parts;
    const { load } = endpoint;
    const prefill = Math.max(0, (request.envelope.model?.promptTokens ?? 0) - placement.cachedTokens);
    let isFirst = true;
    return {
      setHead: (head) => request.log.setHead(head),
      add: (chunk) => {
        if (isFirst) {
          isFirst = false;
          request.firstAt ??= clock.getTime();
          load.addFirstToken(prefill, clock.getTime() - started);
        }
        if (chunk.usage) this.learnPrefix(request, endpoint, chunk);
        return request.log.add(chunk);
      },
    };
  }

  /** Learns from an answer which part of the prompt the endpoint held, and that it holds all of it now. */
  private learnPrefix(request: ActiveRequest, endpoint: Endpoint, chunk: AnswerChunk): void {
    const blocks = request.envelope.model?.blocks ?? [];
    const id = endpoint.load.record.id;
    this.parts.prefixes.add(blocks, id);
    const prompt = request.envelope.model?.promptTokens ?? 0;
    const cached = chunk.usage?.cachedTokens ?? 0;
    this.parts.metrics.promptTokens.add(prompt);
    this.parts.metrics.cachedTokens.add(Math.min(prompt, cached));
  }

  /** A stream that was cut is first asked for again by its run id: that repeats nothing. */
  private mayResume(request: ActiveRequest, failure: Failure): boolean {
    const isCut = failure.code === FailureCode.EndpointCut;
    return isCut && request.envelope.model !== undefined && !getAttemptSignal(request).aborted;
  }

  private async resume(
    request: ActiveRequest,
    endpoint: Endpoint,
    sink: RunSink,
  ): Promise<Result<void, Failure>> {
    const attempt = request.run?.attempt ?? 1;
    const dispatch = createDispatch(request, attempt, undefined);
    const result = await endpoint.client.resume(dispatch, sink, getAttemptSignal(request));
    if (result.isOk()) this.parts.metrics.resumes.add();
    // The first cut is what happened to the run; that it cannot be resumed is only the follow-up.
    return result.mapErr(() =>
      Failure.create(FailureCode.EndpointCut, { endpoint: endpoint.load.record.id }),
    );
  }

  /** Decides what follows a failed attempt: Ok to place it again, Err to tell the caller. */
  private decideNext(
    request: ActiveRequest,
    endpoint: Endpoint,
    attempts: Attempts,
    failure: Failure,
    hasRest: boolean,
  ): Result<void, Failure> {
    const { envelope, log } = request;
    const { record } = endpoint.load;
    if (request.stopReason !== undefined) return Err(this.describeStop(request, failure));
    const wasMoved = request.attemptStop.signal.aborted;
    if (!wasMoved) this.countFailure(endpoint, failure);
    const inputs = { attempt: attempts.count, endpoint: record.id };
    const decide = (): RetryVerdict => {
      if (attempts.count >= this.parts.settings.requests.attempts) return RetryVerdict.GiveUp;
      if (!canGoOn(request) || (hasRest && failure.outcome !== Outcome.NotRun)) return RetryVerdict.GiveUp;
      // A body that was partly read cannot be sent again.
      if (hasRest) return RetryVerdict.GiveUp;
      if (wasMoved && envelope.repeat === RepeatRule.Allowed) return RetryVerdict.Retry;
      const remaining = request.deadline - this.parts.clock.getTime();
      return decideRetry({ failure, repeat: envelope.repeat, remaining, budget: this.parts.budget });
    };
    if (decide() === RetryVerdict.GiveUp) {
      this.parts.decisions.addFailure(
        envelope.id,
        DecisionStage.Retry,
        DecisionRule.NotRetried,
        failure,
        inputs,
      );
      return Err(this.describeOutcome(request, failure));
    }
    attempts.excluded.add(record.id);
    attempts.avoidedHalls.add(record.hall);
    this.parts.metrics.retries.add();
    if (log.end > 0) {
      const rerun = { endpoint: record.id, emitted: log.end };
      this.parts.metrics.recomputedTokens.add((envelope.model?.promptTokens ?? 0) + log.end);
      this.parts.decisions.add(envelope.id, DecisionStage.Retry, DecisionRule.RerunFromEmitted, rerun);
    } else {
      this.parts.decisions.addFailure(
        envelope.id,
        DecisionStage.Retry,
        DecisionRule.RetriedElsewhere,
        failure,
        inputs,
      );
    }
    return Ok.EMPTY;
  }

  private countFailure(endpoint: Endpoint, failure: Failure): void {
    if (failure.code === FailureCode.BadRequest) return;
    const { backoff, backoff_highest: highest } = this.parts.settings.endpoints;
    endpoint.load.addFailure(backoff, highest);
    this.parts.metrics.endpointFailures.add();
    const { id } = endpoint.load.record;
    this.parts.logger.warn("endpoint.failed", { endpoint: id, failure: failure.name, text: failure.text });
  }

  /** The outcome that is true for the request as a whole, over all its attempts. */
  private describeOutcome(request: ActiveRequest, failure: Failure): Failure {
    if (request.log.end > 0 || request.log.head) return failure.withOutcome(Outcome.Ran);
    const hasOlderRun = (request.run?.attempt ?? 1) > 1;
    return hasOlderRun && failure.outcome === Outcome.NotRun ? failure.withOutcome(Outcome.Unknown) : failure;
  }

  private describeStop(request: ActiveRequest, failure: Failure): Failure {
    const code =
      request.stopReason === StopReason.CallerLeft ? FailureCode.CallerGone : FailureCode.DeadlinePassed;
    return Failure.create(code).withOutcome(this.describeOutcome(request, failure).outcome);
  }

  private finish(request: ActiveRequest): void {
    const { envelope, log } = request;
    const { clock, budget, decisions, logger, metrics } = this.parts;
    log.complete();
    budget.earn();
    const total = clock.getTime() - request.startedAt;
    const first = (request.firstAt ?? clock.getTime()) - request.startedAt;
    const output = envelope.model ? log.end : 0;
    metrics.countEnd(envelope, first, total, output);
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

  private fail(request: ActiveRequest, failure: Failure): void {
    const { envelope, log } = request;
    log.fail(failure);
    this.parts.metrics.countFailure(envelope, failure);
    const rule = failure.code === FailureCode.CallerGone ? DecisionRule.CallerLeft : DecisionRule.Failed;
    this.parts.decisions.addFailure(envelope.id, DecisionStage.Outcome, rule, failure);
    const { id, workspace, service } = envelope;
    this.parts.logger.warn("request.failed", {
      request: id,
      workspace,
      service,
      failure: failure.name,
      text: failure.text,
    });
    void this.cancelRun(request);
  }

  /** Tells the endpoint that a run is no longer wanted; returns its word. */
  private async cancelRun(request: ActiveRequest): Promise<CancelWord> {
    const { run } = request;
    const endpoint = run && this.parts.fleet.get(run.endpoint);
    if (!run || !endpoint) return CancelWord.Unknown;
    return endpoint.client.cancel(run.runId);
  }
}

function describeUnplaced(failure: Failure, request: ActiveRequest): Failure {
  if (request.run === undefined) return failure;
  return failure.withOutcome(request.log.end > 0 || request.log.head ? Outcome.Ran : Outcome.Unknown);
}

/** Whether an answer that has begun can be carried on by another run. */
function canGoOn(request: ActiveRequest): boolean {
  const { envelope, log } = request;
  if (log.end === 0 && !log.head) return true;
  return envelope.model?.isContinuable === true && log.isWhole;
}

function getAttemptSignal(request: ActiveRequest): AbortSignal {
  return AbortSignal.any([request.stop.signal, request.attemptStop.signal]);
}

function createDispatch(
  request: ActiveRequest,
  attempt: number,
  rest: AsyncIterable<Uint8Array> | undefined,
): Dispatch {
  const { envelope, log } = request;
  const emitted = envelope.model ? log.end : 0;
  const emittedText = emitted > 0 ? log.getText() : "";
  return { envelope, runId: `${envelope.id}.${attempt}`, attempt, emitted, emittedText, rest };
}
