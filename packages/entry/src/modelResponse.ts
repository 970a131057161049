/**
 * Writes a model's response to a caller: as server-sent events while it is generated, or as one JSON document once it
 * is complete. Event ids are `request:position`, so that a caller can reconnect and read the rest.
 * @module
 */
import type { ServerResponse } from "node:http";
import { Failure, FailureCode } from "@gladewall/kernel";
import { ResponseState } from "./responseLog.js";
import { waitForDrain } from "./drain.js";
import { formatProblem, sendMoved, sendProblem } from "./problem.js";
import type { ActiveRequest } from "./requests.js";
import { type ResponseChunk, ModelForm, type Usage } from "./types.js";

const millisecondsPerSecond = 1000;
/** Reconnection time sent to the caller of a stream that another entry continues. */
const movedRetryMs = 100;

/** Formats the responses of one model form. */
interface ResponseFormat {
  readonly chunkObjectName: string;
  readonly completeObjectName: string;
  formatChoice(text: string, finish: string | null): unknown;
  formatCompleteChoice(text: string, finish: string): unknown;
}

const responseFormats: Readonly<Record<ModelForm, ResponseFormat>> = {
  [ModelForm.Chat]: {
    chunkObjectName: "chat.completion.chunk",
    completeObjectName: "chat.completion",
    formatChoice: (content, finish) => ({ index: 0, delta: { content }, finish_reason: finish }),
    formatCompleteChoice: (content, finish) => ({
      index: 0,
      message: { role: "assistant", content },
      finish_reason: finish,
    }),
  },
  [ModelForm.Text]: {
    chunkObjectName: "text_completion",
    completeObjectName: "text_completion",
    formatChoice: (text, finish) => ({ index: 0, text, finish_reason: finish }),
    formatCompleteChoice: (text, finish) => ({ index: 0, text, finish_reason: finish }),
  },
};

/** How a response is delivered to a caller. */
export interface ResponseDelivery {
  readonly isStream: boolean;
  /** First token position to write; used for streams only. */
  readonly fromPosition: number;
}

/** Writes a response until it ends or until the signal aborts because the caller left. */
export async function writeModelResponse(
  response: ServerResponse,
  request: ActiveRequest,
  delivery: ResponseDelivery,
  signal: AbortSignal,
): Promise<void> {
  if (delivery.isStream) return writeStream(response, request, delivery.fromPosition, signal);
  const text: string[] = [];
  let finish = "stop";
  let usage: Usage | undefined;
  for await (const chunk of request.log.follow(0, signal)) {
    text.push(String(chunk.data));
    finish = chunk.finish ?? finish;
    usage = chunk.usage ?? usage;
  }
  if (signal.aborted) return;
  if (request.log.state === ResponseState.Moved) return sendMoved(response, request.envelope.id);
  const failure = getFailure(request);
  if (failure) return sendProblem(response, failure, request.envelope.id);
  const body = formatCompletion(request, text.join(""), finish, usage);
  response.writeHead(200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    "gladewall-request": request.envelope.id,
  });
  response.end(body);
}

async function writeStream(
  response: ServerResponse,
  request: ActiveRequest,
  from: number,
  signal: AbortSignal,
): Promise<void> {
  for await (const chunk of request.log.follow(from, signal)) {
    if (!response.headersSent) startStream(response, request.envelope.id);
    // Waits until the caller has read what was written. A slow reader delays only this task.
    if (!response.write(formatEvent(request, chunk))) await waitForDrain(response, signal);
  }
  if (signal.aborted) return;
  if (request.log.state === ResponseState.Moved) return endMovedStream(response, request.envelope.id);
  const failure = getFailure(request);
  if (failure && !response.headersSent) return sendProblem(response, failure, request.envelope.id);
  if (!response.headersSent) startStream(response, request.envelope.id);
  if (failure) {
    // Omits `[DONE]`, because an interrupted stream must not look complete.
    response.end(`event: error\ndata: ${formatProblem(failure, request.envelope.id)}\n\n`);
    return;
  }
  response.end("data: [DONE]\n\n");
}

/**
 * Ends a stream that another entry continues. Sends the reconnection time and omits `[DONE]`, so that the caller
 * reconnects with `Last-Event-ID`.
 */
