/**
 * The soak test: callers make requests without pause while a seeded fault injector causes failures. At the end the
 * results that callers saw are compared with what the endpoints ran.
 * @module
 */
import { Logger } from "@gladewall/kernel";
import { fastEngineOptions } from "@gladewall/standins";
import { LocalFleet } from "../local/localFleet.js";
import { sampleConfiguration, sampleKeys } from "../local/sampleTable.js";
import { Caller } from "./caller.js";
import { checkGuarantees, type CheckResult } from "./checker.js";
import { type FaultCounts, FaultInjector } from "./faults.js";
import { SeededRandom } from "./seededRandom.js";
import { type CallerRequest, CallerRequestKind, type CallerResult } from "./types.js";

/** Size of the fleet of one user of the gateway. */
export interface UserSize {
  readonly halls: readonly string[];
  readonly runners: number;
  readonly webEndpoints: number;
}

/** Fleet sizes of the two users, by their name. */
export const userSizes: Readonly<Record<string, UserSize>> = {
  "skip-yards": { halls: ["zogno", "piazza", "lenna", "bergamo"], runners: 6, webEndpoints: 4 },
  tsarevets: { halls: ["lozenets", "mladost", "lyulin", "druzhba"], runners: 13, webEndpoints: 4 },
};

/** Options of a soak test. */
export interface SoakOptions {
  readonly seed: number;
  readonly user: UserSize;
  readonly entries: number;
  /** Time during which requests are made and faults are injected, milliseconds. */
  readonly durationMs: number;
  /** Number of concurrent callers. */
  readonly callers: number;
  /** Maximum number of requests in total. */
  readonly maxRequests: number;
  readonly print: (line: string) => void;
}

/** Result of a soak test. */
export interface SoakResult {
  readonly requests: number;
  readonly faults: FaultCounts;
  readonly check: CheckResult;
  readonly returns: number;
}

const faultPauseMs = 700;
const callerTimeoutMs = 40_000;
const overrides = [
  "peers.ping_interval=100",
  "peers.lost_after=800",
  "backups.takeover_after=200",
  "endpoints.idle_timeout=5000",
  "endpoints.backoff=50",
  "endpoints.backoff_highest=500",
  "entry.notice_lead=500",
  "claims.patience=800",
  "claims.peer_timeout=200",
  "requests.refuse_late=false",
  "platform.list_interval=300",
];
const unlimited = { requestsPerSecond: 1e6, tokensPerSecond: 1e9, concurrency: 1e6 };
const kinds = [
  { kind: CallerRequestKind.Stream, weight: 4 },
  { kind: CallerRequestKind.Whole, weight: 2 },
  { kind: CallerRequestKind.Draft, weight: 2 },
  { kind: CallerRequestKind.Booking, weight: 3 },
  { kind: CallerRequestKind.Page, weight: 1 },
];

/** Runs a soak test to its end. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const fleet = await createSoakFleet(options);
  const random = SeededRandom.create(options.seed);
  const injector = FaultInjector.create(fleet, SeededRandom.create(options.seed + 1), (line) =>
    options.print(`  ${line}`),
  );
  const caller = createSoakCaller(fleet);
  const end = performance.now() + options.durationMs;
  const results: CallerResult[] = [];
  let requestCount = 0;
  const runCaller = async (): Promise<void> => {
    while (performance.now() < end && requestCount < options.maxRequests) {
      requestCount += 1;
      results.push(await caller.makeRequest(createRequest(random, requestCount)));
    }
  };
  const injecting = injector.run(faultPauseMs);
  const callers = Promise.all(Array.from({ length: options.callers }, runCaller));
  await new Promise((resolve) => setTimeout(resolve, options.durationMs));
  await Promise.all([injector.stop(), injecting]);
  await callers;
  const check = checkGuarantees(results, fleet.getRecords());
  await caller.close();
  await fleet.close();
  const returns = results.reduce((sum, result) => sum + result.returns, 0);
  return { requests: results.length, faults: injector.counts, check, returns };
}

function createSoakFleet(options: SoakOptions): Promise<LocalFleet> {
  const { user, entries } = options;
  return LocalFleet.create({
    ...user,
    entries,
    configuration: {
      ...sampleConfiguration,
      rows: sampleConfiguration.rows.map((row) => ({ ...row, ...unlimited })),
    },
    engine: { ...fastEngineOptions, width: 16, tokenIntervalMs: 10 },
    logger: Logger.createSilent(),
    overrides,
  });
}

function createSoakCaller(fleet: LocalFleet): Caller {
  let nextIndex = 0;
  const chooseEntry = (): string => {
    const addresses = fleet.getCallerAddresses();
    return addresses[nextIndex++ % addresses.length] ?? "";
  };
  return Caller.create({
    chooseEntry,
    key: sampleKeys.cab,
    timeoutMs: callerTimeoutMs,
    modelService: "model",
    webService: "booking",
  });
}

function createRequest(random: SeededRandom, number: number): CallerRequest {
  const kind = random.chooseWeighted(kinds)?.kind ?? CallerRequestKind.Stream;
  const outputTokens = random.getInteger(3, 120);
  const requestClass = random.getInteger(0, 3) === 0 ? "urgent" : "standard";
  return { kind, mark: `soak-${number}-${random.getInteger(0, 1e9)}`, outputTokens, requestClass };
}
