/**
 * The load that an endpoint tells in the head of an answer: `x-load: running/queued/width`.
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { LoadReport } from "@gladewall/policy";

const loadHeader = "x-load";

/** Returns the report of a head, undefined where it has none. */
export function readLoadHeader(headers: IncomingHttpHeaders): LoadReport | undefined {
  const value = headers[loadHeader];
  const found = typeof value === "string" ? /^(\d+)\/(\d+)\/(\d+)$/.exec(value) : undefined;
  if (!found) return undefined;
  return { running: Number(found[1]), queued: Number(found[2]), width: Number(found[3]) };
}
