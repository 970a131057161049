/**
 * Scenarios of a fleet that shares one workspace's limit, and what a simulation of one returns.
 * @module
 */
import { createSpreadRandom } from "./stepClock.js";

/** What is simulated; times are milliseconds from the start. */
export interface LimitScenario {
  readonly seed: number;
  readonly instances: number;
  readonly ratePerSecond: number;
  /** Time that a message takes to arrive. */
  readonly delayMs: number;
  /** Share of runs that are retried. */
  readonly retryShare: number;
  /** When a share of the instances is paused, and for how long. */
  readonly pauses: readonly { readonly at: number; readonly share: number; readonly forMs: number }[];
  /** When the first of the readers is killed. */
  readonly readerKills: readonly number[];
  /** When all instances are killed at once. */
  readonly fleetKills: readonly number[];
  /** Whether arbiters are called; without them, each instance decides by its own counts and views. */
  readonly hasArbiters: boolean;
  /** Load before and after the surge begins, as shares of the limit's rate. */
  readonly baseLoadShare: number;
  readonly surgeLoadShare: number;
  /** Units of the requests, used in rotation. */
  readonly sizes: readonly number[];
  /** Ranks of the requests, used in rotation; requests have no rank if left out, as with earlier builds. */
  readonly ranks?: readonly number[];
  /** Mode of the order inside the limit; `on` if left out. */
  readonly mode?: "off" | "observe" | "on";
  /** Time for which an instance that was killed has no link to any other after it has started again; 0 if left out. */
  readonly unlinkedMs?: number;
  /** Time for which an instance that was killed lists no other after it has started again; 0 if left out. */
  readonly unlistedMs?: number;
  /** Share of the instances that cannot call an arbiter during the surge; 0 if left out. */
  readonly cutShare?: number;
}

/** The result of a scenario. */
export interface LimitResult {
  /** Greatest share of the allowed units that ran in any window; 1 is all of them. */
  readonly maxShare: number;
  /** Share of the rate that ran after the first window of the surge. */
  readonly admittedShare: number;
  /** Share of the rate that ran in each second. */
  readonly perSecond: readonly number[];
  /** Requests refused before the surge. */
  readonly refusedBeforeSurge: number;
  /** Share of the requests of each size that were admitted during the surge. */
  readonly admittedBySize: readonly number[];
}

/** A surge to eight times a limit, without faults. */
export const baselineSurge: LimitScenario = {
  seed: 1,
  instances: 24,
  ratePerSecond: 200_000,
  delayMs: 15,
  retryShare: 0,
  pauses: [],
  readerKills: [],
  fleetKills: [],
  hasArbiters: true,
  baseLoadShare: 0.5,
  surgeLoadShare: 8,
  sizes: [12_000],
};

/** Creates the scenario of a seed, with random faults. */
export function createRandomScenario(seed: number): LimitScenario {
  const random = createSpreadRandom(seed * 31);
  const choose = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;
  const createTimes = (count: number): number[] =>
    Array.from({ length: count }, () => 3_000 + random() * 14_000);
  return {
    ...baselineSurge,
    seed,
    instances: choose([8, 24, 77]),
    ratePerSecond: choose([36_000, 200_000, 900_000]),
    delayMs: choose([1, 15, 150, 400]),
    retryShare: choose([0, 0.1, 0.3]),
    pauses: createTimes(3).map((at) => ({ at, share: choose([0.2, 0.5]), forMs: choose([100, 400, 1_400]) })),
    readerKills: choose([[], createTimes(2), [6_000, 8_000, 10_000, 12_000]]),
    fleetKills: choose([[], [9_000], [9_000, 12_500]]),
    // Every other seed plays requests of three ranks, without a further random number, which would change the scenario of a seed.
    ...(seed % 2 === 1 && { ranks: [0, 1, 2] }),
  };
}
