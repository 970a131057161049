/*
 * What happened: an endpoint took requests and gave nothing back, and its callers waited until their own time was over,
 * while others were free; of 164 requests that got nothing on one day, all had run where the answer was lost. Cause: only an
 * error or the caller's deadline ended a try.
 */
import t from "tap";
import { RouteKind } from "@gladewall/gateway";
import { Logger, LogLevel } from "@gladewall/kernel";
import {
  answerGood,
  createRoute,
  GatewayBench,
  ScriptedEndpoint,
  StandinPlatform,
  waitUntil,
} from "@gladewall/standins";

/** One instance before two endpoints; the one that is called first is silent from then on. */
async function createBench(t: Pick<typeof import("tap").default, "teardown">, kind: RouteKind) {
  const lines: string[] = [];
  const logger = Logger.create(LogLevel.Info, {}, (line) => lines.push(line));
  const bench = GatewayBench.create(StandinPlatform.create(), logger);
  bench.platform.configure({ routes: [createRoute({ kind, isResumable: true, timeoutMs: 20_000 })] });
  let silent: ScriptedEndpoint | undefined;
  const endpoints = await Promise.all(["one", "two"].map((id) => ScriptedEndpoint.create(id)));
  for (const endpoint of endpoints) {
    endpoint.script = (call) => {
      silent ??= endpoint;
      if (silent !== endpoint) answerGood(call);
    };
    bench.platform.list({ id: endpoint.id, address: endpoint.address });
  }
  const instance = await bench.startReady(endpoints.length);
  t.teardown(async () => {
    await bench.close();
    await Promise.all(endpoints.map((endpoint) => endpoint.close()));
  });
  const countSilences = (): number => lines.filter((line) => line.includes("event=attempt.silent")).length;
  const countSilentCalls = (): number => silent?.calls.length ?? 0;
  return { bench, instance, endpoints, countSilences, countSilentCalls };
}

t.test("what may be repeated is served elsewhere when an endpoint stays silent", async (t) => {
  const { bench, instance, countSilences, countSilentCalls } = await createBench(t, RouteKind.Safe);
  for (let count = 0; count < 6; count++) t.equal((await bench.call(instance)).status, 200);
  t.equal(countSilences(), 1);
  t.equal(countSilentCalls(), 1, "it gets nothing more while others are free");
});

t.test("what may run once is waited for, and the next ones go where answers come from", async (t) => {
  const { bench, instance, endpoints, countSilences, countSilentCalls } = await createBench(
    t,
    RouteKind.Unsafe,
  );
  const ending = new AbortController();
  const held = bench.call(instance, { signal: ending.signal });
  await waitUntil(() => countSilences() === 1);
  for (let count = 0; count < 6; count++) t.equal((await bench.call(instance)).status, 200);
  t.equal(countSilentCalls(), 1);
  const ids = endpoints.flatMap(({ calls }) => calls.map(({ id }) => id));
  t.equal(new Set(ids).size, ids.length, "nothing ran twice");
  ending.abort();
  await held;
});
