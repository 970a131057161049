/*
 * Guards an instance against responses in chunks of one byte. Each read of a connection was some 11,000 parts, which the parser hands out
 * before anything can pause it.
 */
import { once } from "node:events";
import { createServer, type IncomingMessage, request } from "node:http";
import type { AddressInfo } from "node:net";
import { pauseReading, PoolAgent, resumeReading } from "@gladewall/gateway";
import t, { type Test } from "tap";

const bodyBytes = 200_000;
const chunk = "1\r\nx\r\n";
/** Parts that one read of a connection may bring. */
const maxParts = 8_192 / chunk.length;
/** Requests over other connections; each takes a turn of the loop in which all connections that have bytes are read. */
const turns = 50;

async function startServer(t: Pick<Test, "teardown">) {
  const connections = new Set<unknown>();
  const server = createServer((message, response) => {
    connections.add(message.socket);
    if (message.url === "/") return void response.end("ok");
    const { socket } = response;
    socket!.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunk.repeat(bodyBytes)}`);
    socket!.write("0\r\n\r\n", () => response.detachSocket(socket!));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const call = async (path: string, agent: PoolAgent): Promise<IncomingMessage> => {
    const sent = request({ host: "127.0.0.1", port, path, agent });
    sent.end();
    const [response] = (await once(sent, "response")) as [IncomingMessage];
    return response;
  };
  return { call, connections };
}

t.test(
  "a response in chunks of one byte that is paused at its first part buffers no more than a read",
  async (t) => {
    const { call } = await startServer(t);
    const [agent, others] = [new PoolAgent(), new PoolAgent()];
    t.teardown(() => {
      agent.destroy();
      others.destroy();
    });
    const response = await call("/small", agent);
    let received = 0;
    response.on("data", () => (received += 1));
    response.once("data", () => pauseReading(response));
    for (let turn = 0; turn < turns; turn++) await once((await call("/", others)).resume(), "end");
    t.equal(received, 1);
    t.ok(response.readableLength <= maxParts, `${response.readableLength} parts are buffered`);
    resumeReading(response);
    await once(response, "end");
    t.equal(received, bodyBytes);
  },
);

t.test(
  "a response that ends in the read in which it is paused leaves its connection to others",
  async (t) => {
    const { call, connections } = await startServer(t);
    const agent = new PoolAgent();
    t.teardown(() => agent.destroy());
    for (let index = 0; index < 5; index++) {
      const response = await call("/", agent);
      pauseReading(response);
      response.on("data", () => undefined);
      resumeReading(response);
      await once(response, "end");
    }
    t.equal(connections.size, 1);
  },
);
