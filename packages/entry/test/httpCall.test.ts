/*
 * Guards an entry against answers without end: those of the platform's services, and interim responses of anyone, were read until the
 * call's timeout, or the request's deadline.
 */
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, createServer as createTcpServer, type Socket } from "node:net";
import { createFromPlugin, FailureCode, PluginKind } from "@gladewall/kernel";
import t, { type Test } from "tap";
import { CallEffect, callService, createPool } from "../src/plugins/httpCall.js";
import type { Dispatch, EndpointClient, EndpointOptions, RunSink } from "../src/types.js";
import "../src/plugins/openaiEngine.js";
import "../src/plugins/webService.js";

const part = Buffer.alloc(65_536, " ");
const maxSentBytes = 67_108_864;
const call = { method: "GET", path: "/", effect: CallEffect.None, timeout: 20_000 } as const;

t.test("an answer without end is read up to a bound, and its connection is closed", async (t) => {
  let sentBytes = 0;
  const pour = (response: ServerResponse): void => {
    do sentBytes += part.length;
    while (!response.destroyed && response.write(part));
    if (!response.destroyed) response.once("drain", () => pour(response));
  };
  let isClosed: Promise<unknown> | undefined;
  const server = createServer((_, response) => {
    isClosed = new Promise((resolve) => response.once("close", resolve));
    pour(response);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const pool = createPool(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1_000);
  t.teardown(async () => {
    await pool.destroy();
    server.closeAllConnections();
    server.close();
  });
  const answer = await callService(pool, call);
  t.ok(answer.isErr());
  await isClosed;
  t.ok(sentBytes < maxSentBytes, `${sentBytes} bytes were taken`);
});

/** Interim responses that are sent at once, and bytes of them after which the server ends the connection. */
const interimPart = Buffer.from("HTTP/1.1 102 Processing\r\n\r\n".repeat(100));
const maxInterimBytes = 16_777_216;

/** Starts a server that sends interim responses until its connection is closed, or has taken `maxInterimBytes`. */
async function startInterimServer(t: Pick<Test, "teardown">) {
  const taken = { bytes: 0 };
  const pour = (socket: Socket): void => {
    if (taken.bytes >= maxInterimBytes) return void socket.end();
    taken.bytes += interimPart.length;
    socket.write(interimPart, (error) => {
      if (!error && !socket.destroyed) pour(socket);
    });
  };
  const server = createTcpServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => pour(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => server.close());
  return { taken, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

const envelope = { id: "r", method: "POST", path: "/", headers: [], body: Buffer.from("{}"), priority: 0 };
const dispatch = { envelope, runId: "r.1", attempt: 1, emitted: 0, emittedText: "" } as unknown as Dispatch;
const sink: RunSink = {
  setHead: () => undefined,
  setLoad: () => undefined,
  add: () => Promise.resolve(),
};

for (const name of ["openai-engine", "http-service"]) {
  t.test(`interim responses without end at ${name}`, async (t) => {
    const { taken, address } = await startInterimServer(t);
    const record = { id: "e", address };
    const options = { record, connectTimeout: 5_000, idleTimeout: 30_000 } as unknown as EndpointOptions;
    const created = createFromPlugin<EndpointOptions, EndpointClient>(PluginKind.Endpoint, name, options);
    const client = created.unwrap();
    t.teardown(() => client.close());
    const result = await client.run(dispatch, sink, new AbortController().signal);
    t.equal(result.isErr() && result.error.code, FailureCode.EndpointCut);
    t.ok(taken.bytes < maxInterimBytes, `${taken.bytes} bytes were taken`);
  });
}

t.test("interim responses without end of a service of the platform", async (t) => {
  const { taken, address } = await startInterimServer(t);
  const pool = createPool(address, 1_000);
  t.teardown(() => pool.destroy());
  t.ok((await callService(pool, call)).isErr());
  t.ok(taken.bytes < maxInterimBytes, `${taken.bytes} bytes were taken`);
});
