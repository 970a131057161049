/*
 * Guards an instance against its own failures on one request's way: whatever threw there ended the process with all requests that it
 * had open. Each failure is logged and counted, and nothing that the request held is kept.
 */
import { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { type Gateway, RouteKind } from "@gladewall/gateway";
import { Logger, LogLevel } from "@gladewall/kernel";
import {
  CallerEnd,
  createRoute,
  createWorkspace,
  FakePlatform,
  GatewayTestBench,
  PathFault,
  respondSuccess,
  ScriptedEndpoint,
  startEventStream,
  waitUntil,
} from "@gladewall/standins";
import t, { type Test } from "tap";
import { oncePath, readMetric, startCutOffFleet, streamPath } from "./cutOffFleet.js";

type AnyFunction = (...args: unknown[]) => unknown;
type Parts = Record<string, Record<string, AnyFunction>>;

/** Methods of parts that requests pass, as `part.method`, by the kind of response on whose way they are called. */
const steps = {
  [oncePath]: [
    "admission.admit",
    "takeUps.choose",
    "charges.take",
    "budget.countRequest",
    "permits.isUnlimited",
    "placer.choose",
    "paths.isDirect",
    "paths.recordHeard",
    "connections.get",
    "metrics.countAttempt",
    "suspects.recordResponse",
    "limits.handleResponse",
    "endChecker.check",
    "metrics.countResponseEnd",
    "charges.settle",
    "metrics.countRequest",
  ],
  [streamPath]: ["origins.record", "placer.memory.recordProcessed", "endChecker.check"],
};

/** Lets a method of an instance's parts throw until the returned function is called. */
function breakMethod(gateway: Gateway, name: string): () => void {
  const names = name.split(".");
  const method = names.pop()!;
  let owner = (gateway as unknown as { parts: Parts }).parts as unknown as Record<string, AnyFunction>;
  for (const part of names) owner = owner[part] as unknown as Record<string, AnyFunction>;
  const hadOwn = Object.hasOwn(owner, method);
  const original = owner[method]!;
  owner[method] = () => {
    throw new Error(`${name} fails`);
  };
  return () => {
    if (hadOwn) owner[method] = original;
    else delete owner[method];
  };
}

/** Header of responses whose end can't be read. */
const brokenEndHeader = "x-broken-end";

/** Lets the reading of how such a response ended throw until the returned function is called. */
function breakEnds(): () => void {
  const prototype = IncomingMessage.prototype;
  const get = function (this: IncomingMessage): boolean {
    if (this.headers[brokenEndHeader] !== undefined) throw new Error("the end can't be read");
    return Reflect.get<Readable, "readableEnded">(Readable.prototype, "readableEnded", this);
  };
  Object.defineProperty(prototype, "readableEnded", { configurable: true, get });
  return () => void Reflect.deleteProperty(prototype, "readableEnded");
}

async function startInstance(t: Pick<Test, "teardown">) {
  const lines: string[] = [];
  const logger = Logger.create(LogLevel.Info, {}, (line) => lines.push(line));
  const bench = GatewayTestBench.create(FakePlatform.create(), logger);
  const endpoint = await ScriptedEndpoint.create("e0");
  bench.platform.configure({
    routes: [
      createRoute({ name: "once", prefix: oncePath, kind: RouteKind.Unsafe }),
      createRoute({ name: "stream", prefix: streamPath, kind: RouteKind.Stream }),
    ],
    workspaces: [createWorkspace({ keys: ["k"], ratePerSecond: 1_000, burst: 1_000 })],
  });
  bench.platform.putEndpoint({ id: endpoint.id, address: endpoint.address });
  const instance = await bench.startReady(1);
  t.teardown(async () => {
    await bench.close();
    await endpoint.close();
  });
  const call = (path: string) => bench.call(instance, { method: "POST", path, key: "k" });
  return { bench, endpoint, instance, call, lines };
}

t.test("a failure on a request's way ends that request, and nothing that it held is kept", async (t) => {
  const { bench, endpoint, instance, call, lines } = await startInstance(t);
  const { gateway } = instance;
  const { parts, requests } = gateway as unknown as {
    parts: { directory: { getAll(): Iterable<{ active: number; inFlight: Set<unknown> }> } };
    requests: { open: number };
  };
  const events = "id: 1\ndata: a\n\n";
  endpoint.script = (received) => {
    if (!received.target.startsWith(streamPath)) return respondSuccess(received);
    startEventStream(received);
    received.response.end(events);
  };
  let contained = 0;
  for (const [path, names] of Object.entries(steps)) {
    for (const name of names) {
      t.equal((await call(path)).status, 200, `before ${name} fails`);
      const mend = breakMethod(gateway, name);
      const { status, end } = await call(path);
      mend();
      const isCut = status === 502 || end === CallerEnd.Broken || end === CallerEnd.None;
      // What is counted and settled follows the response.
      const isAfter = ["charges.settle", "metrics.countRequest"].includes(name);
      t.ok(isAfter ? status === 200 : isCut, `${name}: status ${status}, ${CallerEnd[end]}`);
      await waitUntil(() => requests.open === 0);
      for (const { active, inFlight } of parts.directory.getAll()) {
        t.equal(active, 0, `${name}: no request counts as active`);
        t.equal(inFlight.size, 0);
      }
      const count = await readMetric(bench, 0, "gladewall_contained_failures_total");
      t.ok(count > contained, `${name} is counted`);
      contained = count;
      t.ok(lines.some((line) => line.includes("failure.contained") && line.includes(`${name} fails`)));
    }
  }
  t.equal((await call(oncePath)).status, 200, "the instance serves on");
});

t.test("a failure on the end of a response's body ends that request", async (t) => {
  const { bench, endpoint, instance, call } = await startInstance(t);
  const { requests } = instance.gateway as unknown as { requests: { open: number } };
  const mend = breakEnds();
  t.teardown(mend);
  const megabytes = "x".repeat(3_000_000);
  const responses: readonly (readonly [path: string, type: string, body: string])[] = [
    [oncePath, "text/plain", "short"],
    [oncePath, "text/plain", megabytes],
    [streamPath, "text/event-stream", "id: 1\ndata: a\n\n"],
  ];
  for (const [index, [path, type, body]] of responses.entries()) {
    endpoint.script = ({ id, response }) => {
      response.writeHead(200, { "x-id": id, "x-stamp": "s", "content-type": type, [brokenEndHeader]: "1" });
      response.end(body);
    };
    const { status, end } = await call(path);
    const isCut = status === 502 || end === CallerEnd.Broken || end === CallerEnd.None;
    t.ok(isCut, `${path}, ${body.length} bytes: status ${status}, ${CallerEnd[end]}`);
    await waitUntil(() => requests.open === 0);
    t.ok((await readMetric(bench, 0, "gladewall_contained_failures_total")) > index);
  }
});

t.test("a failure of a peer on an attempt's way ends that attempt", async (t) => {
  const { bench, call, cut } = await startCutOffFleet(t, 2, 2);
  cut(0, PathFault.Reset);
  while ((await call(0, oncePath)).status !== 200);
  const peer = bench.instances[1]!.gateway;
  for (const name of ["directory.find", "connections.get", "endChecker.check", "paths.recordHeard"]) {
    const before = await readMetric(bench, 1, "gladewall_contained_failures_total");
    const mend = breakMethod(peer, name);
    const { status, end } = await call(0, oncePath);
    mend();
    // The end is checked once all that the length announced has been passed on.
    const isWhole = name === "endChecker.check" && status === 200 && end === CallerEnd.Framed;
    t.ok(isWhole || status === 502 || end === CallerEnd.Broken, `${name}: status ${status}`);
    t.ok((await readMetric(bench, 1, "gladewall_contained_failures_total")) > before, name);
    while ((await call(0, oncePath)).status !== 200);
  }
  t.equal(await readMetric(bench, 1, "gladewall_forwarded_received"), 0);
});

t.test("a failure on a peer's message drops that message, and the link goes on", async (t) => {
  const { bench } = await startCutOffFleet(t, 2, 1);
  const { gateway } = bench.instances[0]!;
  const mend = breakMethod(gateway, "counters.applyReport");
  const count = () => readMetric(bench, 0, "gladewall_contained_failures_total");
  while ((await count()) === 0);
  mend();
  t.equal(gateway.linkedPeers, 1);
  t.equal(gateway.reportingPeers, 1);
});
