/**
 * Starts a small fleet before endpoints that announce that they crash if they refuse too much, and sends it requests.
 * @module
 */
import { RouteKind } from "@gladewall/gateway";
import {
  BrittleEndpoint,
  createRandom,
  createRoute,
  createService,
  GatewayTestBench,
  waitUntil,
} from "@gladewall/standins";
import type { Test } from "tap";

const instanceCount = 4;
const endpointCount = 4;
const slots = 4;
export const workMs = 300;
const downMs = 3_000;
const maxWaiting = 2;
/** Time between the announcement and its effect, and time for which callers send after it. */
const contactMs = 1_500;
const brittleMs = 6_000;
const tickMs = 10;
const capacityPerMs = (endpointCount * slots) / workMs;
/** Crashes that are tolerated in one such time: two, and a tenth of the endpoints. */
export const toleratedCrashes = 2;
/** Tokens of an engine's memory, of a usual prompt, and of a long one of which two fit beside each other. */
export const engineTokens = 10_000;
const promptTokens = 400;
const longPromptTokens = 4_500;
/** Part of the requests whose prompt is long, and the time that they take as a multiple of the usual one. */
const longShare = 0.1;

/** What is played. */
export interface BrittlePlay {
  /** Refusals a second that an endpoint bears. */
  readonly limit: number;
  /** Requests, as a share of the endpoints' capacity. */
  readonly load: number;
  /** Whether the endpoints are engines, which need memory for each prompt. */
  readonly isEngine: boolean;
}

/** What came of it. */
export interface BrittleOutcome {
  readonly sent: number;
  readonly served: number;
  readonly crashes: number;
}

/** Starts a fleet, lets its endpoints announce that they are brittle, and sends requests to random instances. */
export async function playBrittle(t: Pick<Test, "teardown">, play: BrittlePlay): Promise<BrittleOutcome> {
  const { bench, endpoints } = await startFleet(t, play.isEngine);
  const random = createRandom(1);
  for (const endpoint of endpoints) endpoint.announce(play.limit);
  const load = { isEngine: play.isEngine, random };
  await sendLoad(bench, { ...load, share: 0.5, durationMs: contactMs });
  for (const endpoint of endpoints) endpoint.beginBrittle(maxWaiting);
  const { sent, served } = await sendLoad(bench, { ...load, share: play.load, durationMs: brittleMs });
  const crashes = endpoints.reduce((sum, endpoint) => sum + endpoint.crashes, 0);
  return { sent, served, crashes };
}

async function startFleet(t: Pick<Test, "teardown">, isEngine: boolean) {
  const bench = GatewayTestBench.create();
  const routes = [createRoute({ kind: RouteKind.Unsafe, latencyObjectiveMs: 1_200, timeoutMs: 4_500 })];
  const engine = { slots, tokenCapacity: engineTokens };
  bench.platform.configure({ routes, services: [createService(isEngine ? { engine } : {})] });
  const endpoints: BrittleEndpoint[] = [];
  for (let index = 0; index < endpointCount; index++) {
    const tokenCapacity = isEngine ? engineTokens : undefined;
    const endpoint = await BrittleEndpoint.create(`e${index}`, { slots, workMs, downMs, tokenCapacity });
    bench.platform.putEndpoint({ id: endpoint.id, address: endpoint.address, slots });
    endpoints.push(endpoint);
  }
  for (let index = 0; index < instanceCount; index++) await bench.startReady(endpointCount);
  await waitUntil(() => bench.instances.every(({ gateway }) => gateway.fleetSize === instanceCount));
  t.teardown(() => Promise.all([bench.close(), ...endpoints.map((endpoint) => endpoint.close())]));
  return { bench, endpoints };
}

interface BrittleLoad {
  readonly isEngine: boolean;
  readonly random: () => number;
  /** Requests, as a share of the endpoints' capacity. */
  readonly share: number;
  readonly durationMs: number;
}

/** Sends requests to random instances for a time; resolves with those that were served. */
async function sendLoad(bench: GatewayTestBench, { isEngine, random, share, durationMs }: BrittleLoad) {
  const results: Promise<number>[] = [];
  const startedAt = performance.now();
  let elapsed = 0;
  while (elapsed < durationMs) {
    await new Promise((resolve) => setTimeout(resolve, tickMs));
    const now = performance.now() - startedAt;
    for (let due = (now - elapsed) * capacityPerMs * share; random() < due; due -= 1) {
      const instance = bench.instances[Math.floor(random() * instanceCount)]!;
      const tokens = isEngine && random() < longShare ? longPromptTokens : promptTokens;
      const headers = { "x-tokens": String(tokens) };
      const body = String(results.length);
      results.push(bench.call(instance, { method: "POST", body, headers }).then(({ status }) => status));
    }
    elapsed = now;
  }
  const statuses = await Promise.all(results);
  const served = statuses.filter((status) => status === 200).length;
  return { sent: statuses.length, served };
}
