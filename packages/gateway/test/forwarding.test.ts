/*
 * Guards what callers were promised while their requests are passed on through a peer: at most one run, no "not run" after one, no
 * answer that looks complete and is not, no work for callers that have left, and quick refusals where nobody reaches the endpoints.
 */
import { request as sendHttpRequest } from "node:http";
import type { Gateway } from "@gladewall/gateway";
import type { Clock, Timer } from "@gladewall/kernel";
import { PathFault, respondSuccess, startEventStream, waitUntil } from "@gladewall/standins";
import t from "tap";
import { oncePath, readMetric, startCutOffFleet, streamPath } from "./cutOffFleet.js";

const faults = [PathFault.Reset, PathFault.Silent];

interface CapturedTimer {
  readonly delayMs: number;
  readonly callback: () => void;
}

/** Collects the timers that an instance starts for attempts of its peers, in place of their start. */
function captureTimers(gateway: Gateway): readonly CapturedTimer[] {
  const { forwardingServer } = (gateway as unknown as { parts: { forwardingServer: unknown } }).parts;
  const { options } = forwardingServer as { options: { clock: Clock } };
  const { clock } = options;
  const timers: CapturedTimer[] = [];
  const startTimer = (delayMs: number, callback: () => void): Timer => {
    timers.push({ delayMs, callback });
    return { cancel: () => undefined };
  };
  options.clock = { getTime: () => clock.getTime(), startTimer } as Clock;
  return timers;
}

t.test("a request that is passed on is never passed on again", async (t) => {
  const { bench, endpoints, cut, call } = await startCutOffFleet(t, 3, 2);
  for (const instance of [0, 1, 2]) cut(instance, PathFault.Reset);
  for (let index = 0; index < 4; index++) await call(0);
  const before = await readMetric(bench, 0, "gladewall_forwarded_total");
  for (const { status, headers } of await Promise.all(Array.from({ length: 20 }, () => call(0, oncePath)))) {
    t.equal(status, 503);
    t.equal(headers.connection, "close");
  }
  const forwarded = (await readMetric(bench, 0, "gladewall_forwarded_total")) - before;
  t.ok(forwarded <= 2, `${forwarded} attempts passed on while no peer reaches the service`);
  t.equal(endpoints.flatMap(({ requests }) => requests).length, 0);
});

t.test("endpoints that have all ended are not looked for through peers again and again", async (t) => {
  const { bench, endpoints, call } = await startCutOffFleet(t, 3, 2);
  for (const endpoint of endpoints) await endpoint.stopListening();
  const calls = Array.from({ length: 60 }, (_, index) => call(index % 3, oncePath));
  for (const { status } of await Promise.all(calls)) t.equal(status, 503);
  for (const instance of [0, 1, 2]) {
    t.ok((await readMetric(bench, instance, "gladewall_forwarded_total")) <= 40);
    t.equal(await readMetric(bench, instance, "gladewall_endpoint_ends_total"), 0);
  }
  for (const endpoint of endpoints) await endpoint.listenAgain();
  for (const instance of [0, 1, 2]) {
    let status = 0;
    while (status !== 200) ({ status } = await call(instance));
  }
});

t.test("an instance that lost a part of its paths sends requests over the others", async (t) => {
  const { bench, endpoints, cut, call } = await startCutOffFleet(t, 3, 4);
  cut(0, PathFault.Reset, endpoints.slice(0, 3));
  for (const { status } of await Promise.all(Array.from({ length: 12 }, () => call(0)))) t.equal(status, 200);
  const cutOff = await readMetric(bench, 0, "gladewall_cut_off_services");
  t.ok(cutOff <= 1);
});

t.test("an instance sends requests itself again once it reaches the endpoints", async (t) => {
  const { bench, cut, call } = await startCutOffFleet(t, 2, 4);
  cut(0, PathFault.Reset);
  t.equal((await call(0)).status, 200);
  t.equal(await readMetric(bench, 0, "gladewall_cut_off_services"), 1);
  cut(0, PathFault.None);
  while ((await readMetric(bench, 0, "gladewall_cut_off_services")) > 0) await call(0);
  const before = await readMetric(bench, 0, "gladewall_forwarded_total");
  t.equal((await call(0)).status, 200);
  t.equal(await readMetric(bench, 0, "gladewall_forwarded_total"), before);
});

