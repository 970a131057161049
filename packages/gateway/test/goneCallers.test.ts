/*
 * Guards against requests that are sent to endpoints although their callers left before an instance read them, as after a delay of its
 * event loop: the request and the end of its connection both wait to be read then.
 */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import t, { type Test } from "tap";
import { RouteKind } from "@gladewall/gateway";
import { Logger, LogLevel } from "@gladewall/kernel";
import {
  type BenchInstance,
  createRoute,
  type EndpointRequest,
  GatewayTestBench,
  respondNotRun,
  respondSuccess,
  ScriptedEndpoint,
  waitUntil,
} from "@gladewall/standins";

const callers = 8;

/** Starts an instance, which keeps a connection to its endpoint, and records how the requests of callers that leave end. */
async function startFleet(t: Pick<Test, "teardown">, kind: RouteKind) {
  const ends: string[] = [];
  let handleEnd: () => void = () => undefined;
  const logger = Logger.create(LogLevel.Info, {}, (line) => {
    if (!/event=request\.\w+ .*request=gone/.test(line)) return;
    ends.push(/failure=(\w+)/.exec(line)?.[1] ?? "none");
    handleEnd();
  });
  const bench = GatewayTestBench.create(undefined, logger);
  bench.platform.configure({ routes: [createRoute({ kind })] });
  const endpoint = await ScriptedEndpoint.create("e", respondSuccess);
  bench.platform.putEndpoint({ id: "e", address: endpoint.address });
  const instance = await bench.startReady(1);
  t.teardown(() => Promise.all([bench.close(), endpoint.close()]));
  const waitForEnds = async (): Promise<void> => {
    while (ends.length < callers) await new Promise<void>((resolve) => (handleEnd = resolve));
  };
  return { bench, endpoint, instance, ends, waitForEnds };
}

async function openConnections({ settings }: BenchInstance, count = callers): Promise<readonly Socket[]> {
  const { callers: address } = settings.listen;
  const port = Number(address.slice(address.lastIndexOf(":") + 1));
  const sockets = Array.from({ length: count }, () => connect(port, "127.0.0.1"));
  await Promise.all(sockets.map((socket) => once(socket, "connect")));
  return sockets;
}

/** Holds requests until each endpoint has one, so that an open connection leads to each afterwards. */
async function warmUp(
  bench: GatewayTestBench,
  instance: BenchInstance,
  endpoints: readonly ScriptedEndpoint[],
): Promise<void> {
  const held: EndpointRequest[] = [];
  for (const endpoint of endpoints) endpoint.script = (call) => void held.push(call);
  const served = Array.from({ length: callers }, () => bench.call(instance));
  await waitUntil(() => held.length === callers && endpoints.every(({ requests }) => requests.length > 0));
  held.forEach(respondSuccess);
  await Promise.all(served);
}

/** Sends a request on each connection and closes it, both before the instance can read anything. */
function sendAndLeave(sockets: readonly Socket[], method: string, body: string): void {
  for (const [index, socket] of sockets.entries()) {
    const length = `content-length: ${body.length}\r\n`;
    socket.write(`${method} / HTTP/1.1\r\nhost: app.test\r\nx-id: gone${index}\r\n${length}\r\n${body}`);
    socket.destroy();
  }
}

for (const [name, method, body] of [
  ["without a body", "GET", ""],
  ["with a body", "POST", "b".repeat(2_000)],
] as const) {
  for (const kind of [RouteKind.Safe, RouteKind.Unsafe, RouteKind.Stream]) {
    t.test(`a request ${name} whose caller has left is not sent (${RouteKind[kind]})`, async (t) => {
      const { bench, endpoint, instance, ends, waitForEnds } = await startFleet(t, kind);
      t.equal((await bench.call(instance, { id: "before" })).status, 200);
      sendAndLeave(await openConnections(instance), method, body);
      await waitForEnds();
      t.equal((await bench.call(instance, { id: "after" })).status, 200);
      t.same(
        endpoint.requests.map(({ id }) => id),
        ["before", "after"],
      );
      t.ok(
        ends.every((end) => end === "CallerGone"),
        ends.join(),
      );
    });
  }
}

t.test("a request on a connection that has been used, whose caller has left, is not sent", async (t) => {
  const { endpoint, instance, waitForEnds } = await startFleet(t, RouteKind.Unsafe);
  const sockets = await openConnections(instance);
  for (const [index, socket] of sockets.entries()) {
    socket.write(`GET / HTTP/1.1\r\nhost: app.test\r\nx-id: before${index}\r\n\r\n`);
    await once(socket, "data");
  }
  sendAndLeave(sockets, "GET", "");
  await waitForEnds();
  t.equal(endpoint.requests.length, callers);
  t.ok(endpoint.requests.every(({ id }) => id.startsWith("before")));
});

t.test("a request whose caller leaves while an endpoint refuses it is not sent to another one", async (t) => {
  const { bench, endpoint: first, instance, waitForEnds } = await startFleet(t, RouteKind.Safe);
  const second = await ScriptedEndpoint.create("f", respondSuccess);
  t.teardown(() => second.close());
  bench.platform.putEndpoint({ id: "f", address: second.address });
  await waitUntil(() => instance.gateway.countEndpoints("web") === 2);
  const endpoints = [first, second];
  await warmUp(bench, instance, endpoints);
  const known = first.requests.length + second.requests.length;
  const sockets = await openConnections(instance);
  for (const endpoint of endpoints) {
    endpoint.script = (call) => {
      respondNotRun(call);
      sockets[Number(call.id.slice("gone".length))]!.destroy();
    };
  }
  for (const [index, socket] of sockets.entries()) {
    socket.write(`GET / HTTP/1.1\r\nhost: app.test\r\nx-id: gone${index}\r\n\r\n`);
  }
  await waitForEnds();
  for (const endpoint of endpoints) endpoint.script = respondSuccess;
  t.equal((await bench.call(instance, { id: "after" })).status, 200);
  t.equal(first.requests.length + second.requests.length, known + callers + 1);
});

t.test("a request is served although the next one of its caller is received with it", async (t) => {
  const { endpoint, instance } = await startFleet(t, RouteKind.Unsafe);
  const [socket] = await openConnections(instance, 1);
  const heads = [0, 1].map((index) => `GET / HTTP/1.1\r\nhost: app.test\r\nx-id: kept${index}\r\n\r\n`);
  socket!.write(heads.join(""));
  await endpoint.waitForRequests(2);
  socket!.destroy();
  t.same(endpoint.requests.map(({ id }) => id).sort(), ["kept0", "kept1"]);
});
