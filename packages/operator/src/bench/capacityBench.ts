/**
 * `npm run bench -- capacity`: measures the cost of control traffic for each entry, by number of entries and of
 * endpoints. All entries run in this process; a figure per instance is the process's figure divided by the number of
 * entries.
 * @module
 */
import { InstanceRole, InstanceState, PriceClass } from "@gladewall/coordination";
import { configurationCodec, configurationKey } from "@gladewall/entry";
import { Logger } from "@gladewall/kernel";
import type { Configuration } from "@gladewall/policy";
import { fastEngineOptions } from "@gladewall/standins";
import { LocalFleet } from "../local/localFleet.js";
import { sampleConfiguration, sampleKeys } from "../local/sampleTable.js";
import { Caller } from "../soak/caller.js";
import { CallerRequestKind, ResultKind } from "../soak/types.js";
import { type Fit, fitLine } from "./fitLine.js";

/** Measurements of one fleet size. */
export interface CapacityPoint {
  readonly entries: number;
  readonly endpoints: number;
  /** Control bytes sent per second and instance, idle. */
  readonly sentBytes: number;
  /** Control frames sent per second and instance, idle. */
  readonly sentFrames: number;
  /** CPU time per instance, idle, in percent of a core. */
  readonly processor: number;
  /** Heap per instance, bytes. */
  readonly memory: number;
  /** Calls of the key-value service per second and instance, idle. */
  readonly serviceCalls: number;
  /** Milliseconds from saving a configuration until all entries have applied it. */
  readonly inForceMs: number;
  /** Bytes that each instance sends because of one configuration change. */
  readonly changeBytes: number;
}

/** Measurements of one kind of request. */
export interface RequestPoint {
  readonly kind: string;
  readonly requests: number;
  /** Bytes sent to peers per request. */
  readonly peerBytes: number;
  /** CPU time per request in this process, including the fake endpoints and the callers, milliseconds. */
  readonly processorMs: number;
}

/** Content of the result file. */
export interface CapacityResult {
  readonly command: string;
  readonly window: number;
  readonly points: readonly CapacityPoint[];
  readonly requests: readonly RequestPoint[];
  readonly fits: Readonly<Record<string, Fit>>;
}

const millisecondsPerSecond = 1000;
const microsecondsPerMillisecond = 1000;
const percent = 100;
const settleTimeMs = 1_500;
const entryCounts = [3, 6, 9, 18, 36];
const endpointCounts = [190, 650, 1_300];
const entriesForEndpoints = 3;
const requestCount = 1_000;
const concurrency = 20;
const unlimited = { requestsPerSecond: 1e6, tokensPerSecond: 1e9, concurrency: 1e6, latencyTarget: 1e6 };
const outputTokens = 50;

/** The sample configuration with limits so high that the benchmark does not reach them. */
const benchConfiguration: Configuration = {
  ...sampleConfiguration,
  rows: sampleConfiguration.rows.map((row) => ({ ...row, ...unlimited })),
};

/** Runs the benchmark and measures each fleet size for `windowMs`. */
export async function runCapacityBench(
  windowMs: number,
  print: (line: string) => void,
): Promise<CapacityResult> {
  const points: CapacityPoint[] = [];
  for (const entries of entryCounts) points.push(await measureAndPrint(entries, 19, windowMs, print));
  for (const endpoints of endpointCounts) {
    points.push(await measureAndPrint(entriesForEndpoints, endpoints, windowMs, print));
  }
  const requests = await measureRequests(print);
  return {
    command: "npm run bench -- capacity",
    window: windowMs,
    points,
    requests,
    fits: createFits(points),
  };
}

async function measureAndPrint(
  entries: number,
  endpoints: number,
  windowMs: number,
  print: (line: string) => void,
): Promise<CapacityPoint> {
  const point = await measurePoint(entries, endpoints, windowMs);
  const { sentBytes, processor, memory, serviceCalls, inForceMs } = point;
  print(
    `${entries} entries, ${endpoints} endpoints: ${sentBytes.toFixed(0)} B/s, ${processor.toFixed(2)} % of a core, ` +
      `${(memory / 1e6).toFixed(1)} MB, ${serviceCalls.toFixed(2)} calls/s an instance; in force after ${inForceMs.toFixed(0)} ms`,
  );
  return point;
}

