/**
 * Sends a request to one endpoint once, up to the head of its response.
 *
 * A request may have run if the connection was established. Before that, no byte can have been sent.
 * @module
 */
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { onConnected } from "@gladewall/kernel";
import { discardBody, refusalBounds } from "../bodies/discardBody.js";
import { containThrows } from "../failures/containedFailures.js";
import type { EndpointPool } from "../endpoints/endpointConnections.js";
import { ForwardResult, readFraming, readResult } from "../forwarding/forwardingProtocol.js";
import { type BodyFraming, type EndpointResponse, getBodyFraming } from "../responses/responseEnd.js";
import { findHeadFault, formatHeadFault, type HeadFault } from "../responses/responseHead.js";
import { type ResponseHead, ExecutionStatus, type EndpointProtocol } from "../types.js";

/** How an attempt ended. */
export enum AttemptOutcome {
  /** No byte was sent. */
  NotSent = 1,
  /** The endpoint states that it did not run the request. */
  NotRun = 2,
  /** The address now belongs to another endpoint; nothing ran. */
  WrongEndpoint = 3,
  /** The request was sent and no usable response was received: it may have run. */
  Lost = 4,
  /** A response head was received. */
  Answered = 5,
}

/** Result of an attempt; `response` is set if the outcome is `Answered`. */
export interface AttemptResult {
  readonly outcome: AttemptOutcome;
  readonly detail: string;
  readonly response: EndpointResponse | undefined;
  /** What the peer states that the attempt was passed on through; undefined if there is none, or if it did not reply. */
  readonly forwarded?: ForwardResult | undefined;
  /** Why the bytes that came back are no response; undefined if they are one, or if none came back. */
  readonly fault?: HeadFault | undefined;
}

/** The request to send and where to send it. */
export interface AttemptOptions {
  readonly pool: EndpointPool;
  readonly protocol: Pick<EndpointProtocol, "readResponseHead">;
  /** Whether the attempt is passed on through a peer. */
  readonly isForwarded?: boolean;
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  /** Name, value, name, value, … */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly connectTimeoutMs: number;
  /** Called when a new connection is established. */
  readonly onConnect?: () => void;
  /** Called as soon as the response head is received, even if the result is no longer awaited. */
  readonly onHead: (head: ResponseHead, status: number) => void;
  /** Called if this instance itself fails on what it received; the attempt is then to be aborted. */
  readonly onFailure: (error: unknown) => void;
}

/** Interim responses to one request; an endpoint that works for long sends some, one that fails may send them without end. */
const maxInterimResponses = 64;

const outcomesByStatus: Readonly<Record<ExecutionStatus, AttemptOutcome>> = {
  [ExecutionStatus.Ran]: AttemptOutcome.Answered,
  [ExecutionStatus.NotRun]: AttemptOutcome.NotRun,
  [ExecutionStatus.WrongEndpoint]: AttemptOutcome.WrongEndpoint,
  [ExecutionStatus.Mismatched]: AttemptOutcome.Lost,
};

/** An attempt in progress. */
export class Attempt {
  /** Resolves once the response head is received or the attempt has failed. Never rejects. */
  readonly result: Promise<AttemptResult>;
  private readonly sent: ClientRequest;
  private isConnected = false;
  private interimResponses = 0;
  private resolveResult: (result: AttemptResult) => void = () => undefined;

  private constructor(private readonly options: AttemptOptions) {
    this.result = new Promise((resolve) => (this.resolveResult = resolve));
    this.sent = this.send();
  }

  static create(options: AttemptOptions): Attempt {
    return new Attempt(options);
  }

  /** Whether bytes may have been sent. */
  get mayHaveRun(): boolean {
    return this.isConnected;
  }

  /** Aborts the attempt by closing the connection, so that the endpoint drops the request. */
  abort(detail: string): void {
    this.sent.destroy(new Error(detail));
  }

