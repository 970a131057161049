/** Clients on loopback: one request a call, over a kept connection or a new one. */
import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";

export const keptConnections = new Agent({ keepAlive: true });
let nextId = 1;

/**
 * Sends one request; resolves with what its client has seen: `status` (0 without an answer), the headers, the body, and whether the
 * answer was whole. A client leaves after `giveUpMs`, if that is given.
 */
export function send({
  address,
  host = "app.example",
  path = "/",
  method = "POST",
  key,
  headers = {},
  body = "x",
  agent = false,
  giveUpMs,
}) {
  const id = `c${String(nextId++).padStart(6, "0")}`;
  const [ip, port] = address.split(":");
  const result = { id, address, path, sentAt: Date.now(), status: 0, whole: false, body: "" };
  return new Promise((resolve) => {
    const finish = (detail) => {
      if (result.endedAt !== undefined) return;
      result.endedAt = Date.now();
      clearTimeout(timer);
      if (detail !== undefined) result.detail = detail;
      resolve(result);
    };
    const sent = request({
      host: ip,
      port,
      path,
      method,
      agent,
      headers: {
        Host: host,
        "X-Gladewall-Request-Id": id,
        ...(key === undefined ? {} : { Authorization: `Token ${key}` }),
        ...(method === "GET" || "Transfer-Encoding" in headers
          ? {}
          : { "Content-Length": Buffer.byteLength(body) }),
        ...headers,
      },
    });
    sent.on("error", (error) => finish(error.message));
    sent.on("response", (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.setEncoding("utf8");
      response.on("data", (part) => (result.body += part));
      response.on("error", (error) => finish(error.message));
      response.on("close", () => {
        result.whole = response.complete;
        finish();
      });
    });
    const giveUp = () => sent.destroy(new Error("given up"));
    const timer = giveUpMs === undefined ? undefined : setTimeout(giveUp, giveUpMs);
    sent.end(method === "GET" ? undefined : body);
  });
}
