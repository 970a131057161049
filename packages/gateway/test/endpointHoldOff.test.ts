/*
 * Guards against ignored hold-offs. An endpoint that refuses a request may name a time for which it wants no more requests from
 * that instance. Because nothing read it, all 21 of 21 requests of a service with one such endpoint were sent there and refused.
 * A hold-off applies to one instance alone, and after it the waiting requests must not all arrive at once.
 */
import t, { type Test } from "tap";
import {
  CrashRecords,
  Endpoint,
  EndpointAvailability,
  type CrashDetector,
  GatewayMetrics,
  maxRetryAfterMs,
  parseRetryAfter,
  SuspectGate,
  TrialDecision,
  QuarantineState,
} from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import {
  respondSuccess,
  type EndpointRequest,
  type EndpointScript,
  GatewayTestBench,
  ScriptedEndpoint,
  waitUntil,
} from "@gladewall/standins";
import { createKnownEndpoint } from "./knownEndpoints.js";

const longMs = 60_000;
const shortMs = 40;

/** Refuses a request and names a hold-off. */
function createRefusal(holdOffMs: number, notRun = true): EndpointScript {
  return ({ id, response }) => {
    const head = { "x-id": id, "x-hold-off": String(holdOffMs), "content-length": 0 };
    response.writeHead(503, notRun ? { ...head, "x-not-run": "1" } : head);
    response.end();
  };
}

/** Starts one instance and endpoints with the given scripts. */
async function startTestBench(t: Pick<Test, "teardown">, scripts: readonly EndpointScript[]) {
  const bench = GatewayTestBench.create();
  bench.platform.configure({});
  const endpoints = await Promise.all(
    scripts.map((script, index) => ScriptedEndpoint.create(`e${index}`, script)),
  );
  for (const { id, address } of endpoints) bench.platform.putEndpoint({ id, address });
  const instance = await bench.startReady(endpoints.length);
  t.teardown(() => Promise.all([bench.close(), ...endpoints.map((endpoint) => endpoint.close())]));
  return { bench, instance, endpoints };
}

t.test("an endpoint that names a hold-off is sent nothing by that instance until its end", async (t) => {
  for (const isNotRun of [true, false]) {
    const { bench, instance, endpoints } = await startTestBench(t, [createRefusal(longMs, isNotRun)]);
    await bench.call(instance);
    for (let index = 0; index < 20; index++) {
      const refused = await bench.call(instance);
      t.equal(refused.status, 503);
      const seconds = Number(refused.headers["retry-after"]);
      t.ok(seconds > 1 && seconds <= longMs / 1_000, "Retry-After names the end of the hold-off");
    }
    t.equal(endpoints[0]?.requests.length, 1);
    t.equal(instance.gateway.countEndpoints("web"), 1, "the endpoint is not leaving");
  }
});

t.test("a hold-off does not bind other instances, and other endpoints serve meanwhile", async (t) => {
  const { bench, instance, endpoints } = await startTestBench(t, [createRefusal(longMs), respondSuccess]);
  const other = await bench.startReady(2);
  await waitUntil(() => bench.instances.every(({ gateway }) => gateway.linkedPeers === 1));
  const [held, good] = endpoints;
  good!.script = ({ socket }) => socket.destroy();
  while (held!.requests.length === 0) await bench.call(instance);
  good!.script = respondSuccess;
  for (let index = 0; index < 20; index++) t.equal((await bench.call(instance)).status, 200);
  t.equal(held!.requests.length, 1);
  good!.script = ({ socket }) => socket.destroy();
  while (held!.requests.length === 1) await bench.call(other);
  t.equal(held!.requests.length, 2);
});

t.test("after a hold-off one request goes first, and more only once it was accepted", async (t) => {
  const { bench, instance, endpoints } = await startTestBench(t, [createRefusal(shortMs)]);
  const [endpoint] = endpoints;
  await bench.call(instance);
  const waiting: EndpointRequest[] = [];
  endpoint!.script = (call) => waiting.push(call);
  const isRetried = (): boolean => endpoint!.requests.length >= 2;
  const first = (async () => {
    let response = await bench.call(instance);
    while (!isRetried()) response = await bench.call(instance);
    return response;
  })();
  await waitUntil(isRetried);
  const concurrent = await Promise.all(Array.from({ length: 10 }, () => bench.call(instance)));
  t.ok(
    concurrent.every(({ status }) => status === 503),
    "refused at once",
  );
  t.equal(endpoint!.requests.length, 2);
  endpoint!.script = respondSuccess;
  for (const call of waiting) respondSuccess(call);
  t.equal((await first).status, 200);
  t.equal((await bench.call(instance)).status, 200);
});
/** An isolated request, two endpoints, and an arbiter that always grants the endpoint `open`. */
function createGate() {
  const clock = VirtualClock.create(10_000);
  const records = CrashRecords.create(clock);
  const subject = { workspace: "w", fingerprint: "f" };
  for (const incarnation of ["ended1", "ended2"]) {
    const inFlight = [subject, { workspace: "w", fingerprint: "beside" }];
    records.apply({ reports: [records.createReport(incarnation, inFlight)] });
  }
  const [held, open] = ["held", "open"].map((id) => createKnownEndpoint({ id })) as [Endpoint, Endpoint];
  const requested: (readonly string[])[] = [];
  const gate = SuspectGate.create({
    clock,
    logger: Logger.createSilent(),
    records,
    detector: undefined as unknown as CrashDetector,
    metrics: GatewayMetrics.create("127.0.0.1:0"),
    broadcast: () => undefined,
    callArbiter: async ({ excluded }) => {
      requested.push(excluded);
      return { word: TrialDecision.Granted, life: open.incarnation };
    },
    endTrial: () => undefined,
    getEndpoints: () => [held, open],
    findEndpoint: (incarnation) => [held, open].find((endpoint) => endpoint.incarnation === incarnation),
  });
  const findTrial = async () => {
    await clock.advance(1_000);
    return gate.findTrial({ id: "r", subject, service: "web", excluded: new Set(), leftMs: 5_000 });
  };
  const isIsolated = (): boolean => records.getQuarantineState(subject) === QuarantineState.Isolated;
  return { clock, findTrial, held, open, requested, isIsolated };
}

