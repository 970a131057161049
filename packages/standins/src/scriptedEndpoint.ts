/**
 * An endpoint that answers as a test's script says, down to the bytes on its connections.
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Closeable } from "@gladewall/kernel";

/** A request as the endpoint got it. */
export interface EndpointRequest {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  /** For bytes that no HTTP library would send. */
  readonly socket: Socket;
}

/** Answers one request. */
export type EndpointScript = (call: EndpointRequest) => void;

/** One scripted endpoint on loopback. */
export class ScriptedEndpoint implements Closeable {
  readonly requests: EndpointRequest[] = [];
  connections = 0;
  private waiters: (() => void)[] = [];

  private constructor(
    readonly id: string,
    private readonly server: Server,
  ) {}

  /** Starts an endpoint on a free port. */
  static async create(id: string, script: EndpointScript = respondSuccess): Promise<ScriptedEndpoint> {
    const server = createServer({ keepAliveTimeout: 60_000 });
    const endpoint = new ScriptedEndpoint(id, server);
    server.on("connection", () => (endpoint.connections += 1));
    server.on("request", (message: IncomingMessage, response: ServerResponse) => {
      const parts: Buffer[] = [];
      message.on("data", (part: Buffer) => parts.push(part));
      message.on("end", () => {
        const call: EndpointRequest = {
          id: String(message.headers["x-id"]),
          method: message.method ?? "",
          target: message.url ?? "",
          headers: message.headers,
          body: Buffer.concat(parts).toString("utf8"),
          message,
          response,
          socket: message.socket,
        };
        endpoint.requests.push(call);
        for (const notify of endpoint.waiters.splice(0)) notify();
        (endpoint.script ?? script)(call);
      });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    return endpoint;
  }

  /** Replaces the script given at creation. */
  script: EndpointScript | undefined;

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Resolves when so many requests have arrived. */
  async waitForRequests(count: number): Promise<void> {
    while (this.requests.length < count) await new Promise<void>((resolve) => this.waiters.push(resolve));
  }

  async close(): Promise<void> {
    const done = new Promise<void>((resolve) => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await done;
  }
}

/** Answers with a signed body that names the endpoint's request. */
export function respondSuccess({ id, response }: EndpointRequest): void {
  const body = `answer to ${id}`;
  response.writeHead(200, { "x-id": id, "x-stamp": "signed", "content-length": body.length });
  response.end(body);
}

/** Answers that the request was not run. */
export function respondNotRun({ id, response }: EndpointRequest): void {
  response.writeHead(503, { "x-id": id, "x-not-run": "1", "content-length": 0 });
  response.end();
}

/** Begins a stream; the test writes events and ends it. */
export function startEventStream({ id, response }: EndpointRequest): void {
  response.writeHead(200, { "x-id": id, "x-stamp": "signed", "content-type": "text/event-stream" });
  response.flushHeaders();
}

/** Answers well, and says that the endpoint leaves. */
export function respondLeaving(call: EndpointRequest): void {
  call.response.setHeader("x-leaving", "1");
  respondSuccess(call);
}
