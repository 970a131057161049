/**
 * Passes attempts of peers on to endpoints that they cannot reach themselves. Only an endpoint that this instance knows is contacted,
 * over a connection of this instance, so that nothing is passed on twice. Admission, limits, permits, retries and counts are the
 * sender's; this instance only sends what it received, returns what comes back, and reports endpoints that crash meanwhile, since the
 * sender cannot tell.
 * @module
 */
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  type Clock,
  type Closeable,
  getListenAddress,
  listen,
  type Logger,
  UnsentResponses,
} from "@gladewall/kernel";
import { type ContainedFailures, FailurePlace } from "../failures/containedFailures.js";
import { Attempt, AttemptOutcome } from "../requests/attempt.js";
import type { InFlightRequest } from "../crashes/inFlightRequest.js";
import { createSubject } from "../crashes/requestFingerprint.js";
import type { Endpoint } from "../endpoints/endpoint.js";
import type { EndpointConnections } from "../endpoints/endpointConnections.js";
import type { EndpointDirectory } from "../endpoints/endpointDirectory.js";
import { discardBody, requestBounds } from "../bodies/discardBody.js";
import type { HeldBytes } from "../bodies/heldBytes.js";
import type { LinkPace } from "../bodies/linkPace.js";
import { readRequestBody } from "../bodies/requestBody.js";
import type { EndChecker } from "../responses/endChecker.js";
import { type EndedResponse, formatEnd, getConsequence, ResponseEnd } from "../responses/responseEnd.js";
import { copyResponseHeaders } from "../responses/responseHeaders.js";
import { ExecutionStatus, type ResponseHead } from "../types.js";
import {
  createResultHeader,
  type ForwardedRequest,
  ForwardResult,
  isAuthentic,
  readExpectedVersion,
  readForwardHeaders,
  readWorkspace,
} from "./forwardingProtocol.js";
import { returnResponse } from "./responseReturn.js";
import type { ServicePaths } from "./servicePaths.js";

/** Options of the server. */
export interface ForwardingServerOptions {
  readonly ownName: string;
  readonly secret: string;
  readonly listen: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: EndpointDirectory;
  readonly connections: EndpointConnections;
  readonly paths: ServicePaths;
  readonly connectTimeoutMs: number;
  /** Attempts that are passed on at once. */
  readonly maxOpen: number;
  /** Whether this instance has what it needs to serve. */
  readonly canServe: () => boolean;
  /** Returns the largest body of a request, in bytes. */
  readonly getMaxBodyBytes: () => number;
  /** Records that a request was interrupted at an endpoint; resolves once it is known whether the endpoint has crashed. */
  readonly recordInterruption: (endpoint: Endpoint, request: InFlightRequest) => Promise<unknown>;
  readonly endChecker: EndChecker;
  readonly failures: ContainedFailures;
  readonly linkPace: LinkPace;
  /** The bytes of all requests' bodies that are held. */
  readonly heldRequests: HeldBytes;
  /** Returns the milliseconds after which a request is given up; undefined if its headers state none. */
  readonly readDeadlineMs: (headers: IncomingHttpHeaders) => number | undefined;
  /** Returns the ids of the parts of a prompt that other requests may share. */
  readonly readSharedParts: (headers: IncomingHttpHeaders) => readonly string[];
  /** Returns those of a prompt's parts that are suspected. */
  readonly getSuspectedParts: (
    service: string,
    prompt: Pick<InFlightRequest, "sharedParts">,
  ) => readonly string[];
}

/** A request that was accepted, and the endpoint that it is for. */
interface AcceptedRequest {
  readonly request: ForwardedRequest;
  readonly endpoint: Endpoint;
}

/** Callers' headers may have half of this; the rest is for those of the exchange. */
const maxHeaderBytes = 65_536;
const statusBadGateway = 502;
/** Time after its deadline for which a response may go on that only its caller delays. */
const deadlineMarginMs = 120_000;

/** Longest wait of a body for room; the sender gives an attempt up that takes longer. */
const maxRoomWaitMs = 60_000;

/** Whatever the response is, the sender evaluates its head. */
const uninterpretedHead: ResponseHead = {
  executionStatus: ExecutionStatus.Ran,
  load: undefined,
  notice: undefined,
};

/** Accepts attempts of peers. */
export class ForwardingServer implements Closeable {
  private readonly server: Server;
  private readonly unsentResponses = UnsentResponses.create();
  private openCount = 0;
  private isStopped = false;

