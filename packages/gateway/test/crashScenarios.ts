/**
 * Random scenarios of requests that crash endpoints: copies sent at once, instances that stop and start, endpoints that crash by
 * themselves with other requests in flight, and connections that are reset. Results are counted at the endpoints, independent of
 * what instances report.
 * @module
 */
import { createRandom, type EndpointRequest, respondSuccess, waitUntil } from "@gladewall/standins";
import type { Test } from "tap";
import { crashBody, type CrashingEndpoints, startCrashingFleet } from "./crashingEndpoints.js";

/** Result of a scenario. */
export interface CrashScenarioResult {
  /** Most endpoints that crashed under one request. */
  readonly mostEnded: number;
  /** Most runs of one request that began after three endpoints had crashed under it and its previous attempts were over. */
  readonly mostRunsAfterThird: number;
  /** Harmless requests sent at the end of the scenario, and how many of them were not served. */
  readonly harmless: number;
  readonly unserved: number;
}

type TestBench = Awaited<ReturnType<typeof startCrashingFleet>>;

/** Crashes that a request may cause before it must be blocked. */
const borneEnds = 3;
const steps = 24;
const harmlessCount = 12;
const mostDeadly = 3;
const mostCopies = 4;
/** Attempts after which a harmless request counts as not served; a refused one is retried until then. */
const mostTries = 40;

/** Counts runs of crashing requests, by body. */
class DeadlyRuns {
  readonly ended = new Map<string, number>();
  readonly late = new Map<string, number>();
  /** Bodies under which three endpoints had crashed before the current step. */
  private known = new Set<string>();

  note({ body }: EndpointRequest): void {
    this.ended.set(body, (this.ended.get(body) ?? 0) + 1);
    if (this.known.has(body)) this.late.set(body, (this.late.get(body) ?? 0) + 1);
  }

  /** Begins a step; all attempts of the previous steps are over. */
  beginStep(): void {
    const bodies = [...this.ended].filter(([, ends]) => ends >= borneEnds).map(([body]) => body);
    this.known = new Set(bodies);
  }
}

/** Runs the scenario of one seed. */
export async function runCrashScenario(
  t: Pick<Test, "teardown">,
  seed: number,
): Promise<CrashScenarioResult> {
  const draw = createRandom(seed);
  const drawBelow = (count: number): number => Math.floor(draw() * count);
  const isLarge = draw() < 0.4;
  const fleet = await startCrashingFleet(t, (isLarge ? 5 : 2) + drawBelow(3), 4 + drawBelow(4), isLarge);
  const { bench, endpoints } = fleet;
  const runs = new DeadlyRuns();
  endpoints.onDeadly = (call) => runs.note(call);
  const drawInstance = () => bench.instances[drawBelow(bench.instances.length)]!;
  const sendDeadly = () => {
    const body = `${crashBody} ${drawBelow(mostDeadly)}`;
    return bench.call(drawInstance(), { method: "POST", key: "key", body });
  };
  const sendHarmless = (index: number, key = "key") =>
    bench.call(drawInstance(), { method: "POST", key, body: `harmless ${index}` });
  const stepKinds: readonly (() => Promise<unknown>)[] = [
    sendDeadly,
    sendDeadly,
    () => Promise.all(Array.from({ length: 1 + drawBelow(mostCopies) }, sendDeadly)),
    () => Promise.all([sendDeadly(), ...Array.from({ length: 4 }, (_, index) => sendHarmless(index))]),
    () => endByItself(fleet, draw, () => Promise.all([0, 1, 2].map((index) => sendHarmless(index)))),
    () => resetOnce(endpoints, () => sendHarmless(drawBelow(harmlessCount))),
    () => restartOne(fleet, drawBelow(bench.instances.length), isLarge),
  ];
  for (let step = 0; step < steps; step++) {
    runs.beginStep();
    await stepKinds[drawBelow(stepKinds.length)]!();
    await endpoints.replace();
  }
  const served = await Promise.all(
    Array.from({ length: harmlessCount }, async (_, index) => {
      for (let tries = 0; tries < mostTries; tries++) {
        if ((await sendHarmless(index)).status === 200) return true;
      }
      return false;
    }),
  );
  return {
    mostEnded: Math.max(0, ...runs.ended.values()),
    mostRunsAfterThird: Math.max(0, ...runs.late.values()),
    harmless: harmlessCount,
    unserved: served.filter((isServed) => !isServed).length,
  };
}

/** Crashes an endpoint with harmless requests in flight. */
async function endByItself(
  { endpoints }: TestBench,
  draw: () => number,
  send: () => Promise<unknown>,
): Promise<void> {
  const held: EndpointRequest[] = [];
  endpoints.script = (call) => void held.push(call);
  let isOver = false;
  const answers = send().finally(() => (isOver = true));
  // All of them may be refused at once, so that none is ever held.
  await waitUntil(() => held.length >= 1 || isOver);
  const alive = [...endpoints.alive];
  endpoints.end(alive[Math.floor(draw() * alive.length)]!);
  endpoints.script = respondSuccess;
  for (const call of held) if (!call.socket.destroyed) respondSuccess(call);
  await answers;
}

/** Resets the connection of the next request at an endpoint that keeps running. */
async function resetOnce(endpoints: CrashingEndpoints, send: () => Promise<unknown>): Promise<void> {
  endpoints.script = (call) => {
    endpoints.script = respondSuccess;
    call.socket.resetAndDestroy();
  };
  await send();
  endpoints.script = respondSuccess;
}

/** Stops an instance and starts another one in its place, without any state of its own. */
async function restartOne(
  { bench, endpoints, getOverrides }: TestBench,
  index: number,
  isLarge: boolean,
): Promise<void> {
  const [ended] = bench.instances.splice(index, 1);
  if (!ended) return;
  await ended.gateway.close();
  const name = `instance.name=${ended.settings.instance.name}`;
  await bench.startReady(endpoints.alive.size, "web", [...getOverrides(index), name]);
  const isTold = ({ gateway }: (typeof bench.instances)[number]): boolean =>
    isLarge ? gateway.isReader || gateway.isFeedActive : gateway.linkedPeers >= bench.instances.length - 1;
  await waitUntil(() => bench.instances.every(isTold));
}
