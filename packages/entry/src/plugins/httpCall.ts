/**
 * One JSON call over HTTP for the platform's plug-ins, with failures told apart by whether the call can have taken
 * effect.
 * @module
 */
import { Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { errors, Pool } from "undici";

/** Whether a lost answer may hide an effect. */
export enum CallEffect {
  /** Reading: asking again does no harm. */
  None = 1,
  /** Writing: after the bytes are out the effect is not known. */
  Change = 2,
}

/** An HTTP answer read as text. */
export interface CallResponse {
  readonly status: number;
  readonly body: string;
  /** Entity tag, where the answer has one. */
  readonly tag: string | undefined;
}

/** One call. */
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

/** Creates a pool of connections to an address. */
export function createPool(address: string, connectTimeout: number): Pool {
  return new Pool(`http://${address}`, {
    connections: connectionsPerPool,
    connect: { timeout: connectTimeout },
  });
}

/**
 * Creates a pool of connections to an endpoint. Idle connections are kept for as long as the endpoint lets them: a new
 * one costs more than a request.
 */
export function createEndpointPool(address: string, connectTimeout: number, idleTimeout: number): Pool {
  return new Pool(`http://${address}`, {
    connect: { timeout: connectTimeout },
    headersTimeout: idleTimeout,
    bodyTimeout: idleTimeout,
    keepAliveTimeout: endpointKeepAliveMs,
  });
}

/** Tells whether an error of undici means that no byte of the request can have arrived. */
export function isNeverSent(error: unknown): boolean {
  if (error instanceof errors.ConnectTimeoutError) return true;
  const code = (error as { code?: string }).code;
  return code === "ECONNREFUSED" || code === "EHOSTUNREACH" || code === "ENETUNREACH" || code === "ENOTFOUND";
}

/** Returns an error's own words, for logs and details. */
export function getErrorText(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = (error as { code?: string }).code;
  return error.message === "" ? (code ?? error.name) : error.message;
}

/** Makes a call. Fails with `ServiceUnavailable`, or `ServiceAnswerLost` where a change may have taken effect. */
export async function callService(pool: Pool, call: ServiceCall): Promise<Result<CallResponse, Failure>> {
  const timeout = AbortSignal.timeout(call.timeout);
  const signal = call.signal ? AbortSignal.any([timeout, call.signal]) : timeout;
  try {
    const { method, path, headers = {} } = call;
    const response = await pool.request({ method, path, headers, body: call.body ?? null, signal });
    const tag = response.headers["etag"];
    return Ok({
      status: response.statusCode,
      body: await response.body.text(),
      tag: typeof tag === "string" ? tag : undefined,
    });
  } catch (error) {
    const isLost = call.effect === CallEffect.Change && !isNeverSent(error);
    if (isLost) return Err(Failure.create(FailureCode.ServiceAnswerLost));
    return Err(Failure.create(FailureCode.ServiceUnavailable, { detail: getErrorText(error) }));
  }
}

/** Parses JSON; fails with `ServiceUnavailable`. */
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
