/**
 * A client of the gateway that recovers as callers are expected to: follows `303`, reconnects to a stream with
 * `Last-Event-ID`, retries a request with its idempotency key, and connects to another entry if one fails.
 * @module
 */
import { Outcome, outcomeNames } from "@gladewall/kernel";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import { Agent, type Dispatcher, request } from "undici";
import { type CallerRequest, CallerRequestKind, type CallerResult, ResultKind } from "./types.js";

/** Options of a caller. */
export interface CallerOptions {
  /** Returns the address of the entry for the next request, as a load balancer would choose it. */
  readonly chooseEntry: () => string;
  readonly key: string;
  /** Time after which a request without a final response is abandoned, milliseconds. */
  readonly timeoutMs: number;
  readonly modelService: string;
  readonly webService: string;
}

const retryPauseMs = 50;
const headersTimeoutMs = 20_000;
const retryStatuses: ReadonlySet<number> = new Set([404, 429, 503]);
const requestUnknownCode = 2008;
const millisecondsPerSecond = 1000;

interface Problem {
  readonly code: number;
  readonly outcome: Outcome;
  readonly retryAfterMs: number;
}

/** State of one request over all its reconnections and retries. */
interface CallState {
  readonly request: CallerRequest;
  readonly started: number;
  readonly requests: string[];
  readonly parts: string[];
  lastEventId: string | undefined;
  returns: number;
  /** Code of the last problem after which the caller reconnected or retried. */
  lastCode: number | undefined;
  firstMs: number | undefined;
}

/** Result of one exchange; undefined if the caller has to reconnect or retry. */
type ExchangeResult = Pick<CallerResult, "verdict" | "text" | "outcome" | "code"> | undefined;

const outcomesByName: ReadonlyMap<string, Outcome> = new Map([
  [outcomeNames[Outcome.NotRun], Outcome.NotRun],
  [outcomeNames[Outcome.Unknown], Outcome.Unknown],
  [outcomeNames[Outcome.Ran], Outcome.Ran],
]);

/** Makes requests and returns their results as a caller sees them. */
export class Caller {
  private readonly agent = new Agent({
    headersTimeout: headersTimeoutMs,
    bodyTimeout: headersTimeoutMs,
    keepAliveTimeout: 1_000,
  });

  private constructor(private readonly options: CallerOptions) {}

  static create(options: CallerOptions): Caller {
    return new Caller(options);
  }