  private constructor(private readonly options: ForwardingServerOptions) {
    const bounds = { maxHeaderSize: maxHeaderBytes, noDelay: true };
    this.server = createServer(bounds, (message, response) => void this.handle(message, response));
  }

  static create(options: ForwardingServerOptions): ForwardingServer {
    return new ForwardingServer(options);
  }

  /** Attempts that are being passed on. */
  get open(): number {
    return this.openCount;
  }

  /** Number of responses that have been ended, and that peers have not taken yet. */
  get unsent(): number {
    return this.unsentResponses.count;
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await listen(this.server, this.options.listen);
  }

  /** `host:port` on which the server listens; undefined while it does not. */
  get address(): string | undefined {
    return this.server.listening ? getListenAddress(this.server) : undefined;
  }

  /** Accepts nothing from now on; what has been accepted continues. */
  stop(): void {
    this.isStopped = true;
  }

  async close(): Promise<void> {
    this.isStopped = true;
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Never rejects: what fails on an attempt's way ends that attempt. */
  private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    message.on("error", () => undefined);
    response.on("error", () => undefined);
    this.openCount += 1;
    this.unsentResponses.add(response);
    const endRequest = this.options.linkPace.beginRequest();
    try {
      await this.serveAndLog(message, response);
    } catch (error) {
      this.fail(message, response, error);
    } finally {
      this.openCount -= 1;
      endRequest();
    }
  }

  /** Ends an attempt after a failure of this instance itself; the sender can't know whether it ran. */
  private fail({ headers }: IncomingMessage, response: ServerResponse, error: unknown): void {
    const { sender, endpoint } = readForwardHeaders(headers);
    this.options.failures.record(FailurePlace.ForwardedAttempt, error, { from: sender, life: endpoint });
    response.destroy();
  }

  private async serveAndLog(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedAt = this.options.clock.getTime();
    const result = await this.serve(message, response);
    const { endpoint, sender } = readForwardHeaders(message.headers);
    this.options.logger.info("forwarding.received", {
      from: sender,
      life: endpoint,
      result: ForwardResult[result],
      tookMs: Math.round(this.options.clock.getTime() - startedAt),
    });
  }

  private async serve(message: IncomingMessage, response: ServerResponse): Promise<ForwardResult> {
    const result = await this.readAndPassOn(message, response);
    if (result === ForwardResult.Answered || response.headersSent || response.destroyed) return result;
    response.writeHead(statusBadGateway, [...createResultHeader(result), "Content-Length", "0"]);
    response.end();
    discardBody(message, requestBounds);
    return result;
  }

  private async readAndPassOn(message: IncomingMessage, response: ServerResponse): Promise<ForwardResult> {
    const { getMaxBodyBytes, heldRequests: held, clock, readDeadlineMs } = this.options;
    const waitMs = Math.min(readDeadlineMs(message.headers) ?? maxRoomWaitMs, maxRoomWaitMs);
    const body = await readRequestBody(message, { limit: getMaxBodyBytes(), held, clock, waitMs });
    if (body.isErr()) return ForwardResult.Refused;
    try {
      const accepted = this.accept(message, body.value.bytes);
      return typeof accepted === "object" ? await this.passOn(accepted, message, response) : accepted;
    } finally {
      body.value.release();
    }
  }

  /** Checks whether a request may be passed on; returns the reason if it may not. */
  private accept(message: IncomingMessage, body: Buffer): AcceptedRequest | ForwardResult {
    const { ownName, secret, directory, paths, maxOpen, canServe } = this.options;
    const { method = "", url: target = "", headers } = message;
    const request = { method, target, ...readForwardHeaders(headers), receiver: ownName, body };
    if (!isAuthentic(secret, headers, request)) return ForwardResult.Refused;
    if (this.isStopped || !canServe()) return ForwardResult.NotReady;
    if (this.openCount > maxOpen) return ForwardResult.Busy;
    const endpoint = directory.find(request.endpoint);
    if (!endpoint?.isUsable()) return ForwardResult.UnknownEndpoint;
    // The sender chose it by its software version, and another may have started under its id.
    const expectedVersion = readExpectedVersion(headers) ?? endpoint.record.softwareVersion;
    if (endpoint.record.softwareVersion !== expectedVersion) return ForwardResult.UnknownEndpoint;
    return paths.isDirect(endpoint) ? { request, endpoint } : ForwardResult.CutOff;
  }

