/*
 * Guards responses that have been ended and not sent yet: Node.js counts their connections as idle, and closing those discarded the rest.
 */
import { once } from "node:events";
import { createServer, get, type IncomingMessage, type Server } from "node:http";
import { connect, type Socket } from "node:net";
import t, { type Test } from "tap";
import { getListenAddress, listen, parseAddress, UnsentResponses } from "@gladewall/kernel";

/** More than the system buffers for a connection. */
const longBytes = 33_554_432;
const lengths: Readonly<Record<string, number>> = { "/short": 1, "/long": longBytes };

/** Starts a server that ends each response at once. */
async function startServer(t: Pick<Test, "teardown">) {
  const unsent = UnsentResponses.create();
  const server = createServer({ keepAliveTimeout: 600_000 }, ({ url = "" }, response) => {
    unsent.add(response);
    const length = lengths[url] ?? 0;
    response.writeHead(200, { "content-length": length });
    response.end(Buffer.alloc(length));
  });
  await listen(server, "127.0.0.1:0");
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return { server, unsent, address: parseAddress(getListenAddress(server)) };
}

/** Opens a connection that is idle after one response. */
async function openIdle(server: Server): Promise<Socket> {
  const socket = connect(parseAddress(getListenAddress(server)));
  socket.write("GET /short HTTP/1.1\r\nhost: a\r\n\r\n");
  await once(socket, "data");
  return socket;
}

t.test(
  "a server that stops accepting sends what it has ended, then closes its idle connections",
  async (t) => {
    const { server, unsent, address } = await startServer(t);
    const idle = await openIdle(server);
    const idleClosed = once(idle, "close");
    const caller = get({ ...address, path: "/long", agent: false });
    const [response] = (await once(caller, "response")) as [IncomingMessage];
    t.equal(unsent.count, 1);
    unsent.stopAccepting(server);
    t.notOk(server.listening);
    let bytes = 0;
    response.on("data", ({ length }: Buffer) => (bytes += length)).on("error", () => undefined);
    await once(response, "close");
    t.equal(bytes, longBytes);
    await idleClosed;
    t.equal(unsent.count, 0);
  },
);

t.test("a server with nothing to send closes its idle connections as it stops accepting", async (t) => {
  const { server, unsent } = await startServer(t);
  const idle = await openIdle(server);
  const closed = once(idle, "close");
  unsent.stopAccepting(server);
  await closed;
  t.notOk(server.listening);
});

t.test(
  "responses that wait for others of their connection are no longer counted once it is closed",
  async (t) => {
    const { server, unsent, address } = await startServer(t);
    const count = 4;
    let received = 0;
    const allReceived = new Promise<void>((resolve) => {
      server.on("request", () => void (++received === count && resolve()));
    });
    const socket = connect(address);
    socket.on("error", () => undefined);
    const [[accepted]] = (await Promise.all([once(server, "connection"), once(socket, "connect")])) as [
      [Socket],
      unknown,
    ];
    socket.write("GET /long HTTP/1.1\r\nhost: a\r\n\r\n".repeat(count));
    await allReceived;
    t.equal(unsent.count, count);
    const closed = new Promise<void>((resolve) => accepted.once("close", () => resolve()));
    socket.destroy();
    await closed;
    t.equal(unsent.count, 0);
  },
);
