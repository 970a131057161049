/*
 * Guards against requests that are sent although nobody waits for them any more, that are sent twice, or that are left without a
 * response, because they wait for a slot of a contended service before they are placed.
 */
import t from "tap";
import { NextStep, QueueStage, type RequestContext, RouteKind } from "@gladewall/gateway";
import { type EndpointRequest, respondNotRun, waitUntil } from "@gladewall/standins";
import {
  noneQueued,
  oneQueued,
  oneWaits,
  respondFull,
  respondWithLoad,
  room,
  startContended,
} from "./contendedFleet.js";

t.test("requests wait for slots, and are served in their turn", async (t) => {
  const { bench, arbiter, endpoints, fill, release, waitForMetric, lines } = await startContended(t);
  const filling = await fill();
  const waiting = bench.call(arbiter, { id: "waiting" });
  await waitForMetric(arbiter, oneWaits);
  for (const { requests } of endpoints) {
    t.equal(requests.filter(({ id }) => id.startsWith("fill")).length, 2, "slots + 1");
  }
  release();
  t.equal((await waiting).status, 200);
  for (const { status } of await Promise.all(filling)) t.equal(status, 200);
  const metrics = await bench.readMetrics(arbiter);
  t.match(metrics, /gladewall_slot_decisions_total\{service="web",outcome="granted",by="own"\} 5\n/);
  t.match(metrics, /gladewall_slot_wait_milliseconds_count\{service="web"\} 1\n/);
  t.equal(lines.filter((line) => /event=slot.granted .*request=waiting/.test(line)).length, 1);
});

t.test("instances get slots from an arbiter at another instance", async (t) => {
  const { bench, endpoints, remote } = await startContended(t);
  for (const endpoint of endpoints) endpoint.script = respondFull;
  const isGranted = async (): Promise<boolean> =>
    /gladewall_slot_decisions_total\{service="web",outcome="granted",by="remote"\} /.test(
      await bench.readMetrics(remote),
    );
  do t.equal((await bench.call(remote)).status, 200);
  while (!(await isGranted()));
});

t.test("a request whose caller leaves while it waits is never sent", async (t) => {
  const { bench, arbiter, fill, release, getArrivals, waitForMetric } = await startContended(t);
  const filling = await fill();
  const caller = new AbortController();
  const left = bench.call(arbiter, { id: "left", signal: caller.signal });
  await waitForMetric(arbiter, oneQueued);
  caller.abort();
  await left;
  await waitForMetric(arbiter, noneQueued);
  release();
  await Promise.all(filling);
  t.equal((await bench.call(arbiter)).status, 200);
  t.equal(getArrivals("left"), 0);
});

t.test("a request that waits until its time is up gets a 503 and is never sent", async (t) => {
  const { bench, arbiter, fill, release, getArrivals, waitForMetric } = await startContended(t);
  const filling = await fill();
  const late = await bench.call(arbiter, { id: "late", headers: { "x-deadline": "100" } });
  t.equal(late.status, 503);
  t.ok(Number(late.headers["retry-after"]) > 0);
  await waitForMetric(arbiter, noneQueued);
  release();
  await Promise.all(filling);
  t.equal(getArrivals("late"), 0);
});

t.test("an instance that stops refuses the requests that wait, and never sends them", async (t) => {
  const overrides = ["leaving.unnoticed=0", "leaving.grace=1000"];
  const { arbiter, remote, fill, release, getArrivals, queueAtRemote, waitForMetric } = await startContended(
    t,
    { overrides },
  );
  const filling = await fill();
  const { id, response } = await queueAtRemote();
  await remote.gateway.leave();
  t.equal((await response).status, 503);
  await waitForMetric(arbiter, noneQueued);
  release();
  await Promise.all(filling);
  t.equal(getArrivals(id), 0);
});

t.test("a refusal passes the arbiter's time to return on, and the request is never sent", async (t) => {
  const { bench, arbiter, fill, release, getArrivals } = await startContended(t, { maxWaiting: 0 });
  const filling = await fill();
  const refused = await bench.call(arbiter, { id: "refused" });
  t.equal(refused.status, 503);
  t.match(refused.headers["retry-after"], /^1\.7|^2$/);
  release();
  await Promise.all(filling);
  t.equal(getArrivals("refused"), 0);
});

t.test("in the mode observe nothing waits, and decisions are logged; the mode may change", async (t) => {
  const overrides = ["overload.mode=observe"];
  const { bench, arbiter, held, lines, fill, release } = await startContended(t, { overrides });
  const served = await fill();
  served.push(bench.call(arbiter), bench.call(arbiter));
  await waitUntil(() => held.length === room + 2);
  const observed = lines.filter((line) => line.includes("event=slot.observed"));
  t.equal(observed.length, room + 2);
  t.match(observed.at(-1), /word=Queued/);
  arbiter.gateway.applySettings({
    ...arbiter.settings,
    overload: { ...arbiter.settings.overload, mode: "off" },
  });
  served.push(bench.call(arbiter));
  await waitUntil(() => held.length === room + 3);
  t.equal(lines.filter((line) => line.includes("event=slot.observed")).length, room + 2);
  release();
  for (const { status } of await Promise.all(served)) t.equal(status, 200);
});

t.test(
  "requests that wait are sent at once when the mode is set to off, here or at their arbiter",
  async (t) => {
    for (const isOffAtArbiter of [true, false]) {
      const { arbiter, remote, held, fill, queueAtRemote, release, waitForMetric, getArrivals } =
        await startContended(t);
      const filling = await fill();
      const { id, response } = await queueAtRemote();
      const { gateway, settings } = isOffAtArbiter ? arbiter : remote;
      gateway.applySettings({ ...settings, overload: { ...settings.overload, mode: "off" } });
      await waitUntil(() => held.some((call) => call.id === id));
      await waitForMetric(arbiter, noneQueued);
      release();
      t.equal((await response).status, 200);
      t.equal(getArrivals(id), 1);
      for (const { status } of await Promise.all(filling)) t.equal(status, 200);
    }
  },
);