function endMovedStream(response: ServerResponse, id: string): void {
  if (!response.headersSent) return sendMoved(response, id);
  response.end(`: goes on at /v1/requests/${id}\nretry: ${movedRetryMs}\n\n`);
}

function startStream(response: ServerResponse, id: string): void {
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
    "gladewall-request": id,
  });
}

function getFailure(request: ActiveRequest): Failure | undefined {
  const { log } = request;
  if (log.state === ResponseState.Complete) return undefined;
  return log.failure ?? Failure.create(FailureCode.Internal, { detail: "the answer has no end" });
}

function formatEvent(request: ActiveRequest, chunk: ResponseChunk): string {
  const { envelope } = request;
  const form = envelope.model?.form ?? ModelForm.Chat;
  const writer = responseFormats[form];
  const choices: unknown = chunk.choices
    ? JSON.parse(chunk.choices)
    : [writer.formatChoice(String(chunk.data), chunk.finish ?? null)];
  const usage = chunk.usage && envelope.model?.includesUsage ? formatUsage(chunk.usage) : undefined;
  const body = {
    id: envelope.id,
    object: writer.chunkObjectName,
    created: getCreated(request),
    model: envelope.service,
    choices,
    usage,
  };
  return `id: ${envelope.id}:${chunk.position}\ndata: ${JSON.stringify(body)}\n\n`;
}

function formatCompletion(
  request: ActiveRequest,
  text: string,
  finish: string,
  usage: Usage | undefined,
): string {
  const { envelope } = request;
  const writer = responseFormats[envelope.model?.form ?? ModelForm.Chat];
  return JSON.stringify({
    id: envelope.id,
    object: writer.completeObjectName,
    created: getCreated(request),
    model: envelope.service,
    choices: [formatMergedChoice(request, writer, text, finish)],
    usage: usage ? formatUsage(usage) : undefined,
  });
}

/** Creates the choice of a complete response. Tool calls and log probabilities are merged from the streamed chunks. */
function formatMergedChoice(
  request: ActiveRequest,
  writer: ResponseFormat,
  text: string,
  finish: string,
): unknown {
  const choice = writer.formatCompleteChoice(text, finish) as {
    message?: Record<string, unknown>;
    logprobs?: unknown;
  };
  const toolCalls: Record<string, unknown>[] = [];
  const probabilities: unknown[] = [];
  for (const chunk of request.log.getChunks()) {
    if (!chunk.choices) continue;
    const [part] = JSON.parse(chunk.choices) as StreamedChoice[];
    for (const call of part?.delta?.tool_calls ?? []) mergeToolCall(toolCalls, call);
    probabilities.push(...(part?.logprobs?.content ?? []));
  }
  if (choice.message && toolCalls.length > 0) choice.message["tool_calls"] = toolCalls;
  if (probabilities.length > 0) choice.logprobs = { content: probabilities };
  return choice;
}

interface ToolCallPart {
  readonly index: number;
  readonly id?: string;
  readonly type?: string;
  readonly function?: { readonly name?: string; readonly arguments?: string };
}

interface StreamedChoice {
  readonly delta?: { readonly tool_calls?: readonly ToolCallPart[] };
  readonly logprobs?: { readonly content?: readonly unknown[] };
}

function mergeToolCall(calls: Record<string, unknown>[], part: ToolCallPart): void {
  const present = (calls[part.index] ??= {
    id: part.id,
    type: part.type ?? "function",
    function: { name: "", arguments: "" },
  });
  const callee = present["function"] as { name: string; arguments: string };
  callee.name += part.function?.name ?? "";
  callee.arguments += part.function?.arguments ?? "";
}

function getCreated(request: ActiveRequest): number {
  return Math.floor(request.envelope.arrived / millisecondsPerSecond);
}

function formatUsage(usage: Usage): unknown {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.outputTokens,
    total_tokens: usage.promptTokens + usage.outputTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  };
}

/** Returns the position after the event that `Last-Event-ID` names, or undefined if it is no event of this request. */
export function parseEventId(eventId: string, request: string): number | undefined {
  const prefix = `${request}:`;
  const text = eventId.startsWith(prefix) ? eventId.slice(prefix.length) : eventId;
  return /^\d+$/.test(text) ? Number(text) + 1 : undefined;
}
