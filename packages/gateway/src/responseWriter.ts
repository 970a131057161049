/**
 * Writes final answers to callers: an endpoint's whole answer, or one of our own.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Failure } from "@gladewall/kernel";
import { copyResponseHeaders } from "./responseHeaders.js";

/** Writes an endpoint's answer whose body has been read as a whole. */
export function writeEndpointResponse(
  response: ServerResponse,
  method: string | undefined,
  answer: IncomingMessage,
  bytes: Buffer,
  closes: boolean,
): void {
  if (response.headersSent) {
    // The stream that began can't be ended by an answer of another kind.
    response.destroy();
    return;
  }
  const headers = copyResponseHeaders(answer.rawHeaders);
  if (method === "HEAD") {
    const length = answer.headers["content-length"];
    if (length !== undefined) headers.push("Content-Length", length);
  } else {
    headers.push("Content-Length", String(bytes.length));
  }
  if (closes) headers.push("Connection", "close");
  response.writeHead(answer.statusCode ?? 0, answer.statusMessage, headers);
  response.end(bytes);
}

const millisecondsPerSecond = 1_000;

/** Writes an answer of our own: status, when to come back, and the failure as a problem document. */
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