/** Settings that the operators' capacity page recommends for large fleets. */
const largeFleetSettings = ["endpoints.load_polls=2"];
const largeFleetEndpoints = 100;

function createFleet(entries: number, overrides: readonly string[] = []): Promise<LocalFleet> {
  return LocalFleet.create({
    entries,
    runners: 2,
    webEndpoints: 1,
    halls: ["zogno", "piazza", "lenna", "bergamo"],
    configuration: benchConfiguration,
    engine: fastEngineOptions,
    logger: Logger.createSilent(),
    overrides: ["platform.list_interval=1000", ...overrides],
  });
}

async function measurePoint(entries: number, endpoints: number, windowMs: number): Promise<CapacityPoint> {
  collectGarbage();
  const heapBefore = process.memoryUsage().heapUsed;
  const fleet = await createFleet(entries, endpoints > largeFleetEndpoints ? largeFleetSettings : []);
  publishEndpoints(fleet, endpoints);
  await pause(settleTimeMs);
  const before = readCounters(fleet);
  const processorBefore = process.cpuUsage();
  await pause(windowMs);
  const used = process.cpuUsage(processorBefore);
  const after = readCounters(fleet);
  collectGarbage();
  const memory = (process.memoryUsage().heapUsed - heapBefore) / entries;
  const seconds = windowMs / millisecondsPerSecond;
  const perInstance = (amount: number): number => amount / seconds / entries;
  const change = await measureChange(fleet);
  await fleet.close();
  return {
    entries,
    endpoints,
    sentBytes: perInstance(after.sentBytes - before.sentBytes),
    sentFrames: perInstance(after.sentFrames - before.sentFrames),
    processor: perInstance(
      ((used.user + used.system) / microsecondsPerMillisecond / millisecondsPerSecond) * percent,
    ),
    memory,
    serviceCalls: perInstance(after.serviceCalls - before.serviceCalls),
    ...change,
  };
}

/**
 * Publishes endpoints that all have the address of one fake engine. That suffices, because the benchmark measures the
 * state that an entry keeps for each endpoint on the list.
 */
function publishEndpoints(fleet: LocalFleet, count: number): void {
  const [engine] = fleet.engines.values();
  for (let index = fleet.engines.size + fleet.webs.size; index < count; index++) {
    fleet.platform.publish({
      id: `listed-${index}`,
      incarnation: 1,
      role: InstanceRole.Endpoint,
      service: "model",
      protocol: "openai-engine",
      address: engine?.address ?? "",
      hall: fleet.getHall(index),
      priceClass: PriceClass.Reclaimable,
      price: 100,
      state: InstanceState.Live,
    });
  }
}

interface Counters {
  readonly sentBytes: number;
  readonly sentFrames: number;
  readonly serviceCalls: number;
}

function readCounters(fleet: LocalFleet): Counters {
  let sentBytes = 0;
  let sentFrames = 0;
  for (const { entry } of fleet.entries) {
    sentBytes += entry.links.traffic.sentBytes;
    sentFrames += entry.links.traffic.sentFrames;
  }
  const { reads, writes, watches } = fleet.keyValue.calls;
  return { sentBytes, sentFrames, serviceCalls: reads + writes + watches };
}

async function measureChange(fleet: LocalFleet): Promise<Pick<CapacityPoint, "inForceMs" | "changeBytes">> {
  const next: Configuration = { ...benchConfiguration, version: 2 };
  const key = `gladewall/${configurationKey}`;
  const before = readCounters(fleet);
  const started = performance.now();
  fleet.keyValue.store.tryCompareAndSwap(
    key,
    configurationCodec.encode(next),
    fleet.keyValue.store.get(key)?.revision ?? 0,
  );
  await fleet.waitForView((entry) => entry.version === 2);
  const inForceMs = performance.now() - started;
  const after = readCounters(fleet);
  return { inForceMs, changeBytes: (after.sentBytes - before.sentBytes) / fleet.entries.length };
}

