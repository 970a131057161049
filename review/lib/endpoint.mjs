// Stand-in of one runner of a plain web service. It follows the users' pages: it refuses a request that names another runner with 421,
// echoes the request's id, signs its answers and tells its load. A case may replace the bytes of single answers.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout, clearTimeout } from "node:timers";

let lastStamp = 0;

/**
 * Starts a runner. `getWorkMs` returns the time that a request takes; `respond` may write an answer's bytes to the socket itself and then
 * returns true. Every run is added to `runs`.
 */
export async function startEndpoint({ id, service, zone, slots, runs, getWorkMs, respond = () => false }) {
  let running = 0;
  const server = createServer({ keepAliveTimeout: 30_000 }, (message, response) => {
    const { headers, method, url } = message;
    const requestId = headers["x-gladewall-request-id"];
    const common = { "X-Gladewall-Request-Id": requestId };
    if (
      headers["x-gladewall-expect-instance"] !== undefined &&
      headers["x-gladewall-expect-instance"] !== id
    ) {
      message.resume();
      response.writeHead(421, { ...common, "Content-Length": 0 });
      return void response.end();
    }
    const parts = [];
    message.on("data", (part) => parts.push(part));
    message.on("end", () => {
      const stamp = `${id}.${(lastStamp += 1)}`;
      const run = { id: requestId, endpoint: id, stamp, method, url, at: performance.now(), headers };
      run.bytes = Buffer.concat(parts).length;
      runs.push(run);
      running += 1;
      const timer = setTimeout(() => {
        running -= 1;
        run.endedAt = performance.now();
        const load = `${running},0,${slots}`;
        if (respond({ run, socket: message.socket, response, load })) return;
        const body = `answer of ${stamp} to ${requestId}\n`;
        response.writeHead(200, {
          ...common,
          "X-Gladewall-Server-Stamp": stamp,
          "X-Gladewall-Server-Load": load,
          "Content-Type": "text/plain",
          "Content-Length": Buffer.byteLength(body),
        });
        response.end(body);
      }, getWorkMs());
      response.on("close", () => {
        if (run.endedAt !== undefined) return;
        clearTimeout(timer);
        running -= 1;
        run.endedAt = performance.now();
        run.isDropped = true;
      });
    });
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  const address = `127.0.0.1:${server.address().port}`;
  return {
    id,
    key: `servers/${id}`,
    record: { service, addr: address, zone, version: "1", slots, state: "ready", cold_left_ms: 0, seq: 1 },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
