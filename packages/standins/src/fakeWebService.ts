/**
 * Fake web service: bookings, which must not be retried, pages, an echo that streams in both directions, and a load
 * report.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { type Clock, type Closeable, SystemClock, waitFor } from "@gladewall/kernel";
import { FakeHttpServer, readText, sendJson } from "./fakeHttpServer.js";

/** Fault of a web endpoint. */
export enum WebFault {
  None = 0,
  /** Does the work, then closes the connection without a response. */
  CutAfterWork = 1,
  /** Refuses with 503 and a header that says that the work was not started. */
  Refuse = 2,
  /** Accepts the request and never responds. */
  Silent = 3,
  /** Sends half of the body, then closes the connection. */
  HalfBody = 4,
  /** Does the work, then sends `rawResponse` in place of a response and closes the connection. */
  Raw = 5,
}

/** One call that the service executed. */
export interface WebRecord {
  readonly requestId: string;
  readonly runId: string;
  readonly attempt: number;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** Number of concurrent calls that the load report states as capacity. */
const width = 64;

/** The server of the service. */
export class FakeWebService implements Closeable {
  /** All executed calls, in order. */
  readonly records: WebRecord[] = [];
  fault = WebFault.None;
  rawResponse = "";
  /** Milliseconds of work per call. */
  workTimeMs = 1;
  private active = 0;
  private server: FakeHttpServer | undefined;

  private constructor(private readonly clock: Clock) {}

  static async create(clock: Clock = SystemClock.create()): Promise<FakeWebService> {
    const fake = new FakeWebService(clock);
    fake.server = await FakeHttpServer.create((request, response, url) =>
      fake.handle(request, response, url),
    );
    return fake;
  }

  get address(): string {
    return this.server?.address ?? "";
  }

  async close(): Promise<void> {
    await this.server?.close();
  }

  private async handle(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    if (url.pathname === "/load") return sendJson(response, 200, { running: this.active, queued: 0, width });
    if (url.pathname === "/echo") return this.echo(request, response);
    const body = await readText(request);
    if (this.fault === WebFault.Silent) return;
    if (this.fault === WebFault.Refuse) {
      response.setHeader("x-run-started", "no");
      return sendJson(response, 503, { detail: "no room" });
    }
    this.active += 1;
    await waitFor(this.clock, this.workTimeMs);
    this.active -= 1;
    const record = this.createRecord(request, url, body);
    this.records.push(record);
    if (this.fault === WebFault.CutAfterWork) return void response.destroy();
    if (this.fault === WebFault.Raw) return void response.socket?.end(this.rawResponse, "latin1");
    this.respond(response, record);
  }

  private async echo(request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.writeHead(200, {
      "content-type": request.headers["content-type"] ?? "application/octet-stream",
    });
    await pipeline(request, response);
  }

  private createRecord(request: IncomingMessage, url: URL, body: string): WebRecord {
    return {
      requestId: String(request.headers["x-request-id"] ?? ""),
      runId: String(request.headers["x-run-id"] ?? ""),
      attempt: Number(request.headers["x-attempt"] ?? "0"),
      method: request.method ?? "",
      path: `${url.pathname}${url.search}`,
      body,
    };
  }

  private respond(response: ServerResponse, record: WebRecord): void {
    const number = this.records.length;
    const text = JSON.stringify({
      confirmation: `${number}`,
      path: record.path,
      method: record.method,
      body: record.body,
    });
    response.writeHead(record.method === "POST" ? 201 : 200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
      "x-load": `${this.active}/0/${width}`,
    });
    if (this.fault !== WebFault.HalfBody) return void response.end(text);
    response.write(text.slice(0, text.length / 2), () => response.destroy());
  }
}