  /** Makes one request and reconnects or retries until it has a final result or the timeout passes. */
  async makeRequest(callerRequest: CallerRequest): Promise<CallerResult> {
    const call: CallState = {
      request: callerRequest,
      started: performance.now(),
      requests: [],
      parts: [],
      lastEventId: undefined,
      returns: 0,
      lastCode: undefined,
      firstMs: undefined,
    };
    while (performance.now() - call.started < this.options.timeoutMs) {
      const step = await this.tryExchange(call);
      if (step) return this.createResult(call, step);
      call.returns += 1;
      await new Promise((resolve) => setTimeout(resolve, retryPauseMs));
    }
    return this.createResult(call, {
      verdict: ResultKind.TimedOut,
      text: call.parts.join(""),
      outcome: undefined,
      code: call.lastCode,
    });
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private createResult(call: CallState, step: NonNullable<ExchangeResult>): CallerResult {
    const { request: ask, requests, returns, firstMs } = call;
    return { ask, requests, returns, firstMs, ...step };
  }

  private async tryExchange(call: CallState): Promise<ExchangeResult> {
    try {
      const response = await this.send(call);
      call.firstMs ??= performance.now() - call.started;
      return await this.handle(call, response);
    } catch {
      // The entry failed or interrupted the response, so the caller reconnects.
      return undefined;
    }
  }

  /** Reconnects to a request whose id is known; otherwise sends it, or sends it again with its key. */
  private send(call: CallState): Promise<Dispatcher.ResponseData> {
    const id = call.requests[call.requests.length - 1];
    const origin = `http://${this.options.chooseEntry()}`;
    const authorization = `Bearer ${this.options.key}`;
    if (id !== undefined) {
      const headers: Record<string, string> = { authorization };
      if (call.request.kind === CallerRequestKind.Stream) headers["accept"] = "text/event-stream";
      if (call.lastEventId !== undefined) headers["last-event-id"] = call.lastEventId;
      return request(`${origin}/v1/requests/${id}`, { headers, dispatcher: this.agent });
    }
    return this.sendFirst(call.request, origin, { authorization });
  }

  private sendFirst(
    callerRequest: CallerRequest,
    origin: string,
    base: Record<string, string>,
  ): Promise<Dispatcher.ResponseData> {
    const headers: Record<string, string> = { ...base, "gladewall-class": callerRequest.requestClass };
    headers["content-type"] = "application/json";
    if (callerRequest.kind !== CallerRequestKind.Stream && callerRequest.kind !== CallerRequestKind.Page)
      headers["idempotency-key"] = callerRequest.mark;
    if (callerRequest.kind === CallerRequestKind.Draft) headers["gladewall-repeat"] = "never";
    const { agent: dispatcher } = this;
    const service = `${origin}/s/${this.options.webService}`;
    if (callerRequest.kind === CallerRequestKind.Page)
      return request(`${service}/pages/${callerRequest.mark}`, { headers, dispatcher });
    if (callerRequest.kind === CallerRequestKind.Booking) {
      return request(`${service}/bookings`, {
        method: "POST",
        headers,
        body: callerRequest.mark,
        dispatcher,
      });
    }
    const body = JSON.stringify({
      model: this.options.modelService,
      stream: callerRequest.kind === CallerRequestKind.Stream,
      max_tokens: callerRequest.outputTokens,
      messages: [{ role: "user", content: callerRequest.mark }],
    });
    return request(`${origin}/v1/chat/completions`, { method: "POST", headers, body, dispatcher });
  }

  private async handle(call: CallState, response: Dispatcher.ResponseData): Promise<ExchangeResult> {
    const id = response.headers["gladewall-request"];
    const { statusCode } = response;
    if (statusCode === 303 && typeof id === "string") {
      addRequest(call, id);
      await response.body.dump();
      return undefined;
    }
    if (statusCode >= 400) return this.handleProblem(call, response);
    if (typeof id === "string") addRequest(call, id);
    if (call.request.kind === CallerRequestKind.Stream) return this.readStream(call, response);
    const text = await response.body.text();
    return {
      verdict: ResultKind.Complete,
      text: getResponseText(call.request, text),
      outcome: undefined,
      code: undefined,
    };
  }

  private async handleProblem(call: CallState, response: Dispatcher.ResponseData): Promise<ExchangeResult> {
    const problem = parseProblem(await response.body.text(), response);
    if (!problem) return undefined;
    call.lastCode = problem.code;
    if (problem.code === requestUnknownCode) {
      // A request with a key is sent again. One without a key is read by its id again until the timeout passes.
      if (call.request.kind !== CallerRequestKind.Stream) call.requests.length = 0;
      return undefined;
    }
    const mayRetry = problem.outcome === Outcome.NotRun && retryStatuses.has(response.statusCode);
    if (mayRetry && problem.retryAfterMs > 0) {
      call.requests.length = 0;
      return undefined;
    }
    return { verdict: ResultKind.Problem, text: "", outcome: problem.outcome, code: problem.code };
  }

  private async readStream(call: CallState, response: Dispatcher.ResponseData): Promise<ExchangeResult> {
    let end: ExchangeResult;
    const parser = createParser({ onEvent: (event) => (end ??= handleEvent(call, event)) });
    const decoder = new TextDecoder();
    for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
      parser.feed(decoder.decode(bytes, { stream: true }));
    }
    return end;
  }
}

function addRequest(call: CallState, id: string): void {
  if (call.requests[call.requests.length - 1] !== id) call.requests.push(id);
}

function handleEvent(call: CallState, event: EventSourceMessage): ExchangeResult {
  if (event.data === "[DONE]") {
    return { verdict: ResultKind.Complete, text: call.parts.join(""), outcome: undefined, code: undefined };
  }
  if (event.event === "error") {
    const problem = JSON.parse(event.data) as { code: number; outcome: string };
    const outcome = outcomesByName.get(problem.outcome);
    return { verdict: ResultKind.Problem, text: call.parts.join(""), outcome, code: problem.code };
  }
  const chunk = JSON.parse(event.data) as { choices: readonly { delta: { content?: string } }[] };
  call.parts.push(chunk.choices[0]?.delta.content ?? "");
  call.lastEventId = event.id;
  return undefined;
}

function parseProblem(text: string, response: Dispatcher.ResponseData): Problem | undefined {
  try {
    const parsed = JSON.parse(text) as { code: number; outcome: string };
    const outcome = outcomesByName.get(parsed.outcome) ?? Outcome.Unknown;
    const retryAfterMs = Number(response.headers["retry-after"] ?? "0") * millisecondsPerSecond;
    return { code: parsed.code, outcome, retryAfterMs };
  } catch {
    return undefined;
  }
}

/** Returns the part of a response that identifies its request. */
function getResponseText(callerRequest: CallerRequest, text: string): string {
  const body = JSON.parse(text) as {
    body?: string;
    path?: string;
    choices?: readonly { message: { content: string } }[];
  };
  if (callerRequest.kind === CallerRequestKind.Booking) return body.body ?? "";
  if (callerRequest.kind === CallerRequestKind.Page) return body.path ?? "";
  return body.choices?.[0]?.message.content ?? "";
}
