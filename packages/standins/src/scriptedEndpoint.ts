/**
 * HTTP endpoint whose responses come from a script of the test, which can also write raw bytes to the connections.
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Closeable } from "@gladewall/kernel";

/** A request that the endpoint received, and the means to respond to it. */
export interface EndpointRequest {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  /** Connection of the request, for bytes that an HTTP library does not send. */
  readonly socket: Socket;
}

/** Responds to one request. */
export type EndpointScript = (call: EndpointRequest) => void;

/** A scripted endpoint on loopback. */
export class ScriptedEndpoint implements Closeable {
  readonly requests: EndpointRequest[] = [];
  connections = 0;
  private waiters: (() => void)[] = [];
  /** Address from the first start on, also while it does not listen. */
  address = "";

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
    endpoint.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    return endpoint;
  }

  /** Script that replaces the one given at creation. */
  script: EndpointScript | undefined;

  /** Resolves when at least `count` requests have arrived in all. */
  async waitForRequests(count: number): Promise<void> {
    while (this.requests.length < count) await new Promise<void>((resolve) => this.waiters.push(resolve));
  }

  /** Closes all connections and refuses new ones, as an endpoint does whose process has ended. */
  async stopListening(): Promise<void> {
    await this.close();
  }

  /** Listens at the same address again. */
  async listenAgain(): Promise<void> {
    const port = Number(this.address.slice(this.address.lastIndexOf(":") + 1));
    await new Promise<void>((resolve) => this.server.listen(port, "127.0.0.1", resolve));
  }

  async close(): Promise<void> {
    const done = new Promise<void>((resolve) => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await done;
  }
}

/** Responds 200 with a server stamp and a body that contains the request's id. */
export function respondSuccess({ id, response }: EndpointRequest): void {
  const body = `answer to ${id}`;
  const headers = { "content-type": "text/plain", "content-length": body.length };
  response.writeHead(200, { "x-id": id, "x-stamp": "signed", ...headers });
  response.end(body);
}

/** Responds 503 with the header which says that the request was not run. */
export function respondNotRun({ id, response }: EndpointRequest): void {
  response.writeHead(503, { "x-id": id, "x-not-run": "1", "content-length": 0 });
  response.end();
}

/** Starts an event stream; the test writes the events and ends it. */
export function startEventStream({ id, response }: EndpointRequest): void {
  response.writeHead(200, { "x-id": id, "x-stamp": "signed", "content-type": "text/event-stream" });
  response.flushHeaders();
}

/** Responds as `respondSuccess` does, and announces that the endpoint leaves. */
export function respondLeaving(call: EndpointRequest): void {
  call.response.setHeader("x-leaving", "1");
  respondSuccess(call);
}
