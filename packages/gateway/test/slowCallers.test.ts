/*
 * Guards responses that slow callers are still reading when their instance is stopped: once a response had been ended, its request
 * counted as done, so that the instance closed the connection, or the process ended, before the rest was sent.
 */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import t, { type Test } from "tap";
import { Logger, LogLevel } from "@gladewall/kernel";
import {
  type BenchInstance,
  createRoute,
  type EndpointRequest,
  GatewayTestBench,
  ScriptedEndpoint,
} from "@gladewall/standins";

/** Each response is held until it is complete, and all of them are more than the system buffers for a connection. */
const bodyBytes = 1_000_000;
const responses = 24;
/** What a slow caller reads before it pauses. Without what the system buffers, it takes longer than an idle instance takes to stop. */
const partBytes = 1_000_000;
const partPauseMs = 40;
const body = Buffer.alloc(bodyBytes, "slow");
const headPattern = /HTTP\/1\.1 200[^]*?\r\n\r\n/;

function respondLong({ id, response }: EndpointRequest): void {
  response.writeHead(200, { "x-id": id, "x-stamp": "signed", "content-length": bodyBytes });
  response.end(body);
}

function getPort({ settings }: BenchInstance): number {
  const { callers } = settings.listen;
  return Number(callers.slice(callers.lastIndexOf(":") + 1));
}

/** Starts an instance, and a caller that has sent many requests on one connection and reads nothing; resolves once all are served. */
async function startUnread(t: Pick<Test, "teardown">, overrides: readonly string[]) {
  let served = 0;
  let handleServed: () => void = () => undefined;
  const allServed = new Promise<void>((resolve) => (handleServed = resolve));
  const logger = Logger.create(LogLevel.Info, {}, (line) => {
    if (line.includes("event=request.served") && ++served === responses) handleServed();
  });
  const bench = GatewayTestBench.create(undefined, logger);
  bench.platform.configure({ routes: [createRoute({})] });
  const endpoint = await ScriptedEndpoint.create("b", respondLong);
  bench.platform.putEndpoint({ id: "b", address: endpoint.address });
  const instance = await bench.startReady(1, "web", ["leaving.unnoticed=0", ...overrides]);
  const socket = connect(getPort(instance), "127.0.0.1");
  socket.on("error", () => undefined);
  t.teardown(() => {
    socket.destroy();
    return Promise.all([bench.close(), endpoint.close()]);
  });
  await once(socket, "connect");
  const heads = Array.from(
    { length: responses },
    (_, index) => `GET / HTTP/1.1\r\nhost: app.test\r\nx-id: r${index}\r\n\r\n`,
  );
  socket.write(heads.join(""));
  await allServed;
  return { bench, instance, socket };
}

/** Resolves once nothing listens at a port any more. */
async function waitForRefusal(port: number): Promise<void> {
  for (;;) {
    const socket = connect(port, "127.0.0.1");
    const isOpen = await new Promise<boolean>((resolve) => {
      socket.on("connect", () => resolve(true)).on("error", () => resolve(false));
    });
    socket.destroy();
    if (!isOpen) return;
  }
}

/** Reads slowly to the end of a connection; resolves with the lengths of the bodies. */
async function readSlowly(socket: Socket): Promise<readonly number[]> {
  const parts: Buffer[] = [];
  let unpaused = 0;
  socket.on("data", (part: Buffer) => {
    parts.push(part);
    unpaused += part.length;
    if (unpaused < partBytes) return;
    unpaused = 0;
    socket.pause();
    setTimeout(() => socket.resume(), partPauseMs);
  });
  await once(socket, "close");
  const bodies = Buffer.concat(parts).toString("latin1").split(headPattern).slice(1);
  return bodies.map(({ length }) => length);
}

t.test(
  "a slow caller receives the whole of the responses that its instance has ended before it stops",
  async (t) => {
    const { bench, instance, socket } = await startUnread(t, []);
    // The end of the process closes all connections; what the system has taken is sent on.
    const left = instance.gateway.leave().then(() => bench.close());
    await waitForRefusal(getPort(instance));
    const lengths = await readSlowly(socket);
    t.strictSame(lengths, new Array<number>(responses).fill(bodyBytes));
    await left;
  },
);

t.test("a caller that reads nothing does not hold up a stop beyond the grace period", async (t) => {
  const { instance, socket } = await startUnread(t, ["leaving.grace=1000"]);
  await instance.gateway.leave();
  t.notOk(socket.destroyed);
});
