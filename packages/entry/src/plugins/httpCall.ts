/**
 * HTTP calls of the plug-ins, with a JSON body. A failed call is reported differently depending on whether it may have
 * taken effect at the server.
 * @module
 */
import { Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { type Dispatcher, errors, Pool } from "undici";

/** Whether a call changes something at the server, which decides the failure if its response is lost. */
export enum CallEffect {
  /** The call is idempotent, as a read is. */
  None = 1,
  /** The call writes. Once bytes were sent, a missing response leaves its effect unknown. */
  Change = 2,
}

/** An HTTP response with its body as text. */
export interface CallResponse {
  readonly status: number;
  readonly body: string;
  /** The `etag` header, if the response has one. */
  readonly tag: string | undefined;
}

/** Parameters of a call. `timeout` is in milliseconds. */
export interface ServiceCall {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly effect: CallEffect;
  readonly timeout: number;
  readonly signal?: AbortSignal;
}

const connectionsPerPool = 16;
const endpointKeepAliveMs = 60_000;

type ResponseBody = Dispatcher.ResponseData["body"];

/** An answer of the platform's store may hold the records of a whole fleet. */
const maxAnswerBytes = 33_554_432;

/** Creates a connection pool for a service of the platform at `host:port`. */
export function createPool(address: string, connectTimeout: number): Pool {
  return new Pool(`http://${address}`, {
    connections: connectionsPerPool,
    connect: { timeout: connectTimeout },
  });
}

/**
 * Creates a connection pool for an endpoint. Idle connections stay open for as long as the endpoint's `keep-alive`
 * header allows, or a minute without one, because opening a connection costs more than a request.
 */
export function createEndpointPool(address: string, connectTimeout: number, idleTimeout: number): Pool {
  return new Pool(`http://${address}`, {
    connect: { timeout: connectTimeout },
    headersTimeout: idleTimeout,
    bodyTimeout: idleTimeout,
    keepAliveTimeout: endpointKeepAliveMs,
  });
}

/** Returns whether an error of undici means that no byte of the request can have reached the server. */
export function isNeverSent(error: unknown): boolean {
  if (error instanceof errors.ConnectTimeoutError) return true;
  const code = (error as { code?: string }).code;
  return code === "ECONNREFUSED" || code === "EHOSTUNREACH" || code === "ENETUNREACH" || code === "ENOTFOUND";
}

/** Returns the message of an error, or its code if it has no message, for logs and details of failures. */
export function getErrorText(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = (error as { code?: string }).code;
  return error.message === "" ? (code ?? error.name) : error.message;
}

/**
 * Reads a body as text. Throws if it has more than `maxBytes`, and reads it no further: a body may come without end.
 */
export async function readBodyText(body: ResponseBody, maxBytes: number): Promise<string> {
  // The loop reports the errors; an `error` event without a listener would end the process.
  body.on("error", () => undefined);
  const parts: Uint8Array[] = [];
  let size = 0;
  for await (const part of body as AsyncIterable<Uint8Array>) {
    size += part.length;
    if (size > maxBytes) throw new Error(`the body has more than ${maxBytes} bytes`);
    parts.push(part);
  }
  return Buffer.concat(parts).toString("utf8");
}

/** Interim responses to one request; an endpoint that works for long sends some, one that fails may send them without end. */
const maxInterimResponses = 64;

/** A request that can be aborted. */
export type AbortableRequest = Dispatcher.RequestOptions & { readonly signal: AbortSignal };

/**
 * Sends a request. Aborts it after too many interim responses: each restarts the time within which the head has to arrive.
 */
export function sendRequest(pool: Pool, request: AbortableRequest): Promise<Dispatcher.ResponseData> {
  const excess = new AbortController();
  let interimResponses = 0;
  const onInfo = (): void => {
    interimResponses += 1;
    if (interimResponses > maxInterimResponses) excess.abort(new Error("too many interim responses"));
  };
  return pool.request({ ...request, onInfo, signal: AbortSignal.any([request.signal, excess.signal]) });
}

/** Makes a call. Fails with `ServiceAnswerLost` if a change may have taken effect, otherwise `ServiceUnavailable`. */
export async function callService(pool: Pool, call: ServiceCall): Promise<Result<CallResponse, Failure>> {
  const timeout = AbortSignal.timeout(call.timeout);
  const signal = call.signal ? AbortSignal.any([timeout, call.signal]) : timeout;
  try {
    const { method, path, headers = {} } = call;
    const response = await sendRequest(pool, { method, path, headers, body: call.body ?? null, signal });
    const tag = response.headers["etag"];
    return Ok({
      status: response.statusCode,
      body: await readBodyText(response.body, maxAnswerBytes),
      tag: typeof tag === "string" ? tag : undefined,
    });
  } catch (error) {
    const isLost = call.effect === CallEffect.Change && !isNeverSent(error);
    if (isLost) return Err(Failure.create(FailureCode.ServiceAnswerLost));
    return Err(Failure.create(FailureCode.ServiceUnavailable, { detail: getErrorText(error) }));
  }
}

/** Parses the JSON body of a response. Fails with `ServiceUnavailable`. */
export function parseJson<Shape>(response: CallResponse): Result<Shape, Failure> {
  try {
    return Ok(JSON.parse(response.body) as Shape);
  } catch {
    return Err(
      Failure.create(FailureCode.ServiceUnavailable, {
        detail: `unreadable answer, status ${response.status}`,
      }),
    );
  }
}
