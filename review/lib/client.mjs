// Stand-in of a client with one kept connection. Every attempt carries an id of its own; the client obeys `Connection: close` and the time
// in `Keep-Alive`, and does not repeat a request that may have run.
import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import { performance } from "node:perf_hooks";

const portOfCallers = 8_221;
let lastId = 0;

export function createId() {
  lastId += 1;
  return (0x9c41d07b00000000n + BigInt(lastId)).toString(16);
}

/** Creates a client of one instance. */
export function createClient(instance, { host = "app.example", key, deadlineMs = 1_500 }) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1, scheduling: "lifo" });
  return {
    instance,
    /** Sends one request; resolves with what was received. `status` is 0 if there was no answer. */
    send({ method = "GET", path, body, headers = {}, tokens }) {
      const id = createId();
      const sent = {
        id,
        instance: instance.name,
        life: instance.starts,
        method,
        path,
        at: performance.now(),
        status: 0,
        isComplete: false,
      };
      return new Promise((resolve) => {
        const call = request({
          host: instance.ip,
          port: portOfCallers,
          agent,
          method,
          path,
          headers: {
            Host: host,
            "X-Gladewall-Request-Id": id,
            "X-Gladewall-Deadline-Ms": deadlineMs,
            ...(key === undefined ? {} : { Authorization: `Token ${key}` }),
            ...(tokens === undefined ? {} : { "X-Gladewall-Token-Count": tokens }),
            ...(body === undefined ? {} : { "Content-Length": Buffer.byteLength(body) }),
            ...headers,
          },
        });
        const finish = (fields) => resolve({ ...sent, ...fields, tookMs: performance.now() - sent.at });
        call.setTimeout(deadlineMs + 500, () => call.destroy(new Error("deadline")));
        call.on("error", (error) =>
          finish({ error: error.code ?? error.message, isKept: call.reusedSocket }),
        );
        call.on("response", (answer) => {
          const parts = [];
          answer.on("data", (part) => parts.push(part));
          answer.on("error", () => undefined);
          answer.on("close", () =>
            finish({
              status: answer.statusCode,
              headers: answer.headers,
              body: Buffer.concat(parts).toString("utf8"),
              isComplete: answer.complete,
              isKept: call.reusedSocket,
            }),
          );
        });
        call.end(body);
      });
    },
    close: () => agent.destroy(),
  };
}
