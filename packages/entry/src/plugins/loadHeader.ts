/**
 * Parses the load that an endpoint reports in a response header: `x-load: running/queued/width`.
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { LoadReport } from "@gladewall/policy";

const loadHeader = "x-load";

/** Returns the load report of a response's headers, or undefined if the header is missing or malformed. */
export function readLoadHeader(headers: IncomingHttpHeaders): LoadReport | undefined {
  const value = headers[loadHeader];
  const found = typeof value === "string" ? /^(\d+)\/(\d+)\/(\d+)$/.exec(value) : undefined;
  if (!found) return undefined;
  return { running: Number(found[1]), queued: Number(found[2]), width: Number(found[3]) };
}
