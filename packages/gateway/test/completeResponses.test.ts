import { once } from "node:events";
import { type IncomingMessage, request } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { SystemClock } from "@gladewall/kernel";
import t from "tap";
import { BodyReader, getBodyFraming, HeldBytes, LinkPace, ResponseEnd, RouteKind } from "@gladewall/gateway";
import {
  CallerEnd,
  respondSuccess,
  respondNotRun,
  type EndpointScript,
  startEventStream,
  createRoute,
  GatewayTestBench,
  ScriptedEndpoint,
  ampleRetries,
  waitUntil,
} from "@gladewall/standins";

interface TestBench {
  readonly bench: GatewayTestBench;
  readonly endpoints: readonly ScriptedEndpoint[];
  readonly instance: Awaited<ReturnType<GatewayTestBench["startReady"]>>;
}

/** Creates one instance with one route in front of scripted endpoints. */
async function createTestBench(
  t: Tap,
  route: Parameters<typeof createRoute>[0],
  scripts: readonly EndpointScript[],
): Promise<TestBench> {
  const bench = GatewayTestBench.create();
  bench.platform.configure({ routes: [createRoute(route)] });
  const endpoints = await Promise.all(
    scripts.map((script, index) => ScriptedEndpoint.create(`b${index}`, script)),
  );
  for (const { id, address } of endpoints) bench.platform.putEndpoint({ id, address });
  const instance = await bench.startReady(endpoints.length, "web", [ampleRetries]);
  await waitUntil(() => instance.gateway.knowsRetryPart);
  t.teardown(async () => {
    await bench.close();
    await Promise.all(endpoints.map((endpoint) => endpoint.close()));
  });
  return { bench, endpoints, instance };
}

type Tap = Pick<typeof t, "teardown">;

const clock = SystemClock.create();

t.test(
  "a response is forwarded unchanged, with the endpoint's signature and without hop-by-hop headers",
  async (t) => {
    const { bench, endpoints, instance } = await createTestBench(t, {}, [respondSuccess]);
    const result = await bench.call(instance, {
      id: "r1",
      path: "/a/b?c=%2F",
      headers: { "x-expect": "forged" },
    });
    t.match(result, {
      status: 200,
      body: "answer to r1",
      isComplete: true,
      headers: { "x-stamp": "signed" },
    });
    const call = endpoints[0]?.requests[0];
    t.equal(call?.target, "/a/b?c=%2F");
    t.match(call?.headers["x-expect"], /b0/);
  },
);

t.test(
  "a response without length that ends with its connection is served, and ends so to its caller",
  async (t) => {
    const script: EndpointScript = ({ id, socket }) => {
      socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-stamp: s\r\nConnection: close\r\n\r\nall of it`);
    };
    const { bench, instance } = await createTestBench(t, {}, [script]);
    t.match(await bench.call(instance), { status: 200, body: "all of it", end: CallerEnd.Closed });
  },
);

t.test("a response that has no body is complete without a length", async (t) => {
  const respondBodiless: EndpointScript = ({ id, method, response }) => {
    response.writeHead(method === "HEAD" ? 200 : 204, { "x-id": id, "x-stamp": "s" });
    response.end();
  };
  const { bench, instance } = await createTestBench(t, { kind: RouteKind.Unsafe, attempts: 1 }, [
    respondBodiless,
  ]);
  const deleted = await bench.call(instance, { method: "DELETE" });
  t.match(deleted, { status: 204, body: "" });
  t.equal(deleted.headers["content-length"], undefined);
  t.match(await bench.call(instance, { method: "HEAD" }), { status: 200, body: "" });
});

t.test(
  "a response without length is unverified if its connection is closed in order, and interrupted if it is reset",
  async (t) => {
    for (const isReset of [true, false]) {
      const server = createServer((socket) => {
        socket.on("error", () => undefined);
        socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of");
      });
      await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
      const accepted = once(server, "connection") as Promise<[Socket]>;
      const sent = request({ port: (server.address() as AddressInfo).port, host: "127.0.0.1", agent: false });
      sent.on("error", () => undefined);
      sent.end();
      const [socket] = await accepted;
      const [incoming] = (await once(sent, "response")) as [IncomingMessage];
      const received = { message: incoming, framing: getBodyFraming(incoming) };
      const reader = BodyReader.create(received, {
        held: HeldBytes.create(1_000),
        clock,
        pace: LinkPace.create(clock),
        fail: (error) => t.error(error),
      });
      const body = reader.readHeld();
      // The first chunk arrives before the connection ends, as on a real network.
      await once(incoming, "data");
      if (isReset) socket.resetAndDestroy();
      else socket.end();
      const end = isReset ? ResponseEnd.Interrupted : ResponseEnd.Unverified;
      t.match(await body, { bytes: Buffer.from("half of"), ended: { end } });
      server.close();
    }
  },
);

t.test("a response without length whose data and reset arrive together is not complete", async (t) => {
  const script: EndpointScript = ({ id, socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-stamp: s\r\nConnection: close\r\n\r\nhalf of`, () =>
      socket.resetAndDestroy(),
    );
  };
  const { bench, instance } = await createTestBench(t, { kind: RouteKind.Unsafe, attempts: 1 }, [script]);
  t.equal((await bench.call(instance, { method: "POST", body: "x" })).status, 502);
});