  private send(): ClientRequest {
    const { pool, method, target, headers, body } = this.options;
    const { host, port, agent } = pool;
    const sent = request({
      host,
      port,
      agent,
      method,
      path: target,
      headers: addContentLength(headers, method, body),
      setHost: false,
    });
    onConnected(sent, () => (this.isConnected = true));
    sent.on("socket", (socket) => {
      if (!socket.connecting) return;
      const timer = setTimeout(() => this.abort("connect timeout"), this.options.connectTimeoutMs);
      socket.once("connect", () => this.options.onConnect?.());
      socket.once("connect", () => clearTimeout(timer));
      socket.once("close", () => clearTimeout(timer));
    });
    sent.on("error", (error) => this.fail(error.message));
    sent.on("close", () => this.fail("closed"));
    sent.on("information", () => this.countInterim());
    sent.on(
      "response",
      containThrows((response) => this.handleResponse(response), this.options.onFailure),
    );
    sent.end(body.length > 0 ? body : undefined);
    return sent;
  }

  private countInterim(): void {
    this.interimResponses += 1;
    if (this.interimResponses > maxInterimResponses) this.abort("too many interim responses");
  }

  private fail(detail: string): void {
    const outcome = this.isConnected ? AttemptOutcome.Lost : AttemptOutcome.NotSent;
    this.resolveResult({ outcome, detail, response: undefined });
  }

  private handleResponse(response: IncomingMessage): void {
    // The reader of the body handles its errors, but an `error` event without a listener would end the process.
    response.on("error", () => undefined);
    const { protocol, requestId, onHead, isForwarded = false } = this.options;
    const fault = findHeadFault(response);
    if (fault !== undefined) return this.refuseHead(response, fault);
    const status = response.statusCode ?? 0;
    const forwarded = isForwarded ? readResult(response.headers) : undefined;
    if (isForwarded && forwarded !== ForwardResult.Answered)
      return this.handleNotForwarded(response, forwarded);
    const head = protocol.readResponseHead(requestId, status, response.headers);
    const outcome = outcomesByStatus[head.executionStatus];
    onHead(head, status);
    if (outcome === AttemptOutcome.Answered) {
      const received = { message: response, framing: this.getFraming(response) };
      this.resolveResult({ outcome, detail: `status ${status}`, response: received, forwarded });
      return;
    }
    if (outcome === AttemptOutcome.Lost) this.abort("mismatched response");
    else discardBody(response, refusalBounds);
    this.resolveResult({ outcome, detail: `status ${status}`, response: undefined, forwarded });
  }

  /** Ends the attempt because what came back is no response: nothing in it is believed, and its connection is not used again. */
  private refuseHead(response: IncomingMessage, fault: HeadFault): void {
    const detail = formatHeadFault(fault, response);
    this.resolveResult({ outcome: AttemptOutcome.Lost, detail, response: undefined, fault });
    this.abort(detail);
  }

  /** Returns the framing at the endpoint. */
  private getFraming(response: IncomingMessage): BodyFraming {
    const { method, isForwarded = false } = this.options;
    const framing = getBodyFraming(response, method);
    return isForwarded ? readFraming(response.headers, framing) : framing;
  }

  /** Only a peer's own statement shows that a request which was passed on did not reach the endpoint. */
  private handleNotForwarded(response: IncomingMessage, forwarded: ForwardResult | undefined): void {
    discardBody(response, refusalBounds);
    const isLost = forwarded === undefined || forwarded === ForwardResult.Lost;
    const outcome = isLost ? AttemptOutcome.Lost : AttemptOutcome.NotSent;
    const detail = forwarded === undefined ? "unknown peer response" : ForwardResult[forwarded];
    this.resolveResult({ outcome, detail, response: undefined, forwarded });
  }
}

function addContentLength(headers: readonly string[], method: string, body: Buffer): string[] {
  const isBodyExpected = method !== "GET" && method !== "HEAD";
  if (body.length === 0 && !isBodyExpected) return [...headers];
  return [...headers, "Content-Length", String(body.length)];
}