  private async passOn(
    { request, endpoint }: AcceptedRequest,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<ForwardResult> {
    const { endChecker, clock, linkPace: pace } = this.options;
    const inFlight = this.createInFlight(request, endpoint, message);
    const fail = (error: unknown): void => this.fail(message, response, error);
    if (inFlight) endpoint.inFlight.add(inFlight);
    try {
      const attempt = this.startAttempt({ request, endpoint }, message, fail);
      abortWithResponse(attempt, response);
      this.abortAtDeadline(attempt, message, response);
      const { outcome, response: received } = await attempt.result;
      const check = (end: EndedResponse): Promise<EndedResponse> => endChecker.check(endpoint, end);
      const ended = received && (await returnResponse(received, response, { check, fail, clock, pace }));
      this.logEnd(endpoint, ended);
      const isInterrupted = received
        ? ended !== undefined && getConsequence(ended).isFailure
        : outcome === AttemptOutcome.Lost && !response.destroyed;
      if (inFlight) endpoint.inFlight.delete(inFlight);
      // The sender retries after the reply, so that the next endpoint is chosen once the crash is known.
      if (inFlight && isInterrupted) await this.options.recordInterruption(endpoint, inFlight);
      return received ? ForwardResult.Answered : await this.handleNoResponse(endpoint, outcome);
    } finally {
      if (inFlight) endpoint.inFlight.delete(inFlight);
    }
  }

  private startAttempt(
    { request, endpoint }: AcceptedRequest,
    { rawHeaders }: IncomingMessage,
    onFailure: (error: unknown) => void,
  ): Attempt {
    const { connections, connectTimeoutMs, paths } = this.options;
    return Attempt.create({
      pool: connections.get(endpoint),
      protocol: { readResponseHead: () => uninterpretedHead },
      requestId: "",
      method: request.method,
      target: request.target,
      headers: copyResponseHeaders(rawHeaders),
      body: request.body,
      connectTimeoutMs,
      onHead: () => paths.recordHeard(endpoint),
      onFailure,
    });
  }

  /** Ends an attempt whose sender has given it up, even if its end of the connection is never heard. */
  private abortAtDeadline(attempt: Attempt, { headers }: IncomingMessage, response: ServerResponse): void {
    const { clock, readDeadlineMs } = this.options;
    const deadlineMs = readDeadlineMs(headers);
    if (deadlineMs === undefined) return;
    const timer = clock.startTimer(deadlineMs + deadlineMarginMs, () => attempt.abort("deadline"));
    response.once("close", () => timer.cancel());
  }

  private logEnd({ incarnation }: Endpoint, ended: EndedResponse | undefined): void {
    if (!ended || ended.end === ResponseEnd.Complete) return;
    this.options.logger.info("forwarding.ended", { life: incarnation, ...formatEnd(ended) });
  }

  /** Returns what identifies a request; undefined if its sender does not state the workspace. */
  private createInFlight(
    { method, target, body }: ForwardedRequest,
    { record }: Endpoint,
    { headers }: IncomingMessage,
  ): InFlightRequest | undefined {
    const workspace = readWorkspace(headers);
    if (workspace === undefined) return undefined;
    const source = { workspace, method, host: headers.host ?? "", target, body };
    const { getSuspectedParts, readSharedParts } = this.options;
    const prompt = {
      subject: createSubject(source),
      get sharedParts() {
        return readSharedParts(headers);
      },
    };
    return Object.assign(prompt, { suspectedParts: getSuspectedParts(record.service, prompt) });
  }

  private async handleNoResponse(endpoint: Endpoint, outcome: AttemptOutcome): Promise<ForwardResult> {
    const { paths } = this.options;
    if (outcome !== AttemptOutcome.NotSent) return ForwardResult.Lost;
    await paths.check(endpoint);
    return paths.isDirect(endpoint) ? ForwardResult.Unreachable : ForwardResult.CutOff;
  }
}

/** Aborts an attempt as soon as nobody waits for its response any more. */
function abortWithResponse(attempt: Attempt, response: ServerResponse): void {
  const abort = (): void => {
    if (!response.writableFinished) attempt.abort("sender gone");
  };
  if (response.destroyed) abort();
  else response.on("close", abort);
}
