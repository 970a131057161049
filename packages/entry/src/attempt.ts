/**
 * Makes one attempt at a request: sends it to an endpoint, receives the response, and resumes an interrupted stream by
 * its run id.
 * @module
 */
import { type Clock, Failure, FailureCode } from "@gladewall/kernel";
import type { Placement, PrefixIndex } from "@gladewall/policy";
import type { Result } from "ts-results-es";
import type { BackupWriter } from "./backupWriter.js";
import type { EntryMetrics } from "./entryMetrics.js";
import type { Endpoint, Fleet } from "./fleet.js";
import type { ActiveRequest } from "./requests.js";
import type { ResponseChunk, Dispatch, RunSink } from "./types.js";

/** Dependencies of an attempt runner. */
export interface AttemptParts {
  readonly entry: string;
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly prefixes: PrefixIndex;
  readonly metrics: EntryMetrics;
  readonly backups: BackupWriter;
}

/** One attempt: its endpoint, its number and what is sent with it. */
export interface AttemptOptions {
  readonly endpoint: Endpoint;
  readonly attempt: number;
  /** Prompt tokens that the endpoint has to process, as estimated at placement. */
  readonly prefillTokens: number;
  readonly cacheSource: string | undefined;
  readonly rest: AsyncIterable<Uint8Array> | undefined;
}

/** Makes attempts at requests. */
export class AttemptRunner {
  private constructor(private readonly parts: AttemptParts) {}

  static create(parts: AttemptParts): AttemptRunner {
    return new AttemptRunner(parts);
  }

  /** Returns the id of a run. It is unique per request, entry and attempt. */
  getRunId(request: ActiveRequest, attempt: number): string {
    return `${request.envelope.id}.${this.parts.entry}.${attempt}`;
  }

  /** Sends a request to an endpoint and receives the response up to its end marker. */
  async run(request: ActiveRequest, options: AttemptOptions): Promise<Result<void, Failure>> {
    const { endpoint, attempt, rest, cacheSource } = options;
    const runId = this.getRunId(request, attempt);
    request.run = { runId, attempt, endpoint: endpoint.load.record.id };
    request.attemptStop = new AbortController();
    this.parts.backups.reportProgress(request);
    const dispatch = createDispatch(request, runId, attempt, cacheSource, rest);
    const receiver = ResponseReceiver.create(request, options, this.parts);
    let result = await endpoint.client.run(dispatch, receiver.sink, getAttemptSignal(request));
    if (result.isErr() && canResume(request, result.error))
      result = await this.resume(request, endpoint, receiver.sink);
    receiver.end(dispatch.emitted, result.isOk());
    return result;
  }

  /** Attaches to the run that a request already has at an endpoint. This starts no run and computes nothing again. */
  async attach(request: ActiveRequest, endpoint: Endpoint): Promise<Result<void, Failure>> {
    const attempt = request.run?.attempt ?? 1;
    const options = { endpoint, attempt, prefillTokens: 0, cacheSource: undefined, rest: undefined };
    endpoint.load.recordDispatch(0);
    request.attemptStop = new AbortController();
    const receiver = ResponseReceiver.create(request, options, this.parts);
    const emitted = request.log.end;
    const result = await this.resumeOnce(request, endpoint, receiver.sink);
    receiver.end(emitted, result.isOk());
    if (result.isOk()) this.parts.metrics.resumes.add();
    return result;
  }

  private async resume(
    request: ActiveRequest,
    endpoint: Endpoint,
    sink: RunSink,
  ): Promise<Result<void, Failure>> {
    const result = await this.resumeOnce(request, endpoint, sink);
    if (result.isOk()) this.parts.metrics.resumes.add();
    // Reports the interruption, because it is the cause; the failure to resume is only its consequence.
    return result.mapErr(() =>
      Failure.create(FailureCode.EndpointCut, { endpoint: endpoint.load.record.id }),
    );
  }

