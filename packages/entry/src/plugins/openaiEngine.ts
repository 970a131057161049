/**
 * Plug-in `openai-engine`: client of model engines with the OpenAI-compatible API, whose streams can be resumed and
 * cancelled by run id.
 * @module
 */
import { Failure, FailureCode, Outcome, PluginKind, registerPlugin, SystemClock } from "@gladewall/kernel";
import type { LoadReport } from "@gladewall/policy";
import { Err, type Result } from "ts-results-es";
import type { Pool } from "undici";
import {
  CancelOutcome,
  type Dispatch,
  type EndpointClient,
  type EndpointOptions,
  ModelForm,
  type RunSink,
} from "../types.js";
import {
  type AbortableRequest,
  CallEffect,
  callService,
  createEndpointPool,
  isNeverSent,
  parseJson,
  readBodyText,
  sendRequest,
} from "./httpCall.js";
import { FrameReader } from "./engineFrames.js";
import { readLoadHeader } from "./loadHeader.js";

const statusOk = 200;
const statusNotFound = 404;
const cancelTimeoutMs = 1_000;
/** The body of a refusal holds a message. */
const maxRefusalBytes = 16_384;
const startedHeader = "x-run-started";

/** Client of one model engine. */
class EngineClient implements EndpointClient {
  private readonly pool: Pool;

  private constructor(private readonly options: EndpointOptions) {
    const { connectTimeout, idleTimeout } = options;
    this.pool = createEndpointPool(options.record.address, connectTimeout, idleTimeout);
  }

  static create(options: EndpointOptions): EngineClient {
    return new EngineClient(options);
  }

  async run(dispatch: Dispatch, sink: RunSink, signal: AbortSignal): Promise<Result<void, Failure>> {
    const { envelope } = dispatch;
    const headers: Record<string, string> = {
      "content-type": "application/json",
      "x-run-id": dispatch.runId,
      "x-attempt": String(dispatch.attempt),
      "x-request-id": envelope.id,
      "x-priority": String(envelope.priority),
    };
    if (dispatch.cacheSource !== undefined) headers["x-kv-source"] = dispatch.cacheSource;
    const body = createEngineBody(dispatch);
    return this.stream({ method: "POST", path: envelope.path, headers, body, signal }, dispatch, sink);
  }

  async resume(dispatch: Dispatch, sink: RunSink, signal: AbortSignal): Promise<Result<void, Failure>> {
    const form = dispatch.envelope.model?.form === ModelForm.Text ? "text" : "chat";
    const path = `/v1/runs/${encodeURIComponent(dispatch.runId)}?after=${dispatch.emitted}&form=${form}`;
    return this.stream({ method: "GET", path, signal }, dispatch, sink);
  }

  async cancel(runId: string): Promise<CancelOutcome> {
    const path = `/v1/runs/${encodeURIComponent(runId)}`;
    const call = { method: "DELETE", path, effect: CallEffect.None, timeout: cancelTimeoutMs } as const;
    const response = await callService(this.pool, call);
    const reply = response.andThen((text) => parseJson<{ state: string }>(text));
    if (reply.isErr()) return CancelOutcome.Unknown;
    return cancelOutcomes[reply.value.state] ?? CancelOutcome.Unknown;
  }

  getCacheSource(runId: string): string {
    return `${this.options.record.address}/v1/runs/${encodeURIComponent(runId)}/kv`;
  }

  async readLoad(): Promise<Result<LoadReport, Failure>> {
    const timeout = this.options.connectTimeout;
    const response = await callService(this.pool, {
      method: "GET",
      path: "/load",
      effect: CallEffect.None,
      timeout,
    });
    return response.andThen((text) => parseJson<LoadReport>(text));
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async stream(
    request: AbortableRequest,
    dispatch: Dispatch,
    sink: RunSink,
  ): Promise<Result<void, Failure>> {
    const endpoint = this.options.record.id;
    try {
      const response = await sendRequest(this.pool, request);
      if (response.statusCode !== statusOk) {
        const isStarted = response.headers[startedHeader] !== "no";
        const body = await readBodyText(response.body, maxRefusalBytes);
        return Err(
          createStatusFailure(response.statusCode, isStarted, endpoint, request.method === "GET", body),
        );
      }
      const load = readLoadHeader(response.headers);
      if (load) sink.setLoad(load);
      const { idleTimeout } = this.options;
      const clock = SystemClock.create();
      const reader = FrameReader.create(dispatch, sink, { endpoint, idleTimeout, clock });
      return await reader.read(response.body as AsyncIterable<Uint8Array>);
    } catch (error) {
      if (request.method === "POST" && isNeverSent(error)) {
        return Err(Failure.create(FailureCode.EndpointUnreachable, { endpoint }));
      }
      return Err(Failure.create(FailureCode.EndpointCut, { endpoint }));
    }
  }
}

const cancelOutcomes: Readonly<Record<string, CancelOutcome>> = {
  "not-started": CancelOutcome.NotStarted,
  started: CancelOutcome.Started,
};

function createStatusFailure(
  status: number,
  isStarted: boolean,
  endpoint: string,
  isResume: boolean,
  body: string,
): Failure {
  if (isResume && status === statusNotFound)
    return Failure.create(FailureCode.EndpointRunUnknown, { endpoint });
  // The request certainly did not run only if the endpoint reports `x-run-started: no`.
  if (!isStarted) return Failure.create(FailureCode.EndpointRefused);
  if (status >= 400 && status < 500 && status !== 408 && status !== 429) {
    return Failure.create(FailureCode.BadRequest, { detail: getErrorMessage(body) }).withOutcome(Outcome.Ran);
  }
  return Failure.create(FailureCode.EndpointFailed, { endpoint, status });
}

function getErrorMessage(body: string): string {
  try {
    const parsed = JSON.parse(body) as { error?: { message?: string } };
    return parsed.error?.message ?? "the endpoint refused it";
  } catch {
    return "the endpoint refused it";
  }
}

/**
 * Returns the request body for an engine. The engine always streams its response; a run that continues an earlier
 * attempt gets the text so far and the remaining number of tokens.
 */
function createEngineBody(dispatch: Dispatch): string {
  const { envelope, emitted, emittedText } = dispatch;
  const body = JSON.parse(Buffer.from(envelope.body).toString("utf8")) as Record<string, unknown>;
  body["stream"] = true;
  body["stream_options"] = { include_usage: true };
  if (emitted === 0) return JSON.stringify(body);
  const outputTokens = envelope.model?.outputTokens ?? 0;
  const left = Math.max(0, outputTokens - emitted);
  if (body["max_completion_tokens"] !== undefined) body["max_completion_tokens"] = left;
  else body["max_tokens"] = left;
  if (envelope.model?.form === ModelForm.Chat) {
    body["messages"] = [...(body["messages"] as unknown[]), { role: "assistant", content: emittedText }];
    body["continue_final_message"] = true;
    body["add_generation_prompt"] = false;
  } else {
    body["prompt"] = `${String(body["prompt"])}${emittedText}`;
    body["emitted_tokens"] = emitted;
  }
  return JSON.stringify(body);
}

registerPlugin<EndpointOptions, EndpointClient>({
  kind: PluginKind.Endpoint,
  name: "openai-engine",
  create: (options) => EngineClient.create(options),
});
