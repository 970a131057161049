/**
 * HTTP server on a free loopback port that the fakes are built on; closing it closes its connections.
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Closeable } from "@gladewall/kernel";

/** Handles one request of a fake. */
export type FakeServerHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  url: URL,
) => Promise<void>;

const bodyLimit = 4_194_304;

/** One loopback HTTP server. */
export class FakeHttpServer implements Closeable {
  private constructor(private readonly server: Server) {}

  /** Starts a server on a free loopback port. */
  static async create(handle: FakeServerHandler): Promise<FakeHttpServer> {
    const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      const url = new URL(request.url ?? "/", "http://standin");
      handle(request, response, url).catch(() => response.destroy());
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    return new FakeHttpServer(server);
  }

  /** `host:port` of the server. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Closes the server and all connections at once, as a crash does. */
  async close(): Promise<void> {
    const done = new Promise<void>((resolve) => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await done;
  }
}

/** Reads a complete body as text; fails if it exceeds `bodyLimit` bytes. */
export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > bodyLimit) throw new Error("the request body exceeds the limit of the fake");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

/** Sends a JSON response. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}
