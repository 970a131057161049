/**
 * What a parser of event streams makes of a body that ends with its connection: comments are no part of the events, and one that ends
 * inside an event, or a comment, was broken off.
 * @module
 */
import type { IncomingMessage } from "node:http";
import { CallerEnd, readCallerEnd } from "./callerEnd.js";

/** An empty comment, and the blank line after it at the end of a stream. */
const commentPattern = /(?<=^|[\r\n]):\n(?:\n$)?/g;
/** A comment that has begun at the end of a body. */
const openCommentPattern = /(?<=^|[\r\n]):$/;

/** A body as its caller reads it. */
export interface CallerText {
  readonly text: string;
  readonly end: CallerEnd;
}

/** Events of a body, and whether it ends inside a comment. */
export interface StreamText {
  readonly text: string;
  readonly isOpen: boolean;
}

/** Parses a body without removing any but the empty comments. */
export function parseStreamText(body: string): StreamText {
  const isOpen = openCommentPattern.test(body);
  return { text: body.replace(openCommentPattern, "").replace(commentPattern, ""), isOpen };
}

/** Returns the events of a stream that ends with its connection, and how it ended; any other body stays as it is. */
export function readCallerText(response: IncomingMessage, body: string): CallerText {
  const end = readCallerEnd(response);
  const { headers } = response;
  const isStream = headers["content-type"]?.startsWith("text/event-stream") ?? true;
  const isFramed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
  if (!isStream || isFramed) return { text: body, end };
  const { text, isOpen } = parseStreamText(body);
  return { text, end: isOpen && end === CallerEnd.Closed ? CallerEnd.Broken : end };
}
