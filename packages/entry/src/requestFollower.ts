/**
 * Ends a request with the response of another request that has the same idempotency key.
 * @module
 */
import { type Clock, Failure, FailureCode, Outcome, waitFor } from "@gladewall/kernel";
import { DecisionRule, DecisionStage } from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import type { DecisionWriter } from "./decisions.js";
import { createStopFailure } from "./afterFailure.js";
import type { ActiveRequest } from "./requests.js";
import type { ResponseFetcher } from "./responseFetcher.js";
import { ResponseState } from "./responseLog.js";

/** Why a request stopped following another request with the same idempotency key. */
enum FollowResult {
  Complete = 1,
  Failed = 2,
  /** The followed request no longer holds the beginning of its response. */
  NotHeld = 3,
  /** The followed request follows this one. */
  Cycle = 4,
  /** The followed request continues at another entry. */
  Moved = 5,
}

/** The other request: its id, and the digest of its body. */
export interface FollowedRequest {
  readonly id: string;
  readonly body: string;
}

/** Options of a follower. */
export interface RequestFollowerOptions {
  readonly clock: Clock;
  readonly decisions: DecisionWriter;
  readonly fetcher: ResponseFetcher;
  /** Milliseconds between two attempts to locate the other request. */
  readonly locatePauseMs: number;
}

/** Runs the request that follows after all. */
type RunOwn = () => Promise<Result<void, Failure>>;

/** Follows other requests. */
export class RequestFollower {
  private constructor(private readonly options: RequestFollowerOptions) {}

  static create(options: RequestFollowerOptions): RequestFollower {
    return new RequestFollower(options);
  }

  /** Copies the response of another request; `runOwn` runs this one if that one has not run. */
  async follow(
    request: ActiveRequest,
    { id: other, body }: FollowedRequest,
    runOwn: RunOwn,
  ): Promise<Result<void, Failure>> {
    const { id, bodyDigest } = request.envelope;
    if (body !== bodyDigest) return Err(Failure.create(FailureCode.KeyReusedWithOtherBody));
    this.options.decisions.add(id, DecisionStage.Claim, DecisionRule.Attached, { other });
    request.attachedTo = other;
    while (request.stopReason === undefined) {
      const found = await this.options.fetcher.fetch(other);
      if (found.isErr()) {
        const failure = Failure.create(FailureCode.AlreadyRun, { request: other });
        return Err(failure.withOutcome(Outcome.Unknown));
      }
      const end =
        found.value.attachedTo === id ? FollowResult.Cycle : await this.copyResponse(request, found.value);
      const result = this.finish(request, found.value, end, runOwn);
      if (result) return result;
      await waitFor(this.options.clock, this.options.locatePauseMs, request.stop.signal);
    }
    return Err(createStopFailure(request, Failure.create(FailureCode.AlreadyRun, { request: other })));
  }

  /** Returns the result that the followed request gives this one; undefined if the request must be located again. */
  private finish(
    request: ActiveRequest,
    source: ActiveRequest,
    end: FollowResult,
    runOwn: RunOwn,
  ): Promise<Result<void, Failure>> | Result<void, Failure> | undefined {
    const { failure } = source.log;
    const runUnattached = (): Promise<Result<void, Failure>> => {
      request.attachedTo = undefined;
      return runOwn();
    };
    const handlers: Readonly<Record<FollowResult, () => ReturnType<RequestFollower["finish"]>>> = {
      [FollowResult.Complete]: () => Ok.EMPTY,
      // The followed request was not run and has no response, so this request may run.
      [FollowResult.Failed]: () =>
        failure?.outcome === Outcome.NotRun
          ? runUnattached()
          : Err(failure ?? createAlreadyRunFailure(source)),
      [FollowResult.NotHeld]: () =>
        Err(Failure.create(FailureCode.AlreadyRun, { request: source.envelope.id })),
      // Entries with different membership views made the two requests follow each other. The one with the lower id
      // runs, and the other waits for it.
      [FollowResult.Cycle]: () => (request.envelope.id < source.envelope.id ? runUnattached() : undefined),
      [FollowResult.Moved]: () => undefined,
    };
    return handlers[end]();
  }

  /** Copies another request's response as it arrives, starting at the end of this request's own response. */
  private async copyResponse(request: ActiveRequest, source: ActiveRequest): Promise<FollowResult> {
    const { log } = source;
    if (!log.canFollow(request.log.end)) return FollowResult.NotHeld;
    for await (const chunk of log.follow(request.log.end, request.stop.signal)) {
      if (log.head) request.log.setHead(log.head);
      await request.log.add(chunk);
    }
    if (log.head) request.log.setHead(log.head);
    if (log.state === ResponseState.Complete) return FollowResult.Complete;
    return log.state === ResponseState.Moved ? FollowResult.Moved : FollowResult.Failed;
  }
}

function createAlreadyRunFailure(source: ActiveRequest): Failure {
  return Failure.create(FailureCode.AlreadyRun, { request: source.envelope.id }).withOutcome(Outcome.Unknown);
}
