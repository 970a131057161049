/**
 * The HTTP server for operators: health, readiness and metrics without authentication, and status and explanations of
 * requests with the operator key.
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { timingSafeEqual } from "node:crypto";
import { type Closeable, Failure, FailureCode, getListenAddress, listen } from "@gladewall/kernel";
import { formatExplanation, getKeyHash } from "@gladewall/policy";
import type { EntryMetrics } from "./entryMetrics.js";
import type { EntrySettings } from "./entrySettings.js";
import type { DecisionHistory } from "./decisionHistory.js";
import { sendProblem } from "./problem.js";

/** Components that the server reads from. */
export interface OperatorServerParts {
  readonly settings: EntrySettings["operators"];
  readonly metrics: EntryMetrics;
  readonly history: DecisionHistory;
  /** Returns the reason for which the entry accepts no requests, or undefined while it accepts them. */
  getUnreadyReason(): string | undefined;
  /** Returns the status of the entry and the instances that it knows, as JSON values. */
  getStatus(): unknown;
}

type OperatorHandler = (response: ServerResponse, match: RegExpExecArray, url: URL) => void;

interface OperatorRoute {
  readonly pattern: RegExp;
  readonly needsKey: boolean;
  readonly handle: OperatorHandler;
}

/** Listens for operators and serves their routes. */
export class OperatorServer implements Closeable {
  private readonly server: Server;
  private readonly routes: readonly OperatorRoute[];

  private constructor(private readonly parts: OperatorServerParts) {
    this.server = createServer((request, response) => this.handle(request, response));
    this.routes = [
      { pattern: /^\/healthz$/, needsKey: false, handle: (response) => sendText(response, 200, "ok\n") },
      { pattern: /^\/readyz$/, needsKey: false, handle: (response) => this.sendReadiness(response) },
      { pattern: /^\/metrics$/, needsKey: false, handle: (response) => this.sendMetrics(response) },
      {
        pattern: /^\/v1\/status$/,
        needsKey: true,
        handle: (response) => sendJson(response, this.parts.getStatus()),
      },
      {
        pattern: /^\/v1\/explain\/request\/([A-Za-z0-9._~-]+)$/,
        needsKey: true,
        handle: (response, match) => this.sendExplanation(response, match[1] ?? ""),
      },
    ];
  }

  static create(parts: OperatorServerParts): OperatorServer {
    return new OperatorServer(parts);
  }

  /** Starts to listen and returns the address as `host:port`. */
  async open(): Promise<string> {
    await listen(this.server, this.parts.settings.listen);
    return this.address;
  }

  get address(): string {
    return getListenAddress(this.server);
  }

  async close(): Promise<void> {
    const done = new Promise<void>((resolve) => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await done;
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? "/", "http://operators");
    for (const route of this.routes) {
      const match = route.pattern.exec(url.pathname);
      if (!match) continue;
      if (route.needsKey && !this.isOperator(request)) {
        return sendProblem(response, Failure.create(FailureCode.OperatorUnauthorized), "");
      }
      return route.handle(response, match, url);
    }
    sendProblem(response, Failure.create(FailureCode.NotFound), "");
  }

  private isOperator(request: IncomingMessage): boolean {
    const expected = Buffer.from(this.parts.settings.key_hash, "hex");
    const key = /^Bearer (.+)$/.exec(request.headers.authorization ?? "")?.[1] ?? "";
    const given = Buffer.from(getKeyHash(key), "hex");
    return expected.length === given.length && timingSafeEqual(expected, given);
  }

  private sendReadiness(response: ServerResponse): void {
    const reason = this.parts.getUnreadyReason();
    if (reason === undefined) sendText(response, 200, "ready\n");
    else sendText(response, 503, `${reason}\n`);
  }

  private sendMetrics(response: ServerResponse): void {
    response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
    response.end(this.parts.metrics.registry.format());
  }

  private sendExplanation(response: ServerResponse, request: string): void {
    const decisions = this.parts.history.get(request);
    if (!decisions)
      return sendProblem(
        response,
        Failure.create(FailureCode.ExplanationForgotten, { subject: request }),
        request,
      );
    sendJson(response, { request, decisions, text: formatExplanation(request, decisions) });
  }
}

function sendText(response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { "content-type": "text/plain" });
  response.end(text);
}

function sendJson(response: ServerResponse, value: unknown): void {
  response.writeHead(200, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
