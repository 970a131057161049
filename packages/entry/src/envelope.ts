/**
 * Parses a caller's request into an envelope: the service, the class and the model parameters, and whether the request
 * may be retried after a failure.
 * @module
 */
import { createHash, randomBytes } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { ServiceKind } from "@gladewall/coordination";
import { Failure, FailureCode } from "@gladewall/kernel";
import {
  estimateTokens,
  getServiceRepeatRule,
  hashPromptBlocks,
  RepeatRule,
  type ServiceRecord,
  type PolicyRow,
} from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import { type Envelope, type Header, ModelForm, type ModelRequest } from "./types.js";

const requestIdBytes = 15;
const maxKeyLength = 255;
const defaultOutputTokens = 256;
const webWorkTokens = 1;
const classPattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;

/**
 * Returns a new request id: the name of the entry that accepts it, a dot and random characters that can't be guessed.
 */
export function createRequestId(entry: string): string {
  return `${entry}.${randomBytes(requestIdBytes).toString("base64url")}`;
}

/** Returns the name of the entry that accepted a request, which is the part of its id before the last dot. */
export function getEntryOfRequest(id: string): string {
  return id.slice(0, id.lastIndexOf("."));
}

/** Directives in a caller's request headers: class, idempotency key, and whether the request must not be retried. */
export interface RequestDirectives {
  readonly class: string;
  /** Value of `Idempotency-Key`; undefined without the header. */
  readonly key: string | undefined;
  /** Whether `Gladewall-Repeat` is `never`. */
  readonly forbidsRepeat: boolean;
}

/** Reads the directives from a request's headers. Fails with `BadRequest`. */
export function readDirectives(
  request: IncomingMessage,
  defaultClass: string,
): Result<RequestDirectives, Failure> {
  const requestClass = getHeader(request, "gladewall-class") ?? defaultClass;
  const key = getHeader(request, "idempotency-key");
  const repeat = getHeader(request, "gladewall-repeat");
  if (!classPattern.test(requestClass)) return refuse("Gladewall-Class is not a class name");
  if (key !== undefined && (key.length === 0 || key.length > maxKeyLength)) {
    return refuse(`Idempotency-Key must have 1 to ${maxKeyLength} characters`);
  }
  if (repeat !== undefined && repeat !== "never" && repeat !== "allowed") {
    return refuse("Gladewall-Repeat is neither never nor allowed");
  }
  return Ok({ class: requestClass, key, forbidsRepeat: repeat === "never" });
}

function getHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === "string" ? value : undefined;
}

function refuse<T>(detail: string): Result<T, Failure> {
  return Err(Failure.create(FailureCode.BadRequest, { detail }));
}

interface ModelRequestBody {
  readonly model?: unknown;
  readonly messages?: unknown;
  readonly prompt?: unknown;
  readonly stream?: unknown;
  readonly stream_options?: { readonly include_usage?: unknown };
  readonly max_tokens?: unknown;
  readonly max_completion_tokens?: unknown;
  readonly n?: unknown;
  readonly tools?: unknown;
  readonly logprobs?: unknown;
  readonly response_format?: unknown;
}

/** Service and parameters of a model request. */
export interface ParsedModelRequest {
  readonly service: string;
  readonly model: ModelRequest;
}

