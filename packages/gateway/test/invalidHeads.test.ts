/*
 * Guards instances against bytes of endpoints that are parsed as the head of a response and are none: a status 000 or a control byte in
 * a reason phrase ended the process with all requests that it had open, and statuses above 599 reached callers.
 */
import { findHeadFault, HeadFault } from "@gladewall/gateway";
import {
  CallerEnd,
  type EndpointRequest,
  PathFault,
  respondSuccess,
  type ScriptedEndpoint,
  waitUntil,
} from "@gladewall/standins";
import type { Socket } from "node:net";
import t from "tap";
import { oncePath, resumablePath, startCutOffFleet, streamPath } from "./cutOffFleet.js";

/** Begins of heads that are none, by name; each is completed by the headers of a whole response. */
const invalidHeads: Readonly<Record<string, string>> = {
  "status 000": "HTTP/1.1 000 \r\n",
  "status 099": "HTTP/1.1 099 Early\r\n",
  "status 000 after an interim response": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 000 \r\n",
  "status 600": "HTTP/1.1 600 Unknown\r\n",
  "status 999": "HTTP/1.1 999 Unknown\r\n",
  "control byte in the reason phrase": "HTTP/1.1 200 O\x01K\r\n",
  "DEL in the reason phrase": "HTTP/1.1 200 O\x7fK\r\n",
  "control byte in the reason of a refusal": "HTTP/1.1 503 Bu\x02sy\r\nx-not-run: 1\r\nx-leaving: 1\r\n",
  "status 600 of a refusal": "HTTP/1.1 600 Busy\r\nx-not-run: 1\r\nx-leaving: 1\r\n",
  "another major version": "HTTP/2.0 200 OK\r\n",
  "a coding that nobody asked for": "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
};
const events = "id: 1\ndata: a\n\n";

/** Responds with a head that is none, signed and otherwise whole. */
function respondInvalid({ id, socket }: EndpointRequest, head: string): void {
  const isChunked = head.includes("chunked");
  const length = isChunked ? "" : `Content-Length: ${events.length}\r\n`;
  const body = isChunked ? `${events.length.toString(16)}\r\n${events}\r\n0\r\n\r\n` : events;
  const signed = `x-id: ${id}\r\nx-stamp: signed\r\nx-load: 9,9,1\r\nContent-Type: text/event-stream\r\n`;
  socket.write(Buffer.from(`${head}${signed}${length}\r\n${body}`, "latin1"));
}

/** Lets the first endpoint that is called respond with an invalid head, and the others well. */
function spoilFirst(endpoints: readonly ScriptedEndpoint[], head: string): void {
  let isFirst = true;
  for (const endpoint of endpoints) {
    endpoint.script = (call) => {
      if (isFirst) respondInvalid(call, head);
      else respondSuccess(call);
      isFirst = false;
    };
  }
}

for (const [name, head] of Object.entries(invalidHeads)) {
  t.test(`${name}: the request fails, and nothing else does`, async (t) => {
    const { endpoints, call, cut } = await startCutOffFleet(t, 2, 3);
    for (const way of ["directly", "through a peer"]) {
      for (const path of [oncePath, streamPath]) {
        spoilFirst(endpoints, head);
        const { status, end, headers } = await call(0, path);
        t.match({ status, end }, { status: 502, end: CallerEnd.Framed }, `${way}, ${path}`);
        t.notOk(headers["x-stamp"], "the gateway's own response");
      }
      for (const path of ["/", resumablePath]) {
        spoilFirst(endpoints, head);
        t.match(await call(0, path), { status: 200, headers: { "x-stamp": "signed" } }, `${way}, ${path}`);
      }
      for (const endpoint of endpoints) endpoint.script = undefined;
      t.equal((await call(0, oncePath)).status, 200, "no endpoint is believed to leave or to be full");
      cut(0, PathFault.Reset);
    }
  });
}

t.test("a head is one if it may be sent on as it is", (t) => {
  const head = {
    httpVersionMajor: 1,
    httpVersionMinor: 1,
    statusCode: 200,
    statusMessage: "Ça va\t~",
    rawHeaders: ["X-Name", "é \t~", "Empty", ""],
    headers: {},
  };
  t.equal(findHeadFault(head), undefined);
  t.equal(findHeadFault({ ...head, statusCode: 599 }), undefined);
  t.equal(findHeadFault({ ...head, statusCode: 204, headers: { "content-length": "0" } }), undefined);
  const chunked = { "transfer-encoding": "Chunked" };
  t.equal(findHeadFault({ ...head, headers: chunked }), undefined);
  const faults: readonly [Partial<typeof head>, HeadFault][] = [
    [{ statusCode: 199 }, HeadFault.Status],
    [{ rawHeaders: ["X[1]", "a"] }, HeadFault.HeaderName],
    [{ rawHeaders: ["", "a"] }, HeadFault.HeaderName],
    [{ rawHeaders: ["X", "a\0"] }, HeadFault.HeaderValue],
    [{ rawHeaders: ["X", "a\u0100"] }, HeadFault.HeaderValue],
    [{ statusCode: 204, headers: { "content-length": "3" } }, HeadFault.Framing],
    [{ statusCode: 204, headers: chunked }, HeadFault.Framing],
    [{ headers: { ...chunked, "content-length": "3" } }, HeadFault.Framing],
    [{ httpVersionMinor: 0, headers: chunked }, HeadFault.Framing],
    [{ headers: { "transfer-encoding": "chunked, chunked" } }, HeadFault.Framing],
  ];
  for (const [change, fault] of faults) t.equal(findHeadFault({ ...head, ...change }), fault);
  t.end();
});

// Guards the processor against interim responses without end: the other requests' p99 rose from 118 to 821 ms.
t.test("interim responses without end end the attempt, a few do not", async (t) => {
  const { endpoints, call } = await startCutOffFleet(t, 1, 2);
  const interim = "HTTP/1.1 102 Processing\r\n\r\n";
  let pouring: Socket | undefined;
  const pour = (socket: Socket): void => {
    while (socket.write(interim.repeat(100)));
    if (!socket.destroyed) socket.once("drain", () => pour(socket));
  };
  for (const endpoint of endpoints) {
    endpoint.script = (received) => {
      if (pouring) {
        received.socket.write(interim.repeat(20));
        return respondSuccess(received);
      }
      pouring = received.socket;
      pour(pouring);
    };
  }
  t.equal((await call(0, oncePath)).status, 502);
  await waitUntil(() => pouring!.destroyed);
  t.equal((await call(0, oncePath)).status, 200);
});
