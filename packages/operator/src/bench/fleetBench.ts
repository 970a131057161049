/**
 * `npm run bench -- fleet`: measures the peer traffic and the store calls of idle gateways, by number of instances. All
 * instances run in one process with a fake platform, so bytes, messages and calls are measured but CPU time is not.
 * @module
 */
import { SystemClock, waitFor } from "@gladewall/kernel";
import { createWorkspace, GatewayTestBench, FakePlatform, waitUntil } from "@gladewall/standins";

/** Measurements of one fleet size. */
export interface FleetPoint {
  readonly instances: number;
  /** Mean of the instances that are no collector; undefined in a full mesh, where every instance is a collector. */
  readonly member: PeerTrafficRate | undefined;
  /** Mean of the collectors. */
  readonly collector: PeerTrafficRate | undefined;
  /** Calls of the store per second by all instances together. */
  readonly storeCalls: number;
}

/** Peer traffic of an instance, in bytes and messages per second. */
export interface PeerTrafficRate {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly sentMessages: number;
}

const sizes = [8, 16, 24, 32, 48, 64, 96];
const workspaces = 16;
const endpoints = 60;
const millisecondsPerSecond = 1_000;

/** Runs the benchmark and measures each fleet size for `windowMs`. */
export async function runFleetBench(windowMs: number, print: (line: string) => void): Promise<unknown> {
  const points: FleetPoint[] = [];
  for (const size of sizes) {
    const point = await measureFleet(size, windowMs);
    points.push(point);
    print(formatPoint(point));
  }
  return { command: "npm run bench -- fleet", window: windowMs, workspaces, endpoints, points };
}

async function measureFleet(size: number, windowMs: number): Promise<FleetPoint> {
  const platform = FakePlatform.create();
  const names = Array.from({ length: workspaces }, (_, index) => `workspace-${index}`);
  platform.configure({
    workspaces: names.map((name) =>
      createWorkspace({ name, keys: [name], ratePerSecond: 1_000, burst: 1_000 }),
    ),
  });
  for (let index = 0; index < endpoints; index++)
    platform.putEndpoint({ id: `endpoint-${index}`, address: "127.0.0.1:1" });
  const bench = GatewayTestBench.create(platform);
  for (let index = 0; index < size; index++) await bench.start();
  const gateways = bench.instances.map(({ gateway }) => gateway);
  await waitUntil(() => gateways.every((gateway) => gateway.fleetSize === size && gateway.isReady()));
  await waitUntil(() => gateways.every((gateway) => gateway.isCollector || gateway.isFeedActive));
  const countCalls = (): number => platform.stores.reduce((sum, { calls }) => sum + calls, 0);
  const before = gateways.map((gateway) => ({ ...gateway.peerTraffic }));
  const callsBefore = countCalls();
  const clock = SystemClock.create();
  const since = clock.getTime();
  await waitFor(clock, windowMs);
  const seconds = (clock.getTime() - since) / millisecondsPerSecond;
  const rates = gateways.map((gateway, index) => ({
    isCollector: gateway.isCollector,
    sentBytes: (gateway.peerTraffic.sentBytes - before[index]!.sentBytes) / seconds,
    receivedBytes: (gateway.peerTraffic.receivedBytes - before[index]!.receivedBytes) / seconds,
    sentMessages: (gateway.peerTraffic.sentFrames - before[index]!.sentFrames) / seconds,
  }));
  const storeCalls = (countCalls() - callsBefore) / seconds;
  await bench.close();
  return {
    instances: size,
    member: getMean(rates.filter(({ isCollector }) => !isCollector)),
    collector: getMean(rates.filter(({ isCollector }) => isCollector)),
    storeCalls,
  };
}

function getMean(rates: readonly PeerTrafficRate[]): PeerTrafficRate | undefined {
  if (rates.length === 0) return undefined;
  const mean = (read: (rate: PeerTrafficRate) => number): number =>
    Math.round(rates.reduce((sum, rate) => sum + read(rate), 0) / rates.length);
  return {
    sentBytes: mean(({ sentBytes }) => sentBytes),
    receivedBytes: mean(({ receivedBytes }) => receivedBytes),
    sentMessages: mean(({ sentMessages }) => sentMessages),
  };
}

function formatPoint({ instances, member, collector, storeCalls }: FleetPoint): string {
  const format = (rate: PeerTrafficRate | undefined): string =>
    rate ? `${rate.sentBytes} B/s sent, ${rate.receivedBytes} B/s received` : "none";
  return `${instances} instances: a member ${format(member)}; a collector ${format(collector)}; ${storeCalls.toFixed(1)} store calls/s`;
}