/*
 * Guards against trials at an endpoint that holds the requesting instance off. The arbiter that grants trials does not receive
 * the instance's hold-offs, so without their exclusion the endpoint would be sent a request in spite of its hold-off.
 */
t.test("a suspect gets no trial at an endpoint that holds this instance off", async (t) => {
  const { clock, findTrial, held, open, requested, isIsolated } = createGate();
  t.ok(isIsolated());
  held.availability.recordHoldOff(longMs, clock.getTime());
  const first = await findTrial();
  t.equal(first.unwrap()?.endpoint, open);
  t.same(requested, [[held.incarnation]]);
  open.availability.recordHoldOff(longMs, clock.getTime());
  const second = await findTrial();
  t.ok(second.isErr(), "a grant for it is not used either");
});

t.test("a suspect gets no trial at an endpoint for which this instance gets no permit", async (t) => {
  const { clock, findTrial, held, open, requested } = createGate();
  const time = clock.getTime();
  held.availability.recordLimit(1, { sentAt: time, receivedAt: time }, time);
  t.equal((await findTrial()).unwrap()?.endpoint, open);
  t.same(requested.pop(), [], "it may ask for a permit");
  held.availability.limit.beginPermitCall();
  held.availability.limit.endPermitCall({ permits: 0, waitMs: longMs }, 0, clock.getTime());
  t.equal((await findTrial()).unwrap()?.endpoint, open);
  t.same(requested.pop(), [held.incarnation]);
});

t.test(
  "of two hold-offs the later end counts, and a response to an earlier request does not shorten it",
  async (t) => {
    const availability = EndpointAvailability.create();
    t.ok(availability.acceptsRequest(0));
    const earlier = availability.beginAttempt();
    availability.recordHoldOff(1_000, 0);
    availability.recordHoldOff(300, 100);
    t.notOk(availability.acceptsRequest(999));
    t.ok(availability.acceptsRequest(1_000));
    const first = availability.beginAttempt();
    availability.endAttempt(earlier, true);
    t.notOk(availability.acceptsRequest(1_000), "the first request is not answered yet");
    availability.endAttempt(first, true);
    t.ok(availability.acceptsRequest(1_000));
  },
);

t.test("requests return one, two, four at a time; a refusal starts over", async (t) => {
  const availability = EndpointAvailability.create();
  availability.recordHoldOff(1_000, 0);
  const fill = (time: number): number[] => {
    const attempts: number[] = [];
    while (attempts.length < 100 && availability.acceptsRequest(time))
      attempts.push(availability.beginAttempt());
    return attempts;
  };
  const counts: number[] = [];
  for (const time of [1_000, 1_010, 1_020, 1_030]) {
    const attempts = fill(time);
    counts.push(attempts.length);
    for (const round of attempts) availability.endAttempt(round, true);
  }
  t.same(counts, [1, 2, 4, 100]);
  availability.recordHoldOff(500, 2_000);
  t.equal(fill(2_499).length, 0);
  const [next = 0, ...others] = fill(2_500);
  t.equal(others.length, 0);
  availability.endAttempt(next, false);
  t.equal(fill(2_520).length, 1, "a request that was not accepted does not raise the bound");
});

t.test(
  "hold-offs are parsed as seconds, fractions, and dates relative to the response's own date",
  async (t) => {
    const date = "Sun, 06 Nov 1994 08:49:37 GMT";
    const wallTime = Date.parse(date) + 3_000;
    const read = (text: string, responseDate?: string): number | undefined =>
      parseRetryAfter(text, responseDate, wallTime);
    t.equal(read("2"), 2_000);
    t.equal(read(" 0.25 "), 250);
    t.equal(read("0"), 0);
    t.equal(read("Sun, 06 Nov 1994 08:49:42 GMT", date), 5_000);
    t.equal(read("Sunday, 06-Nov-94 08:49:42 GMT", date), 5_000);
    t.equal(
      read("Sun, 06 Nov 1994 08:49:42 GMT"),
      2_000,
      "by this instance's clock if the response has no date",
    );
    t.equal(read(date), 0, "a date in the past");
    t.equal(read("31536000"), maxRetryAfterMs);
    for (const malformed of ["", "soon", "-1", "1e3", "NaN", "Infinity", "2 s", "1,2", "Sun, never"]) {
      t.equal(read(malformed), undefined, malformed);
    }
  },
);
