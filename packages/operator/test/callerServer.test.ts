import { once } from "node:events";
import { connect } from "node:net";
import t from "tap";
import { Logger } from "@gladewall/kernel";
import { fastEngineOptions, RunState } from "@gladewall/standins";
import { LocalFleet, sampleConfiguration, sampleKeys } from "../src/index.js";

const fleet = await LocalFleet.create({
  entries: 2,
  runners: 1,
  webEndpoints: 1,
  halls: ["zogno", "piazza"],
  configuration: sampleConfiguration,
  engine: { ...fastEngineOptions, tokenIntervalMs: 5 },
  logger: Logger.createSilent(),
  overrides: ["front.body_timeout=100", "front.body_bytes=2000", "requests.resume_grace=0"],
});
t.teardown(() => fleet.close());
const port = Number(fleet.entries[0]?.addresses.front.split(":")[1]);
const key = `Authorization: Bearer ${sampleKeys.cab}`;

/** Sends lines and a body over a raw socket and returns the status line of the response. */
async function send(lines: readonly string[], body = ""): Promise<string> {
  const socket = connect(port, "127.0.0.1");
  socket.write(`${lines.join("\r\n")}\r\n\r\n${body}`);
  const [bytes] = (await once(socket, "data")) as [Buffer];
  socket.destroy();
  return bytes.toString().split("\r\n")[0] ?? "";
}

t.test("refuses requests that two parsers could read differently", async (t) => {
  const post = ["POST /s/booking/bookings HTTP/1.1", "Host: a", key];
  const cases: readonly (readonly string[])[] = [
    [...post, "Content-Length: 3", "Transfer-Encoding: chunked"],
    [...post, "Content-Length: 3", "Content-Length: 4"],
    [...post, "Transfer-Encoding: gzip, chunked"],
    [...post, "Host: b", "Content-Length: 0"],
    ["GET http://other/v1/models HTTP/1.1", "Host: a", key],
  ];
  for (const lines of cases) t.match(await send(lines, "abc"), /^HTTP\/1.1 400/, lines.slice(-2).join(" | "));
  t.equal(fleet.getRecords().calls.length, 0);
});

t.test("refuses a slow sender and a large body without sending them to an endpoint", async (t) => {
  const post = ["POST /v1/completions HTTP/1.1", "Host: a", key];
  t.match(await send([...post, "Content-Length: 100"], "{"), /^HTTP\/1.1 408/);
  t.match(await send([...post, "Content-Length: 5000"], "{"), /^HTTP\/1.1 413/);
  t.equal(fleet.getRecords().runs.length, 0);
});

t.test("cancels the run of a request without a key after its caller disconnects", async (t) => {
  const body = JSON.stringify({ model: "model", prompt: "gone", max_tokens: 5_000, stream: true });
  const lines = ["POST /v1/completions HTTP/1.1", "Host: a", key, `Content-Length: ${body.length}`];
  t.match(await send(lines, body), /^HTTP\/1.1 200/);
  const run = fleet.getRecords().runs.find(({ prompt }) => prompt === "gone");
  while (run?.state === RunState.Running) await new Promise((resolve) => setImmediate(resolve));
  t.equal(run?.state, RunState.Cancelled);
});
