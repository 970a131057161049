/**
 * Writes final responses to callers: an endpoint's complete response, or a problem document of the gateway.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Failure } from "@gladewall/kernel";
import { copyResponseHeaders } from "./responseHeaders.js";

/** Writes an endpoint's response whose body has been read completely. `closes`: send `Connection: close`. */
export function writeEndpointResponse(
  response: ServerResponse,
  method: string | undefined,
  endpointResponse: IncomingMessage,
  bytes: Buffer,
  closes: boolean,
): void {
  if (response.headersSent) {
    // A stream has already begun and can't be completed by another response.
    response.destroy();
    return;
  }
  const headers = copyResponseHeaders(endpointResponse.rawHeaders);
  if (method === "HEAD") {
    const length = endpointResponse.headers["content-length"];
    if (length !== undefined) headers.push("Content-Length", length);
  } else {
    headers.push("Content-Length", String(bytes.length));
  }
  if (closes) headers.push("Connection", "close");
  response.writeHead(endpointResponse.statusCode ?? 0, endpointResponse.statusMessage, headers);
  response.end(bytes);
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
