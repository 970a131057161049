/*
 * Guards the memory of an instance against bodies without end, which it held until the route's timeout: 880 to 2,097 MB for six
 * endpoints that send one of 35 so. Bodies of any length arrive whole, as fast as their callers read.
 */
import { createHash } from "node:crypto";
import { type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import { HeldBytes } from "@gladewall/gateway";
import {
  type BenchInstance,
  CallerEnd,
  connectAndTrackEnd,
  type EndpointRequest,
  PathFault,
  RawEnd,
  RawFraming,
  readCallerEnd,
  respondRaw,
  respondSuccess,
  waitUntil,
} from "@gladewall/standins";
import t from "tap";
import { oncePath, resumablePath, startCutOffFleet } from "./cutOffFleet.js";

const framings = [RawFraming.Length, RawFraming.Chunked, RawFraming.Unframed];
const partBytes = 65_536;
const part = Buffer.alloc(partBytes, "gladewall");
const megabyte = 1_048_576;

/** How a caller reads a response. */
interface CallerReading {
  readonly path?: string;
  readonly deadlineMs?: number;
  /** Called with the bytes read so far; reading goes on once it resolves. */
  readonly wait?: (bytes: number) => Promise<void>;
}

function createHead(id: string, framing: RawFraming, length: number, type?: string): string {
  const frames: Readonly<Record<RawFraming, string>> = {
    [RawFraming.Length]: `Content-Length: ${length}\r\n`,
    [RawFraming.Chunked]: "Transfer-Encoding: chunked\r\n",
    [RawFraming.Unframed]: "",
  };
  const typeHeader = type === undefined ? "" : `Content-Type: ${type}\r\n`;
  return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-stamp: signed\r\n${typeHeader}${frames[framing]}\r\n`;
}

/** Resolves when a connection takes more; false once it is closed. */
function writePart(socket: Socket, bytes: Buffer): Promise<boolean> {
  return new Promise((resolve) => {
    if (socket.destroyed) return resolve(false);
    socket.once("close", () => resolve(false));
    socket.write(bytes, () => resolve(!socket.destroyed));
  });
}

/** Sends a body of some length, without end if it is infinite, no faster than it is read. Returns the bytes that were taken. */
async function sendBody({ id, socket }: EndpointRequest, framing: RawFraming, length: number, type?: string) {
  const sent = { bytes: 0, isClosed: false };
  socket.setMaxListeners(0);
  socket.once("close", () => (sent.isClosed = true));
  socket.write(createHead(id, framing, length === Infinity ? 999_999_999_999 : length, type));
  const isChunked = framing === RawFraming.Chunked;
  const frame = (bytes: Buffer): Buffer =>
    isChunked
      ? Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from("\r\n")])
      : bytes;
  void (async () => {
    while (sent.bytes < length) {
      const bytes = part.subarray(0, Math.min(partBytes, length - sent.bytes));
      if (!(await writePart(socket, frame(bytes)))) return;
      sent.bytes += bytes.length;
    }
    if (isChunked) socket.write("0\r\n\r\n");
    if (framing === RawFraming.Unframed) socket.end();
  })();
  return sent;
}

/** Reads a response and returns how it ended, and the digest of its body. */
function readResponse({ settings }: BenchInstance, { path = oncePath, deadlineMs, wait }: CallerReading) {
  const [host, port] = settings.listen.callers.split(":");
  const headers = {
    host: "app.test",
    "x-id": `long-${Math.random()}`,
    ...(deadlineMs !== undefined && { "x-deadline": deadlineMs }),
  };
  return new Promise<{ status: number; end: CallerEnd; bytes: number; digest: string }>((resolve) => {
    const digest = createHash("sha1");
    let bytes = 0;
    const sent = request({ host, port, method: "POST", path, headers, createConnection: connectAndTrackEnd });
    let hasResponse = false;
    // A reset in the middle of a response is reported here too; the response then ends by itself.
    sent.on("error", () => {
      if (!hasResponse) resolve({ status: 0, end: CallerEnd.None, bytes, digest: "" });
    });
    sent.on("response", (response: IncomingMessage) => {
      hasResponse = true;
      response.on("data", (data: Buffer) => {
        bytes += data.length;
        digest.update(data);
        if (!wait) return;
        response.pause();
        void wait(bytes).then(() => response.resume());
      });
      response.on("error", () => undefined);
      response.on("close", () => {
        const end = readCallerEnd(response);
        resolve({ status: response.statusCode ?? 0, end, bytes, digest: digest.digest("hex") });
      });
    });
    sent.end();
  });
}

function getDigest(length: number): string {
  const digest = createHash("sha1");
  for (let sent = 0; sent < length; sent += partBytes)
    digest.update(part.subarray(0, Math.min(partBytes, length - sent)));
  return digest.digest("hex");
}

const nextTurn = () => new Promise<void>((resolve) => setImmediate(resolve));

t.test("bodies of all lengths and framings arrive whole, by callers that read fast and slowly", async (t) => {
  const { bench, endpoints, cut } = await startCutOffFleet(t, 2, 2);
  const lengths = [1, megabyte, megabyte + 1, 16 * megabyte + 7];
  for (const way of ["directly", "through a peer"]) {
    for (const framing of framings) {
      for (const length of lengths) {
        for (const endpoint of endpoints) endpoint.script = (call) => void sendBody(call, framing, length);
        for (const wait of [undefined, nextTurn]) {
          const { end, bytes, digest } = await readResponse(bench.instances[0]!, wait ? { wait } : {});
          const name = `${way}, ${RawFraming[framing]}, ${length} bytes, ${wait ? "slowly" : "fast"}`;
          t.equal(bytes, length, name);
          t.equal(digest, getDigest(length), name);
          const isUnframed = framing === RawFraming.Unframed;
          t.equal(end, isUnframed ? CallerEnd.Closed : CallerEnd.Framed, name);
        }
      }
    }
    cut(0, PathFault.Reset);
  }
});

t.test(
  "a body without end is read no faster than its caller takes it, and ends with the route's timeout",
  async (t) => {
    const { bench, endpoints } = await startCutOffFleet(t, 1, 2);
    const instance = bench.instances[0]!;
    for (const framing of framings) {
      let sent: Awaited<ReturnType<typeof sendBody>> | undefined;
      for (const endpoint of endpoints)
        endpoint.script = (call) => void sendBody(call, framing, Infinity).then((one) => (sent = one));
      const wait = () => waitUntil(() => sent?.isClosed === true);
      const { status, end } = await readResponse(instance, { deadlineMs: 500, wait });
      t.equal(status, 200);
      t.equal(end, CallerEnd.Broken, RawFraming[framing]);
      t.ok(sent!.bytes < 16 * megabyte, `${sent!.bytes} bytes were read for a caller that reads none`);
    }
    for (const endpoint of endpoints) endpoint.script = respondSuccess;
    t.equal((await bench.call(instance, { path: oncePath, method: "POST" })).status, 200);
  },
);

t.test("a body without end for a caller that reads fast ends with the caller's deadline", async (t) => {
  const { bench, endpoints } = await startCutOffFleet(t, 1, 1);
  const { heldResponses } = (
    bench.instances[0]!.gateway as unknown as { parts: { heldResponses: HeldBytes } }
  ).parts;
  for (const framing of framings) {
    let sent: Awaited<ReturnType<typeof sendBody>> | undefined;
    endpoints[0]!.script = (call) => void sendBody(call, framing, Infinity).then((one) => (sent = one));
    const all = Array.from({ length: 8 }, () => readResponse(bench.instances[0]!, { deadlineMs: 400 }));
    for (const { end } of await Promise.all(all)) t.equal(end, CallerEnd.Broken);
    await waitUntil(() => sent?.isClosed === true);
  }
  await waitUntil(() => heldResponses.held === 0);
});

t.test("a response that its caller takes slowly goes on after the route's timeout", async (t) => {
  const { bench, endpoints } = await startCutOffFleet(t, 1, 1);
  const length = 16 * megabyte;
  const takenMs = 2_600;
  for (const framing of framings) {
    endpoints[0]!.script = (call) => void sendBody(call, framing, length);
    const startedAt = performance.now();
    const wait = (bytes: number) =>
      new Promise<void>((resolve) => {
        setTimeout(resolve, startedAt + (bytes / length) * takenMs - performance.now());
      });
    const { bytes, end } = await readResponse(bench.instances[0]!, { wait });
    t.equal(bytes, length, RawFraming[framing]);
    t.not(end, CallerEnd.Broken);
  }
});

t.test(
  "a long response that is broken off does not look complete, and a long failure is retried",
  async (t) => {
    const { bench, endpoints } = await startCutOffFleet(t, 1, 2);
    const body = Buffer.alloc(2 * megabyte);
    for (const endpoint of endpoints) {
      endpoint.script = ({ id, socket }) => {
        socket.write(createHead(id, RawFraming.Length, 3 * megabyte));
        socket.end(body);
      };
    }
    for (const path of ["/", oncePath]) {
      const { status, end, bytes } = await readResponse(bench.instances[0]!, { path });
      t.match({ status, end }, { status: 200, end: CallerEnd.Broken });
      t.ok(bytes <= body.length);
    }
    let arrivals = 0;
    for (const endpoint of endpoints) {
      endpoint.script = (call) => {
        if (arrivals++ > 0) return respondSuccess(call);
        call.socket.write(createHead(call.id, RawFraming.Length, 3 * megabyte).replace("200 OK", "500 No"));
        call.socket.write(body);
      };
    }
    t.match(await readResponse(bench.instances[0]!, { path: "/" }), { status: 200, end: CallerEnd.Framed });
  },
);

t.test("a long response that comes after a stream has begun is ended at its endpoint too", async (t) => {
  const { bench, endpoints } = await startCutOffFleet(t, 1, 2);
  const instance = bench.instances[0]!;
  for (const framing of framings) {
    let isFirst = true;
    let sent: Awaited<ReturnType<typeof sendBody>> | undefined;
    for (const endpoint of endpoints) {
      endpoint.script = (call) => {
        if (isFirst) respondRaw(call, { framing, body: "id: 1\ndata: a\n\nid: 2", end: RawEnd.FrameClosed });
        else void sendBody(call, framing, Infinity, "text/plain").then((one) => (sent = one));
        isFirst = false;
      };
    }
    t.equal((await readResponse(instance, { path: resumablePath })).end, CallerEnd.Broken);
    await waitUntil(() => sent?.isClosed === true);
  }
});

t.test("the largest body gives way while more bytes are held than may be", (t) => {
  const held = HeldBytes.create(100);
  const given: string[] = [];
  const small = held.open(() => given.push("small"));
  const large = held.open(() => given.push("large"));
  const firm = held.open();
  t.ok(small.set(30));
  t.ok(large.set(60));
  t.notOk(firm.set(80));
  t.same(given, ["large"], "not one that can't give way");
  t.notOk(small.set(31));
  t.notOk(small.set(32));
  t.same(given, ["large", "small"], "each is asked once");
  large.close();
  firm.close();
  t.equal(held.held, 32);
  t.ok(small.set(100));
  small.close();
  t.equal(held.held, 0);
  t.end();
});
