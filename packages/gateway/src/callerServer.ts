/**
 * HTTP servers of an instance: one for callers and one for the platform's readiness probe.
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type Closeable, listen, UnsentResponses } from "@gladewall/kernel";
import type { ConnectionIntake } from "./intake/connectionIntake.js";
import type { ClientLimits } from "./types.js";

/** Options of the servers. */
export interface CallerServerOptions {
  readonly listen: string;
  readonly readinessListen: string;
  readonly readinessPath: string;
  readonly isReady: () => boolean;
  readonly handle: (message: IncomingMessage, response: ServerResponse) => Promise<void>;
  /** Decides which new connections of callers are taken. */
  readonly intake: ConnectionIntake;
}

const maxHeaderBytes = 32_768;
const timeoutCheckIntervalMs = 500;
const statusOk = 200;
const statusNotFound = 404;
const statusUnavailable = 503;

/** Accepts callers' requests and replies to readiness probes. */
export class CallerServer implements Closeable {
  private readonly callers: Server;
  private readonly readiness: Server;
  private readonly unsentResponses = UnsentResponses.create();

  private constructor(private readonly options: CallerServerOptions) {
    const bounds = {
      maxHeaderSize: maxHeaderBytes,
      connectionsCheckingInterval: timeoutCheckIntervalMs,
      noDelay: true,
    };
    const { intake } = options;
    this.callers = createServer(bounds, (message, response) => {
      // A caller that keeps its connection would come back while others have more room.
      if (intake.shedShare > 0) response.shouldKeepAlive = false;
      this.unsentResponses.add(response);
      void options.handle(message, response);
    });
    this.callers.on("connection", (socket) => {
      if (!intake.accept()) socket.destroy();
    });
    this.readiness = createServer((message, response) => this.sendReadiness(message, response));
  }

  static create(options: CallerServerOptions): CallerServer {
    return new CallerServer(options);
  }

  /** Starts listening on both ports. */
  async open(): Promise<void> {
    await listen(this.readiness, this.options.readinessListen);
    await listen(this.callers, this.options.listen);
  }

  /** Applies the configured timeouts to connections from now on. */
  setLimits({ headerTimeoutMs, idleTimeoutMs }: ClientLimits): void {
    this.callers.headersTimeout = headerTimeoutMs;
    this.callers.requestTimeout = Math.max(headerTimeoutMs, idleTimeoutMs);
    this.callers.keepAliveTimeout = idleTimeoutMs;
  }

  /** Number of responses that have been ended, and that slow callers have not taken yet. */
  get unsent(): number {
    return this.unsentResponses.count;
  }

  /** Stops accepting connections, and closes idle ones once slow callers have taken their responses. */
  stopAccepting(): void {
    this.unsentResponses.stopAccepting(this.callers);
  }

  async close(): Promise<void> {
    await this.options.intake.close();
    this.callers.close();
    this.readiness.close();
    this.callers.closeAllConnections();
    this.readiness.closeAllConnections();
  }

  private sendReadiness(message: IncomingMessage, response: ServerResponse): void {
    const isKnown = message.url === this.options.readinessPath;
    response.statusCode = isKnown ? (this.options.isReady() ? statusOk : statusUnavailable) : statusNotFound;
    response.end();
  }
}
