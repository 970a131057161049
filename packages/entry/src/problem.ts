/**
 * Writes failures to callers as `application/problem+json` (RFC 9457) with the failure's code and outcome. The `error`
 * member has the shape that OpenAI clients expect.
 * @module
 */
import type { ServerResponse } from "node:http";
import { type Failure, outcomeNames } from "@gladewall/kernel";

const millisecondsPerSecond = 1000;
const statusClientClosedRequest = 499;

/** Returns the JSON body of a failure. */
export function formatProblem(failure: Failure, requestId: string): string {
  const outcome = outcomeNames[failure.outcome];
  return JSON.stringify({
    type: `urn:gladewall:failure:${failure.code}`,
    title: failure.name,
    status: failure.status,
    detail: failure.text,
    code: failure.code,
    outcome,
    request: requestId,
    error: { message: failure.text, type: failure.name, code: String(failure.code), param: undefined },
  });
}

/** Returns the seconds for `Retry-After`, at least 1, or undefined if a retry does not help. */
export function getRetryAfter(failure: Failure): number | undefined {
  if (failure.retryAfterMs === undefined) return undefined;
  return Math.max(1, Math.ceil(failure.retryAfterMs / millisecondsPerSecond));
}

/** Sends a failure. Does nothing if the response's head is sent or its connection closed. */
export function sendProblem(response: ServerResponse, failure: Failure, requestId: string): void {
  if (response.headersSent || response.destroyed) return;
  if (failure.status === statusClientClosedRequest) return void response.destroy();
  const body = formatProblem(failure, requestId);
  response.setHeader("content-type", "application/problem+json");
  response.setHeader("content-length", Buffer.byteLength(body));
  response.setHeader("gladewall-request", requestId);
  response.setHeader("gladewall-outcome", outcomeNames[failure.outcome]);
  const retryAfter = getRetryAfter(failure);
  if (retryAfter !== undefined) response.setHeader("retry-after", retryAfter);
  response.writeHead(failure.status);
  response.end(body);
}

/** Redirects a caller to the URL at which any entry returns the response to its request. */
export function sendMoved(response: ServerResponse, requestId: string): void {
  if (response.headersSent || response.destroyed) return;
  response.writeHead(303, {
    location: `/v1/requests/${requestId}`,
    "content-length": 0,
    "gladewall-request": requestId,
    connection: "close",
  });
  response.end();
}
