/**
 * How an endpoint's response ended, as far as that can be known, and what follows from it.
 *
 * A response that has neither length nor chunks ends with its connection. An orderly close proves nothing: when a process is killed,
 * its kernel closes its connections in order too.
 * @module
 */
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import { hasClosedOrderly } from "./connectionEnds.js";

/** How the end of a response's body is marked (RFC 9112, section 6.3). The names are sent to peers and written to logs. */
export enum BodyFraming {
  /** It has no body. */
  None = 1,
  Length = 2,
  Chunked = 3,
  /** Neither length nor chunks: the body ends with its connection. */
  Connection = 4,
}

/** How a response ended. */
export enum ResponseEnd {
  /** All that its frame announced was received. */
  Complete = 1,
  /** It has no frame, and its connection was closed in order: nothing tells whether it is complete. */
  Unverified = 2,
  /** It was broken off: before the end of its frame, by a reset, inside an event, or by the end of its endpoint. */
  Interrupted = 3,
}

/** How the connection of a response ended with it. */
export enum ConnectionEnd {
  /** It did not have to end. */
  Open = 1,
  Orderly = 2,
  /** It was reset, or closed before the end of the response's frame. */
  Broken = 3,
}

/** What shows whether an endpoint went on after a response had ended with its connection. */
export enum EndEvidence {
  /** It accepted a new connection. */
  Running = 1,
  /** It is known to have crashed, or refuses connections without having announced that it stops. */
  Ended = 2,
  /** Nothing was found out in time. */
  None = 3,
  /** It has just announced that it stops: it refuses connections and completes its responses. */
  Leaving = 4,
}

/** An endpoint's response that is being received, directly or through a peer. */
export interface EndpointResponse {
  readonly message: IncomingMessage;
  /** Framing at the endpoint; through a peer, that of `message` may differ. */
  readonly framing: BodyFraming;
}

/** What is known of a response that has ended. */
export interface EndedResponse {
  readonly end: ResponseEnd;
  readonly framing: BodyFraming;
  readonly connection: ConnectionEnd;
  /** Bytes of an event that had begun; 0 if the response is no stream. */
  readonly unfinishedBytes: number;
  /** Undefined if the end needed none. */
  readonly evidence?: EndEvidence;
  /** Milliseconds from the end of the response until the evidence was found. */
  readonly evidenceMs?: number;
}

/** What follows from the end of a response. */
export interface EndConsequence {
  /** Whether it counts as the endpoint's failure. */
  readonly isFailure: boolean;
  /** Whether the caller may be told that it is complete. */
  readonly isComplete: boolean;
  /** Whether the caller of a stream may be shown an orderly close, which tells nothing. */
  readonly mayClose: boolean;
}

/** What follows from each end of a response whose evidence, if it needs some, speaks for the endpoint. */
const endConsequences: Readonly<Record<ResponseEnd, EndConsequence>> = {
  [ResponseEnd.Complete]: { isFailure: false, isComplete: true, mayClose: true },
  [ResponseEnd.Unverified]: { isFailure: false, isComplete: false, mayClose: true },
  [ResponseEnd.Interrupted]: { isFailure: true, isComplete: false, mayClose: false },
};

/** What follows from an unverified end for which nothing speaks; where the endpoint is reached through a peer, the peer has decided. */
const doubtful: EndConsequence = { ...endConsequences[ResponseEnd.Unverified], mayClose: false };

/** Returns what follows from the end of a response. */
export function getConsequence({ end, evidence }: EndedResponse): EndConsequence {
  const isDoubtful = end === ResponseEnd.Unverified && evidence === EndEvidence.None;
  return isDoubtful ? doubtful : endConsequences[end];
}

const chunkedPattern = /(?:^|,)\s*chunked\s*$/i;
const statusNoContent = 204;
const statusNotModified = 304;

/** Returns how the end of a response's body is marked, from its head and the request's method. */
export function getBodyFraming(
  { statusCode, headers }: Pick<IncomingMessage, "statusCode" | "headers">,
  method = "GET",
): BodyFraming {
  const hasNoBody = method === "HEAD" || statusCode === statusNoContent || statusCode === statusNotModified;
  return hasNoBody ? BodyFraming.None : getHeaderFraming(headers);
}

function getHeaderFraming(headers: IncomingHttpHeaders): BodyFraming {
  const coding = headers["transfer-encoding"];
  if (coding !== undefined) return chunkedPattern.test(coding) ? BodyFraming.Chunked : BodyFraming.Connection;
  return headers["content-length"] === undefined ? BodyFraming.Connection : BodyFraming.Length;
}

/** Returns how a response ended whose connection was closed, or which was read to the end that its message shows. */
export function readEnd({ message, framing }: EndpointResponse, unfinishedBytes = 0): EndedResponse {
  const connection = getConnectionEnd(message, framing);
  return { end: decideEnd(framing, connection, unfinishedBytes), framing, connection, unfinishedBytes };
}

/** As `readEnd`; if this instance itself fails on it, which `fail` is told, the response counts as broken off. */
export function readEndOrFail(
  response: EndpointResponse,
  fail: (error: unknown) => void,
  unfinishedBytes = 0,
): EndedResponse {
  try {
    return readEnd(response, unfinishedBytes);
  } catch (error) {
    fail(error);
    const { framing } = response;
    return { end: ResponseEnd.Interrupted, framing, connection: ConnectionEnd.Broken, unfinishedBytes };
  }
}

/** The connection is that to the endpoint, or that to a peer; a peer closes its frame only after an orderly end at the endpoint. */
function getConnectionEnd(message: IncomingMessage, framing: BodyFraming): ConnectionEnd {
  if (!message.complete || !message.readableEnded) return ConnectionEnd.Broken;
  if (framing === BodyFraming.None) return ConnectionEnd.Open;
  if (getHeaderFraming(message.headers) !== BodyFraming.Connection) return ConnectionEnd.Open;
  // Node.js reports a reset as the end of such a message too.
  return hasClosedOrderly(message.socket) ? ConnectionEnd.Orderly : ConnectionEnd.Broken;
}

function decideEnd(framing: BodyFraming, connection: ConnectionEnd, unfinishedBytes: number): ResponseEnd {
  if (connection === ConnectionEnd.Broken || unfinishedBytes > 0) return ResponseEnd.Interrupted;
  return framing === BodyFraming.Connection ? ResponseEnd.Unverified : ResponseEnd.Complete;
}

/** Fields of the log line on a response's end. */
export function formatEnd(ended: EndedResponse): Readonly<Record<string, string | number | undefined>> {
  return {
    ended: ResponseEnd[ended.end],
    framing: BodyFraming[ended.framing],
    connection: ConnectionEnd[ended.connection],
    unfinished: ended.unfinishedBytes,
    evidence: ended.evidence && EndEvidence[ended.evidence],
    evidenceMs: ended.evidenceMs && Math.round(ended.evidenceMs),
  };
}
