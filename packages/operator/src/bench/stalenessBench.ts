/**
 * `npm run bench -- staleness`: simulates engines that prefill prompts one after another while many instances place
 * requests by state of the engines that is some time old. It measures how much waiting time the stale state costs
 * compared with current state, and whether choosing among a few random engines, or adding noise, compensates for it.
 * The simulation uses no clock and no network, and its random numbers are seeded.
 * @module
 */
import { SeededRandom } from "../soak/seededRandom.js";

/** Rule by which an instance chooses an engine. */
export interface ChoiceRule {
  readonly name: string;
  /** Number of random engines to choose among; undefined for all. */
  readonly drawn?: number;
  /** Largest random time that is added to the known wait of each engine, milliseconds. */
  readonly spreadMs: number;
}

/** Result of one case. The times are waits before a prompt is prefilled, in milliseconds. */
export interface StalenessPoint {
  readonly engines: number;
  readonly instances: number;
  readonly requestsPerSecond: number;
  /** Mean time until an instance knows of a request that another instance placed. */
  readonly ageMs: number;
  readonly rule: string;
  readonly meanMs: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
}

interface Fleet {
  readonly engines: number;
  readonly instances: number;
  readonly requestsPerSecond: number;
}

interface Placement {
  readonly engine: number;
  readonly at: number;
  readonly readingMs: number;
}

const fleets: readonly Fleet[] = [
  { engines: 18, instances: 24, requestsPerSecond: 110 },
  { engines: 69, instances: 195, requestsPerSecond: 444 },
  { engines: 69, instances: 195, requestsPerSecond: 800 },
];
const ages = [0, 10, 25, 50, 100, 375];
const rules: readonly ChoiceRule[] = [
  { name: "least known", spreadMs: 4 },
  { name: "least known, spread 150 ms", spreadMs: 150 },
  { name: "least of 2 drawn", drawn: 2, spreadMs: 4 },
  { name: "least of 8 drawn", drawn: 8, spreadMs: 4 },
];
/** Prefill times of long, short and medium prompts at 64 tokens per millisecond, weighted by their frequency. */
const prompts = [
  { weight: 21, readingMs: 187 },
  { weight: 33, readingMs: 13 },
  { weight: 46, readingMs: 37 },
];
const seed = 26;
const warmUpMs = 5_000;
const lengthMs = 40_000;
/** Age after which every instance knows of a placement. */
const visibleAfterMs = 1_500;
const fractionSteps = 1_000_000;

/** Runs all combinations of fleet, age and rule. */
export async function runStalenessBench(print: (line: string) => void): Promise<unknown> {
  const points: StalenessPoint[] = [];
  for (const fleet of fleets) {
    for (const ageMs of ages) {
      for (const rule of rules) {
        const point = measureCase(fleet, ageMs, rule);
        points.push(point);
        print(formatPoint(point));
      }
    }
  }
  return { command: "npm run bench -- staleness", seed, lengthMs, points };
}

/** Simulates one case. */
export function measureCase(fleet: Fleet, ageMs: number, rule: ChoiceRule): StalenessPoint {
  const random = SeededRandom.create(seed);
  const drawFraction = (): number => random.getInteger(0, fractionSteps - 1) / fractionSteps;
  const busyUntil = new Float64Array(fleet.engines);
  const waits: number[] = [];
  let recent: Placement[] = [];
  for (let time = 0; time < lengthMs;) {
    time += (-Math.log(1 - drawFraction()) * 1_000) / fleet.requestsPerSecond;
    const readingMs = (random.chooseWeighted(prompts)?.readingMs ?? 0) * (0.5 + drawFraction());
    // An instance made 1 / `instances` of the requests itself and knows those at once, the others only after the age.
    const unseen = recent.filter(
      ({ at }) => at > time - ageMs * (0.5 + drawFraction()) && drawFraction() > 1 / fleet.instances,
    );
    const engine = chooseEngine(busyUntil, unseen, time, rule, drawFraction);
    const startsAt = Math.max(time, busyUntil[engine]!);
    busyUntil[engine] = startsAt + readingMs;
    recent = [...recent.filter(({ at }) => at > time - visibleAfterMs), { engine, at: time, readingMs }];
    if (time > warmUpMs) waits.push(startsAt - time);
  }
  return { ...fleet, ageMs, rule: rule.name, ...summarize(waits) };
}

function chooseEngine(
  busyUntil: Float64Array,
  unseen: readonly Placement[],
  time: number,
  { drawn, spreadMs }: ChoiceRule,
  drawFraction: () => number,
): number {
  const unseenMs = new Map<number, number>();
  for (const { engine, readingMs } of unseen) unseenMs.set(engine, (unseenMs.get(engine) ?? 0) + readingMs);
  let best = 0;
  let leastMs = Infinity;
  for (const engine of drawEngines(busyUntil.length, drawn, drawFraction)) {
    const knownMs = Math.max(0, busyUntil[engine]! - time - (unseenMs.get(engine) ?? 0));
    const score = knownMs + drawFraction() * spreadMs;
    if (score >= leastMs) continue;
    leastMs = score;
    best = engine;
  }
  return best;
}

function drawEngines(count: number, drawn: number | undefined, drawFraction: () => number): Iterable<number> {
  if (drawn === undefined || drawn >= count) return Array.from({ length: count }, (_, engine) => engine);
  const chosen = new Set<number>();
  while (chosen.size < drawn) chosen.add(Math.floor(drawFraction() * count));
  return chosen;
}

function summarize(waits: readonly number[]): Pick<StalenessPoint, "meanMs" | "p90Ms" | "p99Ms"> {
  const sorted = Float64Array.from(waits).sort();
  const getQuantile = (share: number): number => Math.round(sorted[Math.floor(sorted.length * share)] ?? 0);
  const meanMs = Math.round(waits.reduce((sum, wait) => sum + wait, 0) / Math.max(1, waits.length));
  return { meanMs, p90Ms: getQuantile(0.9), p99Ms: getQuantile(0.99) };
}

function formatPoint(point: StalenessPoint): string {
  const { engines, requestsPerSecond, ageMs, rule, meanMs, p90Ms, p99Ms } = point;
  return (
    `${engines} engines, ${requestsPerSecond} requests/s, known after ${ageMs} ms, ${rule}: ` +
    `waits ${meanMs} ms in the mean, 90th ${p90Ms}, 99th ${p99Ms}`
  );
}
