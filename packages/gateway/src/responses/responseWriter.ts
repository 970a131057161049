/**
 * Writes final responses to callers: an endpoint's response in the framing that the endpoint gave it, or a problem document of the
 * gateway.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Failure } from "@gladewall/kernel";
import { BodyFraming, type EndpointResponse } from "./responseEnd.js";
import { copyResponseHeaders } from "./responseHeaders.js";

const statusNoContent = 204;

/** Head of a response to a caller. */
export interface CallerHead {
  /** Name, value, name, value, … */
  readonly headers: string[];
  /** Framing of the endpoint's response. */
  readonly framing: BodyFraming;
  /** Whether to send `Connection: close`. */
  readonly closes: boolean;
}

/**
 * Writes a head with an endpoint's status. The caller must not be told of a completeness that nobody knows, so that a body which
 * ended with the endpoint's connection ends with the caller's.
 */
export function writeResponseHead(
  response: ServerResponse,
  { statusCode = 0, statusMessage }: IncomingMessage,
  { headers, framing, closes }: CallerHead,
): void {
  const isUnframed = framing === BodyFraming.Connection;
  if (isUnframed) response.useChunkedEncodingByDefault = false;
  if (closes || isUnframed) headers.push("Connection", "close");
  response.writeHead(statusCode, statusMessage, headers);
}

/** Whether the head of a stream that was written says where its body ends; if not, the body ends with the connection. */
export function isFramed(response: ServerResponse): boolean {
  return response.chunkedEncoding;
}

/** Aborts a stream that has begun, so that it does not look complete to the caller. */
export function breakOffStream(response: ServerResponse): void {
  // Where the body ends with the connection, only a reset shows that it was cut.
  if (!isFramed(response)) response.socket?.resetAndDestroy();
  response.destroy();
}

/** Writes an endpoint's response whose body has been read completely. `closes`: send `Connection: close`. */
export function writeEndpointResponse(
  response: ServerResponse,
  { message, framing }: EndpointResponse,
  bytes: Buffer,
  closes: boolean,
): void {
  if (response.headersSent) {
    // A stream has already begun and can't be completed by another response.
    breakOffStream(response);
    return;
  }
  const headers = copyResponseHeaders(message.rawHeaders);
  const length = getLength(message, framing, bytes);
  if (length !== undefined) headers.push("Content-Length", length);
  writeResponseHead(response, message, { headers, framing, closes });
  response.end(bytes);
}

/**
 * Writes the head of an endpoint's response whose body follows in the framing that the endpoint gave it. Returns false if the caller has
 * begun to receive another response, which is broken off.
 */
export function beginEndpointResponse(
  response: ServerResponse,
  { message, framing }: EndpointResponse,
  closes: boolean,
): boolean {
  if (response.headersSent) {
    breakOffStream(response);
    return false;
  }
  const headers = copyResponseHeaders(message.rawHeaders);
  const length = message.headers["content-length"];
  if (framing === BodyFraming.Length && length !== undefined) headers.push("Content-Length", length);
  writeResponseHead(response, message, { headers, framing, closes });
  return true;
}

/** Returns the length to state; undefined if the response must not or can't state one. */
function getLength(
  { headers, statusCode }: IncomingMessage,
  framing: BodyFraming,
  bytes: Buffer,
): string | undefined {
  if (statusCode === statusNoContent) return undefined;
  if (framing === BodyFraming.None) return headers["content-length"];
  return framing === BodyFraming.Connection ? undefined : String(bytes.length);
}

const millisecondsPerSecond = 1_000;

/** Writes a failure as a problem document with its status and `Retry-After`. */
export function writeProblemResponse(
  response: ServerResponse,
  failure: Failure,
  ownHeaders: readonly string[],
  closes: boolean,
): void {
  const body = JSON.stringify({
    type: "about:blank",
    status: failure.status,
    code: failure.code,
    detail: failure.text,
  });
  const headers = [...ownHeaders, "Content-Type", "application/problem+json"];
  headers.push("Content-Length", String(Buffer.byteLength(body)));
  if (failure.retryAfterMs !== undefined) {
    headers.push("Retry-After", (failure.retryAfterMs / millisecondsPerSecond).toFixed(2));
  }
  if (closes) headers.push("Connection", "close");
  response.writeHead(failure.status, headers);
  response.end(body);
}
