/*
 * Guards the memory of an entry against answers without end of the platform's services, which were read until the call's timeout.
 */
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import t from "tap";
import { CallEffect, callService, createPool } from "../src/plugins/httpCall.js";

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
