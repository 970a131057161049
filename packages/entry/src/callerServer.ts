/**
 * The callers' HTTP port: bounds on headers, bodies, time and connections, and a table of routes.
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

/** One caller's request on its way through the front. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Id of the request, which every answer carries. */
  readonly id: string;
  /** Aborted when the caller left. */
  readonly callerLeft: AbortSignal;
}

/** Handles an exchange; a failure is sent as a problem. */
export type RouteHandler = (exchange: Exchange, match: RegExpExecArray) => Promise<Failure | undefined>;

/** A route: the first whose pattern matches the path decides. */
export interface Route {
  readonly pattern: RegExp;
  /** Handlers by method; `*` takes any. */
  readonly methods: Readonly<Record<string, RouteHandler>>;
}

/** The port. */
export class CallerServer implements Closeable {
  private readonly server: Server;
  /** Answers that callers have not fully taken. */
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
        // Bodies have a bound of their own that a steady slow sender does not trip.
        requestTimeout: 0,
        connectionsCheckingInterval: Math.min(1_000, settings.header_timeout),
        insecureHTTPParser: false,
        noDelay: true,
      },
      (request, response) => void this.handle(request, response),
    );
    this.server.maxConnections = settings.connections;
  }

  /** Creates the port; `open` makes it listen. */
  static create(
    settings: EntrySettings["front"],
    logger: Logger,
    routes: readonly Route[],
    createId: () => string,
  ): CallerServer {
    return new CallerServer(settings, logger, routes, createId);
  }

  /** Starts to listen; returns `host:port`. */
  async open(): Promise<string> {
    await listen(this.server, this.settings.listen);
    return this.address;
  }

  /** `host:port`. */
  get address(): string {
    return getListenAddress(this.server);
  }

  /** Resolves when every caller has its answer. */
  async waitForIdle(): Promise<void> {
    while (this.active > 0) await new Promise<void>((resolve) => this.idleWaiters.push(resolve));
  }

  /** Takes no new connections and lets the present ones finish what they have. */
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
    const gone = new AbortController();
    this.active += 1;
    response.on("close", () => {
      gone.abort();
      this.handleResponseClosed();
    });
    response.setTimeout(this.settings.write_timeout, () => this.endSlowReader(response));
    const id = this.createId();
    const url = tryParseUrl(request);
    const badPath = Failure.create(FailureCode.BadRequest, { detail: "the path" });
    if (!url) return endWithProblem(request, response, badPath, id);
    const checked = checkHeaders(request.rawHeaders);
    if (checked.isErr()) return endWithProblem(request, response, checked.error, id);
    try {
      const failure = await this.route({ request, response, url, id, callerLeft: gone.signal });
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

  /** A caller that takes nothing is cut only while there is something for it to take. */
  private endSlowReader(response: ServerResponse): void {
    if (response.writableLength > 0) response.destroy();
  }
}

function tryParseUrl(request: IncomingMessage): URL | undefined {
  const target = request.url ?? "/";
  // Only the origin form: an absolute target could name another host to another parser.
  if (!target.startsWith("/")) return undefined;
  try {
    return new URL(`http://entry${target}`);
  } catch {
    return undefined;
  }
}

/** Sends a failure; a body that was not read ends the connection, so that it is not taken for a next request. */
function endWithProblem(
  request: IncomingMessage,
  response: ServerResponse,
  failure: Failure,
  id: string,
): void {
  if (!request.complete && !response.headersSent) response.setHeader("connection", "close");
  sendProblem(response, failure, id);
}
