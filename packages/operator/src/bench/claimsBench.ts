/**
 * `npm run bench -- claims`: measures writes per second on the key-value service by claims per second. All claims go to
 * one claim store, because the usual writer of a shard receives the claims of all entries.
 * @module
 */
import { type Claim, ClaimStore } from "@gladewall/coordination";
import { createPlatformClients } from "@gladewall/entry";
import { LatencyHistogram, SystemClock } from "@gladewall/kernel";
import { FakeKeyValueServer } from "@gladewall/standins";

/** Measurements of one rate of claims. */
export interface ClaimsPoint {
  readonly claimsPerSecond: number;
  readonly claims: number;
  readonly won: number;
  readonly writesPerSecond: number;
  readonly medianMs: number;
  readonly p99Ms: number;
}

const rates = [1, 10, 100, 1_000];
const millisecondsPerSecond = 1000;
const tickMs = 10;

/** Runs the benchmark and measures each rate for `windowMs`. */
export async function runClaimsBench(windowMs: number, print: (line: string) => void): Promise<unknown> {
  const points: ClaimsPoint[] = [];
  for (const rate of rates) {
    const point = await measureRate(rate, windowMs);
    points.push(point);
    print(
      `${rate} claims/s: ${point.won} of ${point.claims} won, ${point.writesPerSecond.toFixed(1)} writes/s, ` +
        `median ${point.medianMs.toFixed(1)} ms, 99th ${point.p99Ms.toFixed(1)} ms`,
    );
  }
  return { command: "npm run bench -- claims", window: windowMs, points };
}

async function measureRate(rate: number, windowMs: number): Promise<ClaimsPoint> {
  const server = await FakeKeyValueServer.create();
  const { address } = server;
  const clients = createPlatformClients({
    key_value: "http-kv",
    key_value_address: address,
    instance_list: "http-list",
    instance_list_address: address,
    notices: "http-notices",
    notices_address: address,
    timeout: 2_000,
    list_interval: 1_000,
    prefix: "gladewall/",
    calls_per_second: 1_000,
  }).expect("the plug-ins are registered");
  const claimStore = ClaimStore.create({
    service: clients.keyValue,
    clock: SystemClock.create(),
    prefix: "claims/",
    shards: 8,
    minSwapIntervalMs: 100,
    timeoutMs: 2_000,
    retentionMs: 3_600_000,
    maxActiveBytes: 131_072,
  });
  const latency = new LatencyHistogram();
  let won = 0;
  const claim = async (number: number): Promise<void> => {
    const started = performance.now();
    const outcome = await claimStore.claim(createClaim(number));
    latency.record(performance.now() - started);
    if (outcome.isOk() && outcome.value.isWon) won += 1;
  };
  const running: Promise<void>[] = [];
  const started = performance.now();
  const getDueCount = (): number => ((performance.now() - started) / millisecondsPerSecond) * rate;
  while (performance.now() - started < windowMs) {
    while (running.length < getDueCount()) running.push(claim(running.length));
    await new Promise((resolve) => setTimeout(resolve, tickMs));
  }
  await Promise.all(running);
  const seconds = (performance.now() - started) / millisecondsPerSecond;
  const writesPerSecond = server.calls.writes / seconds;
  await Promise.all([
    clients.keyValue.close(),
    clients.list.close(),
    clients.notices.close(),
    server.close(),
  ]);
  const [medianMs, p99Ms] = [latency.getQuantile(0.5), latency.getQuantile(0.99)];
  return { claimsPerSecond: rate, claims: running.length, won, writesPerSecond, medianMs, p99Ms };
}

function createClaim(number: number): Claim {
  const key = `key-${number}`;
  return {
    key,
    request: `request-${number}`,
    writer: "entry-1#1",
    body: "b",
    endpoint: "runner-1",
    run: `run-${number}`,
  };
}
