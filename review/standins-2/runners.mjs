/**
 * Stand-ins of runners on loopback: each has an id, an address and slots, runs one request for each connection at a time, and answers
 * 421 to a request that names another one. What ran is recorded.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

/** The runners of one service. */
export class Runners {
  /** Runs in the order of their begin: id of the request, runner, begin, end, whether the connection outlasted it. */
  runs = [];
  #servers = [];

  /** `work` serves one request that has been read: it gets the run, the request, its body and the response. */
  constructor(platform, { service, zone = "zogno", slots = 64, version = "v1", work }) {
    Object.assign(this, { platform, service, zone, slots, version, work });
  }

  /** Starts a runner and records it in the store. */
  async start(id, host) {
    const server = createServer(
      { keepAliveTimeout: 30_000 },
      (message, response) => void this.#serve(id, message, response),
    );
    await new Promise((resolve) => server.listen(0, host, resolve));
    const { service, zone, slots, version } = this;
    const addr = `${host}:${server.address().port}`;
    this.#servers.push(server);
    const record = { service, addr, zone, version, slots, state: "ready", cold_left_ms: 0, seq: 1 };
    this.platform.put(`servers/${id}`, record);
    return { id, addr, record, server };
  }

  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  async #serve(id, message, response) {
    response.on("error", () => undefined);
    const chunks = [];
    try {
      for await (const chunk of message) chunks.push(chunk);
    } catch {
      return;
    }
    const { headers, method, url } = message;
    const request = headers["x-gladewall-request-id"];
    if (
      headers["x-gladewall-expect-instance"] !== undefined &&
      headers["x-gladewall-expect-instance"] !== id
    ) {
      response.writeHead(421, { "X-Gladewall-Request-Id": request, "Content-Length": 0 });
      return void response.end();
    }
    const run = { request, runner: id, method, url, tenant: headers["x-gladewall-tenant"], at: Date.now() };
    this.runs.push(run);
    response.once("close", () => {
      run.endedAt = Date.now();
      run.whole = response.writableFinished;
    });
    response.setHeader("X-Gladewall-Request-Id", request);
    response.setHeader("X-Gladewall-Server-Stamp", `${id}.${this.runs.length}`);
    await this.work(run, message, Buffer.concat(chunks), response);
  }
}
