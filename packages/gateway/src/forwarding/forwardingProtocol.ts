/**
 * The HTTP exchange by which an instance passes an attempt on through a peer: the request as the endpoint is to receive it, with
 * headers that name the endpoint and prove the sender's knowledge of the shared secret. The response is the endpoint's, or states
 * why there is none.
 * @module
 */
import { createHash, createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { hopByHopHeaders } from "@gladewall/kernel";
import { BodyFraming } from "../responses/responseEnd.js";

/** What became of an attempt at the peer. The names are sent to the sender and written to logs. */
export enum ForwardResult {
  /** The response is the endpoint's. */
  Answered = 1,
  /** The endpoint could not be reached from the peer either, although the peer reaches others; no byte was sent. */
  Unreachable = 2,
  /** The peer reaches none of the service's endpoints; no byte was sent. */
  CutOff = 3,
  /** The peer passes on as many attempts as it can; no byte was sent. */
  Busy = 4,
  /** The peer does not pass anything on, because it starts or stops; no byte was sent. */
  NotReady = 5,
  /** The peer does not know the endpoint, or knows that it is leaving; no byte was sent. */
  UnknownEndpoint = 6,
  /** The sender is not authenticated, or the request is malformed; no byte was sent. */
  Refused = 7,
  /** The request was sent to the endpoint and no usable response was received. */
  Lost = 8,
}

/** A request to pass on, as the signature covers it. */
export interface ForwardedRequest {
  readonly method: string;
  readonly target: string;
  /** Incarnation of the endpoint. */
  readonly endpoint: string;
  /** Name of the sending instance. */
  readonly sender: string;
  /** Name of the peer that is to pass the request on. */
  readonly receiver: string;
  readonly body: Buffer;
}

/** Begin of the names of all headers of the exchange, in lower case. */
const headerPrefix = "gladewall-peer-";
const endpointHeader = `${headerPrefix}endpoint`;
const senderHeader = `${headerPrefix}sender`;
const workspaceHeader = `${headerPrefix}workspace`;
const versionHeader = `${headerPrefix}software-version`;
const nonceHeader = `${headerPrefix}nonce`;
const signatureHeader = `${headerPrefix}signature`;
const resultHeader = `${headerPrefix}result`;
const framingHeader = `${headerPrefix}framing`;
const nonceBytes = 12;

/** What is sent with a request and not signed, as earlier builds do not send it. */
export interface ForwardContext {
  /** Empty on public routes. */
  readonly workspace: string;
  /** Software version of the endpoint, as the sender knows it; undefined if its record states none. */
  readonly softwareVersion: string | undefined;
}

/** Creates the headers that are added to a request: name, value, name, value, … */
export function createForwardHeaders(
  secret: string,
  request: ForwardedRequest,
  { workspace, softwareVersion }: ForwardContext,
): string[] {
  const nonce = randomBytes(nonceBytes).toString("hex");
  const signature = sign(secret, nonce, request).toString("hex");
  return [
    ...[endpointHeader, request.endpoint, senderHeader, request.sender],
    ...[workspaceHeader, encodeURIComponent(workspace)],
    ...(softwareVersion === undefined ? [] : [versionHeader, encodeURIComponent(softwareVersion)]),
    ...[nonceHeader, nonce, signatureHeader, signature],
  ];
}

/** Fields of a received request; empty if a header is missing. */
export function readForwardHeaders(
  headers: IncomingHttpHeaders,
): Pick<ForwardedRequest, "endpoint" | "sender"> {
  return { endpoint: getText(headers, endpointHeader), sender: getText(headers, senderHeader) };
}

/** Returns the workspace of a received request, empty on public routes; undefined if an earlier build sent it. */
export function readWorkspace(headers: IncomingHttpHeaders): string | undefined {
  return readEncoded(headers, workspaceHeader);
}

/** Returns the software version that the sender of a received request expects; undefined if it states none. */
export function readExpectedVersion(headers: IncomingHttpHeaders): string | undefined {
  return readEncoded(headers, versionHeader);
}

function readEncoded(headers: IncomingHttpHeaders, name: string): string | undefined {
  const text = headers[name];
  if (typeof text !== "string") return undefined;
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}

/** Whether the sender of a received request knows the secret. */
export function isAuthentic(
  secret: string,
  headers: IncomingHttpHeaders,
  request: ForwardedRequest,
): boolean {
  const received = Buffer.from(getText(headers, signatureHeader), "hex");
  const expected = sign(secret, getText(headers, nonceHeader), request);
  return received.length === expected.length && timingSafeEqual(received, expected);
}

/** Creates the header that states what became of an attempt: name, value. */
export function createResultHeader(result: ForwardResult): string[] {
  return [resultHeader, ForwardResult[result]];
}

/** Returns what became of an attempt; undefined if the response does not state it. */
export function readResult(headers: IncomingHttpHeaders): ForwardResult | undefined {
  return ForwardResult[getText(headers, resultHeader) as keyof typeof ForwardResult];
}

/** Creates the header that states the framing of the endpoint's response: name, value. */
export function createFramingHeader(framing: BodyFraming): string[] {
  return [framingHeader, BodyFraming[framing]];
}

/**
 * Returns the framing of the endpoint's response. An earlier build does not state it; it passes a length on, and sends all other bodies
 * in chunks of its own, from which nothing is known of the endpoint's.
 */
export function readFraming(headers: IncomingHttpHeaders, framingOfPeer: BodyFraming): BodyFraming {
  const framing = BodyFraming[getText(headers, framingHeader) as keyof typeof BodyFraming];
  if (framing !== undefined) return framing;
  return framingOfPeer === BodyFraming.Chunked ? BodyFraming.Connection : framingOfPeer;
}

/** Returns the headers without those of the exchange; both lists are name, value, name, value, … */
export function removeForwardHeaders(rawHeaders: readonly string[]): string[] {
  return selectHeaders(rawHeaders, (name) => !name.startsWith(headerPrefix));
}

/** Returns the headers to pass on: without those of the exchange and without hop-by-hop headers. */
export function copyForwardedHeaders(rawHeaders: readonly string[]): string[] {
  return selectHeaders(rawHeaders, isPassedOn);
}

/** Whether a header, named in lower case, is passed on. */
export function isPassedOn(name: string): boolean {
  return !name.startsWith(headerPrefix) && !hopByHopHeaders.has(name);
}

/** Returns the selected headers; both lists are name, value, name, value, … */
export function selectHeaders(
  rawHeaders: readonly string[],
  isKept: (lowerCaseName: string) => boolean,
): string[] {
  const headers: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? "";
    if (isKept(name.toLowerCase())) headers.push(name, rawHeaders[index + 1] ?? "");
  }
  return headers;
}

function sign(secret: string, nonce: string, request: ForwardedRequest): Buffer {
  const { method, target, endpoint, sender, receiver, body } = request;
  const bodyDigest = createHash("sha256").update(body).digest("hex");
  const fields = [nonce, method, target, endpoint, sender, receiver, bodyDigest];
  return createHmac("sha256", secret).update(JSON.stringify(fields)).digest();
}

function getText(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === "string" ? value : "";
}
