/*
 * Guards connections and memory against refusals whose body has no end: it was read for ever, after the request had been served
 * elsewhere, and nobody closed the connection.
 */
import type { Socket } from "node:net";
import {
  CallerEnd,
  type EndpointRequest,
  respondNotRun,
  respondSuccess,
  waitUntil,
} from "@gladewall/standins";
import t from "tap";
import { oncePath, startCutOffFleet } from "./cutOffFleet.js";

const chunk = `1000\r\n${"x".repeat(0x1000)}\r\n`;

/** Writes chunks until the connection is closed. */
function pour(socket: Socket): void {
  while (!socket.destroyed) {
    if (socket.write(chunk)) continue;
    socket.once("drain", () => pour(socket));
    return;
  }
}

/** Ways to refuse a request with a body that does not end. */
const refusals: Readonly<Record<string, (call: EndpointRequest) => void>> = {
  "a body without end": ({ id, socket }) => {
    socket.write(`HTTP/1.1 503 Busy\r\nx-id: ${id}\r\nx-not-run: 1\r\nTransfer-Encoding: chunked\r\n\r\n`);
    pour(socket);
  },
  "a body that does not come": ({ id, socket }) => {
    socket.write(`HTTP/1.1 503 Busy\r\nx-id: ${id}\r\nx-not-run: 1\r\nContent-Length: 10\r\n\r\nhalf`);
  },
  "a misdirected request, and a body without end": ({ id, socket }) => {
    socket.write(`HTTP/1.1 421 Other\r\nx-id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`);
    pour(socket);
  },
};

for (const [name, refuse] of Object.entries(refusals)) {
  t.test(`a refusal with ${name} is served elsewhere, and its connection is closed`, async (t) => {
    const { endpoints, call } = await startCutOffFleet(t, 1, 2);
    let refused: Socket | undefined;
    for (const endpoint of endpoints) {
      endpoint.script = (received) => {
        if (refused) return respondSuccess(received);
        refused = received.socket;
        refuse(received);
      };
    }
    t.match(await call(0, oncePath), { status: 200, end: CallerEnd.Framed });
    await waitUntil(() => refused!.destroyed);
    t.pass("closed");
  });
}

t.test("the connection of a short refusal is used again", async (t) => {
  const { endpoints, call } = await startCutOffFleet(t, 1, 1);
  const [endpoint] = endpoints;
  endpoint!.script = respondNotRun;
  await call(0, oncePath);
  const { connections } = endpoint!;
  endpoint!.script = respondSuccess;
  while ((await call(0, oncePath)).status !== 200);
  t.equal(endpoint!.connections, connections);
});
