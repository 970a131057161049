/**
 * `npm run bench -- decisions`: measures the time that one decision on short capacity takes, at the size of the largest fleet.
 * Each figure is the median over batches, so that pauses of a busy machine do not count.
 * @module
 */
import { Endpoint, Placer, PrefixIndex } from "@gladewall/gateway";
import { VirtualClock } from "@gladewall/kernel";
import { LimitOrder, ServiceSlotScheduler, SlotOutcome, type SlotRequest } from "@gladewall/policy";
import { createService } from "@gladewall/standins";
import { SeededRandom } from "../soak/seededRandom.js";

/** Time of one kind of decision. */
export interface DecisionPoint {
  readonly decision: string;
  readonly microseconds: number;
}

const endpointCount = 1_300;
const waitingCount = 10_000;
const batches = 60;
const decisionsPerBatch = 50;
const nanosecondsPerMicrosecond = 1_000;
const randomSteps = 1_000_000;
const slots = 6;
const objectiveMs = 60_000;
const deadlineMs = 120_000;

/** Runs all measurements. */
export async function runDecisionsBench(
  print: (line: string) => void,
): Promise<{ readonly decisions: readonly DecisionPoint[] }> {
  const decisions = [
    measure("place, service without an engine", createPlacementDecision(false)),
    measure("place, engine", createPlacementDecision(true)),
    measure(`request, end and dispatch of a slot, ${waitingCount} waiting`, createSlotDecision()),
    measure("order inside a limit", createLimitDecision()),
  ];
  for (const { decision, microseconds } of decisions) print(`${decision}: ${microseconds.toFixed(1)} us`);
  return { decisions };
}

function measure(decision: string, decide: () => void): DecisionPoint {
  const times: number[] = [];
  for (let batch = 0; batch < batches; batch++) {
    const startedAt = process.hrtime.bigint();
    for (let count = 0; count < decisionsPerBatch; count++) decide();
    times.push(Number(process.hrtime.bigint() - startedAt) / decisionsPerBatch / nanosecondsPerMicrosecond);
  }
  times.sort((left, right) => left - right);
  return { decision, microseconds: times[Math.floor(batches / 2)] ?? 0 };
}

/** Returns numbers from 0 to 1, the same for the same seed. */
function createRandom(seed: number): () => number {
  const random = SeededRandom.create(seed);
  return () => random.getInteger(0, randomSteps) / randomSteps;
}

function createPlacementDecision(isEngine: boolean): () => void {
  const clock = VirtualClock.create();
  const engine = isEngine ? { slots: 64, tokenCapacity: 300_000 } : undefined;
  const service = createService({ name: "service", engine });
  const getRandom = createRandom(1);
  const endpoints = Array.from({ length: endpointCount }, (_, index) => createEndpoint(index, getRandom));
  const placer = Placer.create({
    clock,
    memory: PrefixIndex.create(),
    getPrefillRate: () => 40,
    getEndpoints: () => endpoints,
    getPeerWork: () => ({ active: 1, pendingTokens: 100 }),
    getFleetSize: () => endpointCount / 4,
    getRandom: Math.random,
  });
  const parts = [
    { id: "shared", tokens: 2_000 },
    { id: "own", tokens: 500 },
  ];
  const request = { service, promptTokens: 2_500, parts, excluded: new Set<string>() };
  return () => void placer.choose(request);
}

function createEndpoint(index: number, getRandom: () => number): Endpoint {
  const endpoint = Endpoint.create({
    id: `e${index}`,
    service: "service",
    address: "127.0.0.1:1",
    hall: "a",
    slots,
    isLeaving: false,
    isReclaimable: false,
  });
  const running = Math.floor(getRandom() * slots);
  endpoint.recordLoad({ running, waiting: 0, slots, pacePercent: 100 + Math.floor(getRandom() * 150) }, 0);
  return endpoint;
}

function createSlotDecision(): () => void {
  const clock = VirtualClock.create();
  const getRandom = createRandom(2);
  const scheduler = ServiceSlotScheduler.create({ clock, maxWaiting: 2 * waitingCount, getRandom });
  scheduler.setEndpoints([1, 2, 3, 4].map((number) => ({ incarnation: `e${number}`, slots })));
  const open: string[] = [];
  let nextId = 0;
  const add = (): void => {
    const id = String(nextId++);
    if (scheduler.request(createSlotRequest(id, getRandom)).outcome === SlotOutcome.Granted) open.push(id);
  };
  while (scheduler.getState().waiting < waitingCount) add();
  return () => {
    const id = open.shift();
    if (id !== undefined) scheduler.end({ id, isRejected: false, tookMs: 57, load: undefined });
    for (const grant of scheduler.dispatch().granted) open.push(grant.id);
    add();
  };
}

function createSlotRequest(id: string, getRandom: () => number): SlotRequest {
  return {
    id,
    requester: "i1",
    workspace: `w${Math.floor(getRandom() * 15.9)}`,
    route: "r",
    rank: Math.floor(getRandom() * 4),
    arrivedAt: 0,
    objectiveAt: objectiveMs,
    deadlineAt: deadlineMs,
    excluded: new Set(),
  };
}

function createLimitDecision(): () => void {
  const order = LimitOrder.create(VirtualClock.create());
  const getRandom = createRandom(3);
  return () => {
    const rank = Math.floor(getRandom() * 3);
    order.decide({ rank, units: 500, level: 90_000, capacity: 100_000, ratePerSecond: 10_000 });
  };
}