for (const fault of faults) {
  t.test(`a peer that ends may have had the request run (${PathFault[fault]})`, async (t) => {
    const { bench, endpoints, cut, call } = await startCutOffFleet(t, 2, 2);
    cut(0, fault);
    while ((await call(0)).status !== 200);
    for (const endpoint of endpoints) endpoint.script = () => undefined;
    const held = call(0, oncePath, "held");
    const findRuns = () => endpoints.flatMap(({ requests }) => requests.filter(({ id }) => id === "held"));
    await waitUntil(() => findRuns().length > 0);
    await bench.instances[1]!.gateway.close();
    t.equal((await held).status, 502);
    t.equal(findRuns().length, 1);
  });
}

t.test("work ends at the endpoint when the caller leaves", async (t) => {
  const { bench, endpoints, cut, call } = await startCutOffFleet(t, 2, 1);
  cut(0, PathFault.Reset);
  t.equal((await call(0)).status, 200);
  const [endpoint] = endpoints;
  endpoint!.script = () => undefined;
  const caller = new AbortController();
  const left = bench.call(bench.instances[0]!, { path: streamPath, signal: caller.signal });
  await endpoint!.waitForRequests(2);
  caller.abort();
  await left;
  await waitUntil(() => endpoint!.requests.at(-1)!.socket.destroyed);
});

t.test("work ends at the endpoint some time after its deadline when its sender falls silent", async (t) => {
  const { bench, endpoints, cut, call } = await startCutOffFleet(t, 2, 1);
  cut(0, PathFault.Reset);
  t.equal((await call(0)).status, 200);
  const timers = captureTimers(bench.instances[1]!.gateway);
  const [endpoint] = endpoints;
  endpoint!.script = () => undefined;
  const deadlineMs = 1_500;
  const headers = { "x-deadline": String(deadlineMs) };
  const held = bench.call(bench.instances[0]!, { path: streamPath, headers });
  await endpoint!.waitForRequests(2);
  t.equal(timers.length, 1);
  const { delayMs, callback } = timers[0]!;
  t.ok(delayMs > deadlineMs, "what only a caller delays may go on for a while");
  t.notOk(endpoint!.requests.at(-1)!.socket.destroyed);
  callback();
  await waitUntil(() => endpoint!.requests.at(-1)!.socket.destroyed);
  t.equal((await held).status, 502);
  t.equal(await readMetric(bench, 1, "gladewall_forwarded_received"), 0);
});

t.test("events arrive one by one, and a stream that is interrupted does not look complete", async (t) => {
  const { bench, endpoints, cut, call } = await startCutOffFleet(t, 2, 1);
  cut(0, PathFault.Reset);
  t.equal((await call(0)).status, 200);
  const [endpoint] = endpoints;
  endpoint!.script = startEventStream;
  let received = "";
  const onData = (text: string): void => void (received += text);
  const stream = bench.call(bench.instances[0]!, { path: streamPath, onData });
  await endpoint!.waitForRequests(2);
  const { response, socket } = endpoint!.requests.at(-1)!;
  response.write("id: 1\ndata: one\n\n");
  await waitUntil(() => received.includes("data: one"));
  socket.destroy();
  t.equal((await stream).isComplete, false);
});

t.test(
  "a request that crashes endpoints is found out although it reaches them through peers only",
  async (t) => {
    const { bench, endpoints, cut, call } = await startCutOffFleet(t, 3, 6);
    cut(0, PathFault.Reset);
    while ((await call(0)).status !== 200);
    let crashes = 0;
    for (const endpoint of endpoints) {
      endpoint.script = (received) => {
        if (!received.body.startsWith("deadly")) return respondSuccess(received);
        crashes += 1;
        void endpoint.close();
      };
    }
    const send = (body: string) => bench.call(bench.instances[0]!, { method: "POST", body });
    for (let index = 0; index < 4; index++) t.not((await send("deadly")).status, 200);
    t.ok(crashes <= 3, `${crashes} crashed`);
    t.equal((await send("harmless")).status, 200);
  },
);

t.test("only instances that know the secret have requests passed on", async (t) => {
  const { bench, endpoints } = await startCutOffFleet(t, 1, 1);
  const { host, port } = new URL(`http://${bench.instances[0]!.gateway.forwardingAddress}`);
  const headers = {
    "gladewall-peer-endpoint": "e0",
    "gladewall-peer-sender": "instance-9",
    "gladewall-peer-nonce": "00",
    "gladewall-peer-signature": "00".repeat(32),
    "x-id": "forged",
  };
  const result = await new Promise((resolve) => {
    const sent = sendHttpRequest({ host: host.split(":")[0], port, headers }, (response) => {
      response.resume();
      resolve(response.headers["gladewall-peer-result"]);
    });
    sent.end();
  });
  t.equal(result, "Refused");
  t.equal(endpoints[0]!.requests.length, 0);
});