t.test("a stream without length that is reset does not look complete to the caller", async (t) => {
  const { bench, endpoints, instance } = await createTestBench(t, { kind: RouteKind.Stream, attempts: 1 }, [
    ({ id, socket }) => {
      const head = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-stamp: s\r\nConnection: close\r\n\r\n`;
      socket.write(`${head}id: 1\ndata: a\n\n`);
    },
  ]);
  const onData = (): void => void endpoints[0]?.requests[0]?.socket.resetAndDestroy();
  const result = await bench.call(instance, { method: "POST", body: "x", onData });
  t.match(result, { status: 200, isComplete: false });
});

t.test(
  "a safe request whose response is interrupted is retried at another endpoint; an unsafe one gets a 502",
  async (t) => {
    const cut: EndpointScript = ({ id, response, socket }) => {
      response.writeHead(200, { "x-id": id, "x-stamp": "s", "content-length": 100 });
      response.write("part", () => socket.destroy());
    };
    const safe = await createTestBench(t, {}, [cut, cut]);
    for (const endpoint of safe.endpoints) {
      let isFirst = true;
      endpoint.script = (call) => {
        // Whichever endpoint is called first interrupts its response.
        const hasOther = safe.endpoints.some((other) => other !== endpoint && other.requests.length > 0);
        if (isFirst && !hasOther) cut(call);
        else respondSuccess(call);
        isFirst = false;
      };
    }
    t.match(await safe.bench.call(safe.instance, { id: "s" }), { status: 200, body: "answer to s" });
    const unsafe = await createTestBench(t, { kind: RouteKind.Unsafe, attempts: 2 }, [cut, cut]);
    t.equal((await unsafe.bench.call(unsafe.instance, { method: "POST", body: "x" })).status, 502);
    t.equal(unsafe.endpoints[0]!.requests.length + unsafe.endpoints[1]!.requests.length, 1);
  },
);

t.test(
  "a request that an endpoint did not run, even an unsafe one, is sent to another; if none runs it, it gets a 503",
  async (t) => {
    const { bench, instance, endpoints } = await createTestBench(t, { kind: RouteKind.Unsafe, attempts: 1 }, [
      respondNotRun,
      respondNotRun,
    ]);
    const refused = await bench.call(instance, { method: "POST", body: "x" });
    t.equal(refused.status, 503);
    t.ok(Number(refused.headers["retry-after"]) > 0);
    for (const endpoint of endpoints) {
      endpoint.script = (call) =>
        endpoints.every((other) => other.requests.length > 1) ? respondSuccess(call) : respondNotRun(call);
    }
    t.equal((await bench.call(instance, { method: "POST", body: "x" })).status, 200);
  },
);

t.test("a response that belongs to another request reaches no caller", async (t) => {
  const foreign: EndpointScript = ({ response }) => {
    response.writeHead(200, { "x-id": "somebody-else", "x-stamp": "s", "content-length": 5 });
    response.end("wrong");
  };
  const { bench, instance } = await createTestBench(t, { kind: RouteKind.Unsafe, attempts: 1 }, [foreign]);
  const result = await bench.call(instance, { method: "POST", body: "x" });
  t.equal(result.status, 502);
  t.notMatch(result.body, "wrong");
});

t.test("a second response on a kept-alive connection is never used for the next request", async (t) => {
  const twice: EndpointScript = ({ id, socket }) => {
    const responseText = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-stamp: s\r\nContent-Length: 2\r\n\r\nok`;
    socket.write(responseText + responseText);
  };
  const { bench, instance } = await createTestBench(t, { kind: RouteKind.Unsafe, attempts: 1 }, [twice]);
  for (const id of ["one", "two", "three"]) {
    const result = await bench.call(instance, { id, method: "POST", body: "x" });
    t.ok(result.status === 502 || (result.status === 200 && result.body === "ok"));
  }
});

t.test(
  "an interrupted stream continues at another endpoint after the last complete event, in the same response",
  async (t) => {
    const route = { kind: RouteKind.Stream, attempts: 2, isResumable: true };
    const { bench, instance, endpoints } = await createTestBench(t, route, [
      startEventStream,
      startEventStream,
    ]);
    for (const endpoint of endpoints) {
      endpoint.script = (call) => {
        startEventStream(call);
        const after = Number(call.headers["last-event-id"] ?? 0);
        if (after === 0) {
          call.response.write("id: 1\ndata: a\n\nid: 2\nda", () =>
            setImmediate(() => call.socket.resetAndDestroy()),
          );
        } else {
          call.response.end(`id: ${after + 1}\ndata: b\n\n`);
        }
      };
    }
    const result = await bench.call(instance, { method: "POST", body: "x" });
    t.match(result, { status: 200, isComplete: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" });
  },
);

t.test(
  "a stream that is not resumable runs once, and a caller that disconnects closes it at the endpoint",
  async (t) => {
    const { bench, instance, endpoints } = await createTestBench(t, { kind: RouteKind.Stream, attempts: 1 }, [
      startEventStream,
    ]);
    const leaving = new AbortController();
    const [endpoint] = endpoints;
    const result = bench.call(instance, {
      method: "POST",
      body: "x",
      signal: leaving.signal,
      onData: () => leaving.abort(),
    });
    await endpoint!.waitForRequests(1);
    const { response, socket } = endpoint!.requests[0]!;
    response.write("id: 1\ndata: a\n\n");
    await result;
    await waitUntil(() => socket.destroyed);
    t.equal(endpoint!.requests.length, 1);
  },
);

t.test(
  "a request without a response gets a 504 at its route's timeout, one that was never sent a 503",
  async (t) => {
    const silent = await createTestBench(t, { timeoutMs: 60, attempts: 1 }, [() => undefined]);
    t.equal((await silent.bench.call(silent.instance)).status, 504);
    const alone = GatewayTestBench.create();
    t.teardown(() => alone.close());
    alone.platform.configure({});
    const instance = await alone.startReady(0);
    t.equal((await alone.call(instance)).status, 503);
  },
);

t.test(
  "a request that may have run once gets no status that denies it, although another endpoint did not run it",
  async (t) => {
    const reset: EndpointScript = ({ socket }) => socket.resetAndDestroy();
    const { bench, endpoints, instance } = await createTestBench(t, {}, [reset, reset]);
    for (const endpoint of endpoints) {
      endpoint.script = (call) => {
        const isFirst = endpoints.every((other) => other === endpoint || other.requests.length === 0);
        if (isFirst) reset(call);
        else respondNotRun(call);
      };
    }
    const result = await bench.call(instance);
    t.equal(endpoints[0]!.requests.length + endpoints[1]!.requests.length, 2);
    t.match(result, { status: 502, isComplete: true });
    t.equal(result.headers["retry-after"], undefined);
  },
);