/** Parses the body of a model request. Fails with `BadRequest`. */
export function parseModelRequest(body: Uint8Array, form: ModelForm): Result<ParsedModelRequest, Failure> {
  const parsed = tryParseBody(body);
  if (!parsed) return refuse("the body is not a JSON object");
  if (typeof parsed.model !== "string") return refuse("model must be the name of a service");
  const prompt = form === ModelForm.Chat ? getChatPrompt(parsed.messages) : getTextPrompt(parsed.prompt);
  if (prompt === undefined)
    return refuse(form === ModelForm.Chat ? "messages must be a list of messages" : "prompt must be text");
  const outputTokens = parsed.max_completion_tokens ?? parsed.max_tokens ?? defaultOutputTokens;
  if (typeof outputTokens !== "number" || !Number.isInteger(outputTokens) || outputTokens < 1) {
    return refuse("max_tokens must be a whole number of at least 1");
  }
  if (parsed.stream !== undefined && typeof parsed.stream !== "boolean")
    return refuse("stream must be true or false");
  const choices = parsed.n ?? 1;
  if (choices !== 1)
    return refuse("n must be 1: an answer of several choices cannot be carried over a reclaim");
  const model: ModelRequest = {
    form,
    isStream: parsed.stream === true,
    includesUsage: parsed.stream_options?.include_usage === true,
    promptTokens: estimateTokens(prompt),
    outputTokens,
    isContinuable: !parsed.tools && !parsed.logprobs && !parsed.response_format,
    blocks: hashPromptBlocks(`${parsed.model}\n${prompt}`),
  };
  return Ok({ service: parsed.model, model });
}

function tryParseBody(body: Uint8Array): ModelRequestBody | undefined {
  try {
    const parsed: unknown = JSON.parse(Buffer.from(body).toString("utf8"));
    return typeof parsed === "object" && parsed !== null && !Array.isArray(parsed) ? parsed : undefined;
  } catch {
    return undefined;
  }
}

function getChatPrompt(messages: unknown): string | undefined {
  if (!Array.isArray(messages) || messages.length === 0) return undefined;
  const parts: string[] = [];
  for (const message of messages as unknown[]) {
    if (typeof message !== "object" || message === null) return undefined;
    const { role, content } = message as { role?: unknown; content?: unknown };
    if (typeof role !== "string") return undefined;
    parts.push(`${role}: ${typeof content === "string" ? content : JSON.stringify(content ?? "")}`);
  }
  return parts.join("\n");
}

function getTextPrompt(prompt: unknown): string | undefined {
  return typeof prompt === "string" ? prompt : undefined;
}

/** Values that an envelope is created from. */
export interface EnvelopeInput {
  readonly id: string;
  readonly workspace: string;
  readonly service: ServiceRecord;
  readonly directives: RequestDirectives;
  readonly row: PolicyRow;
  readonly rowName: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly model: ModelRequest | undefined;
  readonly arrived: number;
}

/** Creates an envelope. The request may be retried only if the caller, the policy row and the service all allow it. */
export function createEnvelope(input: EnvelopeInput): Envelope {
  const { directives, row, service } = input;
  const forbidsRepeat =
    directives.forbidsRepeat ||
    row.repeat === RepeatRule.Never ||
    getServiceRepeatRule(service, input.method, input.path) === RepeatRule.Never;
  return {
    id: input.id,
    workspace: input.workspace,
    service: service.name,
    kind: service.kind,
    class: directives.class,
    method: input.method,
    path: input.path,
    headers: input.headers,
    body: input.body,
    repeat: forbidsRepeat ? RepeatRule.Never : RepeatRule.Allowed,
    keyDigest: getKeyDigest(input.workspace, directives),
    bodyDigest: getDigest(service.name, input.method, input.path, input.body),
    priority: row.priority,
    weight: row.weight,
    latencyTarget: row.latencyTarget,
    row: input.rowName,
    model: input.model,
    arrived: input.arrived,
  };
}

/** Returns the digest of a workspace and its idempotency key, or undefined without a key. */
export function getKeyDigest(workspace: string, directives: RequestDirectives): string | undefined {
  return directives.key === undefined ? undefined : getDigest(workspace, directives.key);
}

function getDigest(...parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) {
    // Each part is preceded by its length, so that two different lists of parts never give the same input.
    hash.update(`${part.length}:`);
    hash.update(part);
  }
  return hash.digest("hex");
}

/** Returns the number of tokens that a request is charged with: prompt and output of a model request, otherwise one. */
export function getWorkTokens(envelope: Envelope): number {
  if (!envelope.model) return webWorkTokens;
  return envelope.model.promptTokens + envelope.model.outputTokens;
}

/** Returns whether a service serves models. */
export function isModelService(service: ServiceRecord): boolean {
  return service.kind === ServiceKind.Model;
}
