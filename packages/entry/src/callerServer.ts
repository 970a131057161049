/**
 * The HTTP server for callers. Limits the size of headers, the time that a request or a slow reader may take and the
 * number of connections, and dispatches each request to the first route whose pattern matches its path.
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import {
  type Closeable,
  Failure,
  FailureCode,
  getListenAddress,
  listen,
  type Logger,
} from "@gladewall/kernel";
import type { EntrySettings } from "./entrySettings.js";
import { checkHeaders } from "./headers.js";
import { sendProblem } from "./problem.js";

/** One HTTP request of a caller with its response. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Request id, which every response carries in `gladewall-request`. */
  readonly id: string;
  /** Aborts when the caller's connection closes. */
  readonly callerLeft: AbortSignal;
}

/** Handles an exchange. A returned failure is sent to the caller as `application/problem+json`. */
export type RouteHandler = (exchange: Exchange, match: RegExpExecArray) => Promise<Failure | undefined>;

/** A route. The first route whose pattern matches the path handles the request. */
export interface Route {
  readonly pattern: RegExp;
  /** Handlers by HTTP method; `*` handles every other method. */
  readonly methods: Readonly<Record<string, RouteHandler>>;
}

/** Listens for callers and dispatches their requests to routes. */
export class CallerServer implements Closeable {
  private readonly server: Server;
  /** Number of responses that are not closed yet. */
  private active = 0;
  private idleWaiters: (() => void)[] = [];

  private constructor(
    private readonly settings: EntrySettings["front"],
    private readonly logger: Logger,
    private readonly routes: readonly Route[],
    private readonly createId: () => string,
  ) {
    this.server = createServer(
      {
        maxHeaderSize: settings.header_bytes,
        headersTimeout: settings.header_timeout,
        // Disabled because `readBody` limits the time between two chunks instead, so that a large body which arrives
        // slowly but steadily is accepted.
        requestTimeout: 0,
        connectionsCheckingInterval: Math.min(1_000, settings.header_timeout),
        insecureHTTPParser: false,
        noDelay: true,
      },
      (request, response) => void this.handle(request, response),
    );
    this.server.maxConnections = settings.connections;
  }

  /** Creates the server; `open` makes it listen. */
  static create(
    settings: EntrySettings["front"],
    logger: Logger,
    routes: readonly Route[],
    createId: () => string,
  ): CallerServer {
    return new CallerServer(settings, logger, routes, createId);
  }

  /** Starts to listen and returns the address as `host:port`. */
  async open(): Promise<string> {
    await listen(this.server, this.settings.listen);
    return this.address;
  }

  /** Address that the server listens on, as `host:port`. */
  get address(): string {
    return getListenAddress(this.server);
  }

  /** Resolves when no response is open. */
  async waitForIdle(): Promise<void> {
    while (this.active > 0) await new Promise<void>((resolve) => this.idleWaiters.push(resolve));
  }

  /** Accepts no new connections; requests on open connections are still completed. */
  stopAccepting(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  async close(): Promise<void> {
    const done = new Promise<void>((resolve) => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await done;
  }

  private handleResponseClosed(): void {
    this.active -= 1;
    if (this.active > 0) return;
    const wakers = this.idleWaiters;
    this.idleWaiters = [];
    wakers.forEach((wake) => wake());
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const callerLeft = new AbortController();
    this.active += 1;
    response.on("close", () => {
      callerLeft.abort();
      this.handleResponseClosed();
    });
    response.setTimeout(this.settings.write_timeout, () => this.closeSlowReader(response));
    const id = this.createId();
    const url = tryParseUrl(request);
    const badPath = Failure.create(FailureCode.BadRequest, { detail: "the path" });
    if (!url) return endWithProblem(request, response, badPath, id);
    const checked = checkHeaders(request.rawHeaders);
    if (checked.isErr()) return endWithProblem(request, response, checked.error, id);
    try {
      const failure = await this.route({ request, response, url, id, callerLeft: callerLeft.signal });
      if (failure) endWithProblem(request, response, failure, id);
    } catch (error) {
      const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
      this.logger.error("front.fault", { request: id, detail });
      const failure = Failure.create(FailureCode.Internal, { detail: "see the entry's log" });
      endWithProblem(request, response, failure, id);
    }
  }

  private async route(exchange: Exchange): Promise<Failure | undefined> {
    const method = exchange.request.method ?? "";
    for (const { pattern, methods } of this.routes) {
      const match = pattern.exec(exchange.url.pathname);
      if (!match) continue;
      const handler = methods[method] ?? methods["*"];
      if (!handler) return Failure.create(FailureCode.MethodNotAllowed, { method });
      return handler(exchange, match);
    }
    return Failure.create(FailureCode.NotFound);
  }

  /** Closes the connection of a caller that does not read, but only while written bytes wait to be read. */
  private closeSlowReader(response: ServerResponse): void {
    if (response.writableLength > 0) response.destroy();
  }
}

function tryParseUrl(request: IncomingMessage): URL | undefined {
  const target = request.url ?? "/";
  // Accepts only the origin form, because another parser could take the host from an absolute target.
  if (!target.startsWith("/")) return undefined;
  try {
    return new URL(`http://entry${target}`);
  } catch {
    return undefined;
  }
}

/**
 * Sends a failure. Closes the connection if the request's body was not read to its end, so that the remaining bytes are
 * not parsed as the next request, or if the response had begun, as its caller would wait for the rest.
 */
function endWithProblem(
  request: IncomingMessage,
  response: ServerResponse,
  failure: Failure,
  id: string,
): void {
  if (response.writableEnded) return;
  if (response.headersSent) return void response.destroy();
  if (!request.complete) response.setHeader("connection", "close");
  sendProblem(response, failure, id);
}
