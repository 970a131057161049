/**
 * Header handling of the proxy: refuses ambiguous request headers, and selects the headers that are forwarded to
 * endpoints and to callers.
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import { hopByHopHeaders, Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import type { Header } from "./types.js";

/** Headers that the gateway sets or handles itself; a caller's values are not forwarded to endpoints. */
const reservedHeaders: ReadonlySet<string> = new Set([
  "authorization",
  "expect",
  "host",
  "content-length",
  "idempotency-key",
  "x-run-id",
  "x-attempt",
  "x-request-id",
  "x-priority",
  "x-run-started",
  "forwarded",
  "x-forwarded-for",
]);

const reservedPrefix = "gladewall-";
const singletonHeaders: ReadonlySet<string> = new Set([
  "authorization",
  "content-length",
  "content-type",
  "host",
  "idempotency-key",
  "gladewall-class",
  "gladewall-repeat",
  "last-event-id",
  "transfer-encoding",
]);

/**
 * Refuses headers that two parsers could read as different requests (request smuggling). The HTTP parser already
 * refuses most of them. This also refuses a singleton header that occurs twice, and `content-length` together with
 * `transfer-encoding`.
 */
export function checkHeaders(rawHeaders: readonly string[]): Result<void, Failure> {
  const seen = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? "").toLowerCase();
    if (singletonHeaders.has(name) && seen.has(name)) return refuse(`${name} stands twice`);
    seen.add(name);
    const value = rawHeaders[index + 1] ?? "";
    if (name === "transfer-encoding" && value.toLowerCase() !== "chunked")
      return refuse("only chunked is understood");
    if (name === "content-length" && !/^\d+$/.test(value)) return refuse("content-length is not a number");
  }
  if (seen.has("content-length") && seen.has("transfer-encoding"))
    return refuse("both a length and an encoding");
  return Ok.EMPTY;
}

function refuse(detail: string): Result<void, Failure> {
  return Err(Failure.create(FailureCode.HeadersRefused, { detail }));
}

/**
 * Returns the caller's headers that are forwarded to an endpoint. `x-forwarded-for` and `forwarded` are set to the
 * trusted part of the caller's `x-forwarded-for`, followed by the remote address of the connection.
 */
export function selectRequestHeaders(
  rawHeaders: readonly string[],
  remoteAddress: string,
  trustedProxies: number,
): readonly Header[] {
  const connectionHeaders = getConnectionHeaders(rawHeaders);
  const headers: Header[] = [];
  const forwarded: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? "").toLowerCase();
    const value = rawHeaders[index + 1] ?? "";
    if (name === "x-forwarded-for") forwarded.push(...value.split(",").map((part) => part.trim()));
    if (
      hopByHopHeaders.has(name) ||
      reservedHeaders.has(name) ||
      connectionHeaders.has(name) ||
      name.startsWith(reservedPrefix)
    )
      continue;
    headers.push([name, value]);
  }
  // Only the last `trustedProxies` addresses were written by trusted proxies; a caller can forge those before them.
  const trusted = trustedProxies === 0 ? [] : forwarded.slice(-trustedProxies);
  const path = [...trusted, remoteAddress];
  headers.push(["x-forwarded-for", path.join(", ")]);
  headers.push(["forwarded", path.map((address) => `for=${formatForwarded(address)}`).join(", ")]);
  return headers;
}

function formatForwarded(address: string): string {
  if (/^[0-9.]+$/.test(address)) return address;
  return `"[${address.replace(/[^0-9A-Fa-f:.]/g, "")}]"`;
}

function getConnectionHeaders(rawHeaders: readonly string[]): ReadonlySet<string> {
  const names = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== "connection") continue;
    for (const part of (rawHeaders[index + 1] ?? "").split(",")) names.add(part.trim().toLowerCase());
  }
  return names;
}

/** Returns the endpoint's response headers that are forwarded to the caller. */
export function selectResponseHeaders(headers: IncomingHttpHeaders): readonly Header[] {
  const connection = headers.connection;
  const connectionHeaders = getConnectionHeaders(connection === undefined ? [] : ["connection", connection]);
  const selected: Header[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || name === "x-load" || hopByHopHeaders.has(name) || connectionHeaders.has(name))
      continue;
    for (const single of Array.isArray(value) ? value : [value]) selected.push([name, single]);
  }
  return selected;
}