  private resumeOnce(
    request: ActiveRequest,
    endpoint: Endpoint,
    sink: RunSink,
  ): Promise<Result<void, Failure>> {
    const { runId = "", attempt = 1 } = request.run ?? {};
    const dispatch = createDispatch(request, runId, attempt, undefined, undefined);
    return endpoint.client.resume(dispatch, sink, getAttemptSignal(request));
  }
}

/** Receives the response of one attempt and updates the load estimate and the prefix index from it. */
class ResponseReceiver {
  private isFirstChunk = true;
  private readonly startedAt: number;

  private constructor(
    private readonly request: ActiveRequest,
    private readonly options: AttemptOptions,
    private readonly parts: AttemptParts,
  ) {
    this.startedAt = parts.clock.getTime();
  }

  static create(request: ActiveRequest, options: AttemptOptions, parts: AttemptParts): ResponseReceiver {
    return new ResponseReceiver(request, options, parts);
  }

  readonly sink: RunSink = {
    setHead: (head) => this.request.log.setHead(head),
    setLoad: (report) => this.options.endpoint.load.applyReport(report),
    add: (chunk) => this.add(chunk),
  };

  /** Records the end of the attempt in the endpoint's load estimate. */
  end(emittedBefore: number, isComplete: boolean): void {
    const { endpoint, prefillTokens } = this.options;
    const { envelope, log } = this.request;
    if (this.isFirstChunk) endpoint.load.recordFirstToken(prefillTokens, 0);
    const tokens = (envelope.model?.promptTokens ?? 0) + log.end - emittedBefore;
    endpoint.load.recordEnd(this.parts.clock.getTime() - this.startedAt, tokens, isComplete);
    this.parts.fleet.notifyCapacity(envelope.service);
  }

  private add(chunk: ResponseChunk): Promise<void> {
    const now = this.parts.clock.getTime();
    if (this.isFirstChunk) {
      this.isFirstChunk = false;
      this.request.firstChunkAt ??= now;
      this.options.endpoint.load.recordFirstToken(this.options.prefillTokens, now - this.startedAt);
    }
    if (chunk.usage) this.recordUsage(chunk);
    const added = this.request.log.add(chunk);
    this.parts.backups.reportProgress(this.request);
    return added;
  }

  /** Records how much of the prompt the endpoint had cached. From now on it has the whole prompt cached. */
  private recordUsage(chunk: ResponseChunk): void {
    const { model } = this.request.envelope;
    const { metrics, prefixes } = this.parts;
    prefixes.add(model?.blocks ?? [], this.options.endpoint.load.record.id);
    const prompt = model?.promptTokens ?? 0;
    metrics.promptTokens.add(prompt);
    metrics.cachedTokens.add(Math.min(prompt, chunk.usage?.cachedTokens ?? 0));
  }
}

/** Returns the prompt tokens that the endpoint of a placement has to process because it has not cached them. */
export function getPrefillTokens(request: ActiveRequest, placement: Placement): number {
  return Math.max(0, (request.envelope.model?.promptTokens ?? 0) - placement.cachedTokens);
}

function canResume(request: ActiveRequest, failure: Failure): boolean {
  const isCut = failure.code === FailureCode.EndpointCut;
  return isCut && request.envelope.model !== undefined && !getAttemptSignal(request).aborted;
}

function getAttemptSignal(request: ActiveRequest): AbortSignal {
  return AbortSignal.any([request.stop.signal, request.attemptStop.signal]);
}

function createDispatch(
  request: ActiveRequest,
  runId: string,
  attempt: number,
  cacheSource: string | undefined,
  rest: AsyncIterable<Uint8Array> | undefined,
): Dispatch {
  const { envelope, log } = request;
  const emitted = envelope.model ? log.end : 0;
  const emittedText = emitted > 0 ? log.getText() : "";
  return { envelope, runId, attempt, emitted, emittedText, cacheSource, rest };
}