t.test("a request that waits when the last endpoint is gone is refused at once", async (t) => {
  const { bench, endpoints, fill, queueAtRemote, getArrivals } = await startContended(t, {
    usesServiceScheduler: true,
  });
  const filling = await fill();
  const { id, response } = await queueAtRemote();
  for (const endpoint of endpoints) bench.platform.removeEndpoint(endpoint.id);
  const { status, headers } = await response;
  t.equal(status, 503);
  t.ok(Number(headers["retry-after"]) > 0);
  t.equal(getArrivals(id), 0);
  await Promise.all([...endpoints.map((endpoint) => endpoint.close()), ...filling]);
});

t.test("an unsafe request is sent once although its endpoint cuts the connection", async (t) => {
  const { bench, arbiter, endpoints, getArrivals } = await startContended(t, { kind: RouteKind.Unsafe });
  for (const endpoint of endpoints) endpoint.script = ({ socket }) => void socket.destroy();
  t.equal((await bench.call(arbiter, { id: "booking" })).status, 502);
  t.equal(getArrivals("booking"), 1);
});

t.test("an unsafe request is sent once although its arbiter ends while it waits", async (t) => {
  const { arbiter, fill, release, getArrivals, queueAtRemote } = await startContended(t, {
    kind: RouteKind.Unsafe,
  });
  const filling = await fill();
  const { id, response: booking } = await queueAtRemote();
  await arbiter.gateway.close();
  await Promise.all(filling);
  release();
  t.equal((await booking).status, 200);
  t.equal(getArrivals(id), 1);
});

t.test("an unsafe request that its endpoint did not run gets a slot at another endpoint", async (t) => {
  const { bench, arbiter, endpoints, getArrivals } = await startContended(t, { kind: RouteKind.Unsafe });
  const refused: string[] = [];
  for (const endpoint of endpoints) {
    endpoint.script = (call) => {
      if (refused.length > 0) return respondFull(call);
      refused.push(call.id);
      respondNotRun(call);
    };
  }
  t.equal((await bench.call(arbiter, { id: "booking" })).status, 200);
  t.equal(getArrivals("booking"), 2);
  for (const { requests } of endpoints) t.equal(requests.filter(({ id }) => id === "booking").length, 1);
});

t.test(
  "a request that an endpoint did not run is a sign of contention, whatever load is reported",
  async (t) => {
    const { bench, arbiter, endpoints } = await startContended(t, { load: "0,0,1,100" });
    const idle = (call: EndpointRequest): void => respondWithLoad(call, "0,0,1,100");
    for (const endpoint of endpoints) endpoint.script = idle;
    await bench.call(arbiter);
    t.notMatch(await bench.readMetrics(arbiter), /gladewall_slot_decisions_total\{/);
    for (const endpoint of endpoints) {
      endpoint.script = (call) => {
        for (const one of endpoints) one.script = idle;
        respondNotRun(call);
      };
    }
    t.equal((await bench.call(arbiter)).status, 200);
    t.match(
      await bench.readMetrics(arbiter),
      /gladewall_slot_decisions_total\{.*outcome="granted",by="own"\} 1/,
    );
  },
);

t.test("a request that a leaving endpoint did not run is no sign of contention", async (t) => {
  const { bench, arbiter, endpoints } = await startContended(t, { load: "0,0,1,100" });
  const left: string[] = [];
  for (const endpoint of endpoints) {
    endpoint.script = (call) => {
      if (left.length > 0) return respondWithLoad(call, "0,0,1,100");
      left.push(call.id);
      call.response.setHeader("x-leaving", "1");
      respondNotRun(call);
    };
  }
  for (let index = 0; index < 5; index++) t.equal((await bench.call(arbiter)).status, 200);
  t.equal(left.length, 1);
  t.notMatch(await bench.readMetrics(arbiter), /gladewall_slot_decisions_total\{/);
});

t.test("slots of an endpoint that holds off an instance are not granted to it", async (t) => {
  const { bench, arbiter, endpoints, schedulers } = await startContended(t);
  const [first, second] = endpoints;
  first!.script = (call) => {
    call.response.setHeader("x-hold-off", "60000");
    respondFull(call);
  };
  second!.script = respondFull;
  while (first!.requests.every(({ id }) => id !== "held-off")) await bench.call(arbiter, { id: "held-off" });
  const known = first!.requests.length;
  for (let index = 0; index < 5; index++) t.equal((await bench.call(arbiter)).status, 200);
  t.equal(first!.requests.length, known);
  t.same(
    schedulers.map((scheduler) => scheduler.getState()),
    [{ waiting: 0, open: 0 }],
  );
  t.ok(schedulers[0]!.ends.length >= 6, "each request had a slot that it used");
});

t.test("a request that may have to run isolated does not wait for a slot", async (t) => {
  const refuse = (): never => t.fail("asked for a slot") as never;
  const context = {
    workspace: "",
    parts: {
      slots: { isNeeded: () => true, isObserved: () => true, acquire: refuse, observe: refuse },
      suspects: { hasSuspects: () => true, isSuspect: () => true },
      brittle: { getLimit: () => undefined },
    },
    request: { service: { engine: undefined } },
  };
  const stage = QueueStage.create(context as unknown as RequestContext);
  t.equal(await stage.acquireSlot(), NextStep.Retry);
});
