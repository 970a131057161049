/**
 * Decides whether what was received as the head of a response is one, before anything in it is evaluated. The parser of Node.js lets
 * through what HTTP does not allow, and what Node.js itself refuses to send on.
 * @module
 */
import type { IncomingMessage } from "node:http";
import { isFinalStatus } from "@gladewall/kernel";

/** Why a head is no head of a response. The names are written to logs. */
export enum HeadFault {
  /** It is not of HTTP/1. */
  Version = 1,
  /** Its status is none of a final response (RFC 9110, section 15). */
  Status = 2,
  /** Its reason phrase has a byte that must not be sent. */
  Reason = 3,
  HeaderName = 4,
  HeaderValue = 5,
  /** What it says of the end of its body contradicts itself, or is coded in a way that nobody asked for. */
  Framing = 6,
}

/** The parts of a message that its head consists of. */
export type ReceivedHead = Pick<
  IncomingMessage,
  "httpVersionMajor" | "httpVersionMinor" | "statusCode" | "statusMessage" | "rawHeaders" | "headers"
>;

const majorVersion = 1;
const statusNoContent = 204;
const tokenPattern = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** A byte that neither a header's value nor a reason phrase may contain (RFC 9110, section 5.5). */
const forbiddenPattern = /[^\t\x20-\x7e\x80-\xff]/;
/** Space that a receiver removes from a header's value. */
const outerSpacePattern = /^[\t ]|[\t ]$/;

/** Returns why a head can't be that of a final response to a request; undefined if it can. */
export function findHeadFault(head: ReceivedHead): HeadFault | undefined {
  const { httpVersionMajor, statusCode = 0, statusMessage = "" } = head;
  if (httpVersionMajor !== majorVersion) return HeadFault.Version;
  if (!isFinalStatus(statusCode)) return HeadFault.Status;
  if (!isSendable(statusMessage)) return HeadFault.Reason;
  return findHeaderFault(head.rawHeaders) ?? (isFramingConsistent(head) ? undefined : HeadFault.Framing);
}

/** Whether a text arrives unchanged when it is sent as the value of a header. */
export function isHeaderValue(text: string): boolean {
  return isSendable(text) && !outerSpacePattern.test(text);
}

function isSendable(text: string): boolean {
  return !forbiddenPattern.test(text);
}

/** Headers are name, value, name, value, … */
function findHeaderFault(rawHeaders: readonly string[]): HeadFault | undefined {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (!tokenPattern.test(rawHeaders[index] ?? "")) return HeadFault.HeaderName;
    if (!isSendable(rawHeaders[index + 1] ?? "")) return HeadFault.HeaderValue;
  }
  return undefined;
}

/** Whether the headers agree on the end of the body (RFC 9112, section 6). */
function isFramingConsistent({ httpVersionMinor, statusCode, headers }: ReceivedHead): boolean {
  const coding = headers["transfer-encoding"];
  const length = headers["content-length"];
  if (statusCode === statusNoContent && (coding !== undefined || Number(length ?? 0) > 0)) return false;
  if (coding === undefined) return true;
  // Other codings would have to be removed, and are only sent to who asks for them.
  return coding.trim().toLowerCase() === "chunked" && length === undefined && httpVersionMinor > 0;
}

/** Describes a head that is none, for logs; the log escapes what the endpoint has put in it. */
export function formatHeadFault(fault: HeadFault, { statusCode, statusMessage = "" }: ReceivedHead): string {
  return `no response head (${HeadFault[fault]}): ${statusCode ?? 0} ${statusMessage}`;
}