async function measureRequests(print: (line: string) => void): Promise<readonly RequestPoint[]> {
  const fleet = await createFleet(9);
  let nextIndex = 0;
  const addresses = fleet.getCallerAddresses();
  const caller = Caller.create({
    chooseEntry: () => addresses[nextIndex++ % addresses.length] ?? "",
    key: sampleKeys.cab,
    timeoutMs: 20_000,
    modelService: "model",
    webService: "booking",
  });
  const points: RequestPoint[] = [];
  for (const kind of [
    CallerRequestKind.Stream,
    CallerRequestKind.Draft,
    CallerRequestKind.Booking,
    CallerRequestKind.Page,
  ]) {
    points.push(await measureKind(fleet, caller, kind));
    const point = points[points.length - 1];
    if (point)
      print(
        `${point.kind}: ${point.peerBytes.toFixed(0)} B to peers, ${point.processorMs.toFixed(2)} ms a request`,
      );
  }
  await caller.close();
  await fleet.close();
  return points;
}

async function measureKind(
  fleet: LocalFleet,
  caller: Caller,
  kind: CallerRequestKind,
): Promise<RequestPoint> {
  const idle = await measureIdle(fleet);
  const before = readCounters(fleet);
  const processorBefore = process.cpuUsage();
  const started = performance.now();
  let complete = 0;
  for (let index = 0; index < requestCount; index += concurrency) {
    const pendingResults = Array.from({ length: concurrency }, (_, place) =>
      caller.makeRequest({
        kind,
        mark: `capacity-${kind}-${index + place}`,
        outputTokens,
        requestClass: "standard",
      }),
    );
    const results = await Promise.all(pendingResults);
    complete += results.filter(({ verdict }) => verdict === ResultKind.Complete).length;
  }
  const used = getMilliseconds(process.cpuUsage(processorBefore));
  const after = readCounters(fleet);
  const elapsed = performance.now() - started;
  return {
    kind: CallerRequestKind[kind],
    requests: complete,
    peerBytes: (after.sentBytes - before.sentBytes - idle.bytes * elapsed) / complete,
    processorMs: (used - idle.processor * elapsed) / complete,
  };
}

/** Measures the idle load of the whole fleet: bytes and milliseconds of CPU time, both per millisecond. */
async function measureIdle(
  fleet: LocalFleet,
): Promise<{ readonly bytes: number; readonly processor: number }> {
  const before = readCounters(fleet);
  const processorBefore = process.cpuUsage();
  await pause(settleTimeMs);
  const processor = getMilliseconds(process.cpuUsage(processorBefore)) / settleTimeMs;
  return { bytes: (readCounters(fleet).sentBytes - before.sentBytes) / settleTimeMs, processor };
}

function getMilliseconds(used: NodeJS.CpuUsage): number {
  return (used.user + used.system) / microsecondsPerMillisecond;
}

function createFits(points: readonly CapacityPoint[]): Readonly<Record<string, Fit>> {
  const byEntries = points.filter(({ endpoints }) => endpoints === 19).slice(0, entryCounts.length);
  const byEndpoints = points.slice(entryCounts.length);
  const fit = (of: readonly CapacityPoint[], by: keyof CapacityPoint, what: keyof CapacityPoint): Fit =>
    fitLine(of.map((point) => [point[by], point[what]]));
  return {
    "bytes by entries": fit(byEntries, "entries", "sentBytes"),
    "frames by entries": fit(byEntries, "entries", "sentFrames"),
    "processor by entries": fit(byEntries, "entries", "processor"),
    "memory by entries": fit(byEntries, "entries", "memory"),
    "service calls by entries": fit(byEntries, "entries", "serviceCalls"),
    "processor by endpoints": fit(byEndpoints, "endpoints", "processor"),
    "memory by endpoints": fit(byEndpoints, "endpoints", "memory"),
  };
}

function collectGarbage(): void {
  // `gc` exists only with --expose-gc, which `npm run bench` sets.
  (globalThis as { gc?: () => void }).gc?.();
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
