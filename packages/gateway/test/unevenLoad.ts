/**
 * Replays the load of a web service whose endpoints share their machines with other workloads: at any time some endpoints are
 * slower, and which ones changes several times a second. Instances place with the real `Placer`; each of them learns the load of an
 * endpoint only from its own responses, and the open requests of the others late. Time is virtual.
 * @module
 */
import { type Endpoint, Placer, PrefixIndex } from "@gladewall/gateway";
import { type Clock, VirtualClock } from "@gladewall/kernel";
import type { EndpointLoad } from "@gladewall/policy";
import { createService } from "@gladewall/standins";
import { createKnownEndpoint } from "./knownEndpoints.js";

export interface UnevenLoad {
  readonly seed: number;
  readonly instances: number;
  readonly endpoints: number;
  readonly slots: number;
  readonly queue: number;
  readonly perSecond: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly durationMs: number;
  readonly usesReportedLoad: boolean;
  /** Share of the endpoints that are slower at a time. */
  readonly slowShare?: number;
  /** Report of an endpoint in place of its true load; undefined if it reports none. */
  readonly falsify?: (load: EndpointLoad, endpoint: number, time: number) => EndpointLoad | undefined;
}

export interface UnevenLoadResult {
  readonly requests: number;
  /** Share of the requests that were served within the objective. */
  readonly inTime: number;
  readonly rejections: number;
  readonly meanMs: number;
  /** Requests served by each endpoint. */
  readonly served: readonly number[];
  /** Most requests that ran or waited at an endpoint. */
  readonly longest: number;
}

const slowPace = 2.5;
const paceLifetimeMs = 300;
const peerReportMs = 250;
const peerDelayMs = 30;
const linkMs = 1;
const maxAttempts = 2;

/** Returns a generator of pseudo-random numbers from 0 to 1, determined by the seed (mulberry32). */
export function createDraw(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

/** Events in order of time, as a binary heap. */
export class EventQueue {
  time = 0;
  private readonly heap: Event[] = [];

  add(at: number, run: () => void): void {
    const { heap } = this;
    let index = heap.push({ at, run }) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (heap[parent]!.at <= heap[index]!.at) break;
      [heap[parent], heap[index]] = [heap[index]!, heap[parent]!];
      index = parent;
    }
  }

  runAll(): void {
    for (let next = this.take(); next; next = this.take()) {
      this.time = next.at;
      next.run();
    }
  }

  private take(): Event | undefined {
    const { heap } = this;
    const first = heap[0];
    const last = heap.pop();
    if (!first || !last || heap.length === 0) return first;
    heap[0] = last;
    let index = 0;
    for (;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2])
        if (child < heap.length && heap[child]!.at < heap[least]!.at) least = child;
      if (least === index) return first;
      [heap[least], heap[index]] = [heap[index]!, heap[least]!];
      index = least;
    }
  }
}

/** An endpoint with slots, a queue, and a pace that changes. */
class FakeEndpoint {
  pace = 1;
  running = 0;
  readonly waiting: (() => void)[] = [];
}

interface FakeInstance {
  readonly endpoints: readonly Endpoint[];
  readonly placer: Placer;
}

/** Plays one load. */
export class UnevenLoadReplay {
  private readonly events = new EventQueue();
  private readonly clock: Clock = Object.assign(VirtualClock.create(), { getTime: () => this.events.time });
  private readonly paceDraw: () => number;
  private readonly loadDraw: () => number;
  private readonly placementDraw: () => number;
  private readonly fakes: readonly FakeEndpoint[];
  private readonly instances: readonly FakeInstance[];
  /** Open requests by endpoint, in total and of each instance, as the instances last reported them. */
  private reported: readonly (readonly number[])[] = [];
  private reportedSums: readonly number[] = [];
  private readonly served: number[];
  private requests = 0;
  private inTime = 0;
  private rejections = 0;
  private totalMs = 0;
  private longest = 0;

  private constructor(private readonly load: UnevenLoad) {
    this.paceDraw = createDraw(load.seed);
    this.loadDraw = createDraw(load.seed + 1_000);
    this.placementDraw = createDraw(load.seed + 2_000);
    this.fakes = Array.from({ length: load.endpoints }, () => new FakeEndpoint());
    this.served = this.fakes.map(() => 0);
    this.instances = Array.from({ length: load.instances }, (_, index) => this.createInstance(index));
  }

  static create(load: UnevenLoad): UnevenLoadReplay {
    return new UnevenLoadReplay(load);
  }

  run(): UnevenLoadResult {
    for (const fake of this.fakes) this.changePace(fake, this.paceDraw() * paceLifetimeMs);
    this.events.add(0, () => this.reportWork());
    this.scheduleArrival();
    this.events.runAll();
    const { requests, inTime, rejections, totalMs, served, longest } = this;
    return {
      requests,
      inTime: inTime / requests,
      rejections,
      meanMs: totalMs / requests,
      served,
      longest,
    };
  }

  private createInstance(index: number): FakeInstance {
    const { load } = this;
    const endpoints = this.fakes.map((_, endpoint) =>
      createKnownEndpoint({ id: `e${endpoint}`, slots: load.slots }),
    );
    const placer = Placer.create({
      clock: this.clock,
      memory: PrefixIndex.create(),
      getPrefillRate: () => 50,
      getEndpoints: () => endpoints,
      getPeerWork: (incarnation) => {
        const endpoint = Number(incarnation.slice(1));
        const others = (this.reportedSums[endpoint] ?? 0) - (this.reported[index]?.[endpoint] ?? 0);
        return { active: others, pendingTokens: 0 };
      },
      getFleetSize: () => load.instances,
      usesReportedLoad: () => load.usesReportedLoad,
      getRandom: this.placementDraw,
    });
    return { endpoints, placer };
  }

  private changePace(fake: FakeEndpoint, at: number): void {
    if (at > this.load.durationMs) return;
    this.events.add(at, () => {
      fake.pace = this.paceDraw() < (this.load.slowShare ?? 0.15) ? slowPace : 1;
      this.changePace(fake, at + paceLifetimeMs * (0.5 + this.paceDraw()));
    });
  }

  private reportWork(): void {
    const { events, instances } = this;
    if (events.time > this.load.durationMs) return;
    const work = instances.map(({ endpoints }) => endpoints.map(({ active }) => active));
    events.add(events.time + peerDelayMs, () => {
      this.reported = work;
      this.reportedSums = this.fakes.map((_, index) => work.reduce((sum, own) => sum + own[index]!, 0));
    });
    events.add(events.time + peerReportMs, () => this.reportWork());
  }

  private scheduleArrival(): void {
    const { events, load } = this;
    const at = events.time - (Math.log(1 - this.loadDraw()) * 1_000) / load.perSecond;
    if (at > load.durationMs) return;
    events.add(at, () => {
      const instance = this.instances[Math.floor(this.loadDraw() * load.instances)]!;
      const workMs = load.workMs * (0.5 + this.loadDraw());
      this.scheduleArrival();
      this.requests += 1;
      this.send({ instance, workMs, arrivedAt: at, excluded: new Set() });
    });
  }

  private send(request: FakeRequest): void {
    const { events, load } = this;
    const { instance, excluded, arrivedAt } = request;
    const service = replayedService;
    const placement = instance.placer.choose({ service, promptTokens: 0, parts: [], excluded });
    if (!placement) return;
    const { endpoint } = placement;
    const index = Number(endpoint.id.slice(1));
    const sentAt = events.time;
    excluded.add(endpoint.incarnation);
    endpoint.recordSent();
    const finish = (isServed: boolean): void => {
      const report = this.getReport(index);
      events.add(events.time + linkMs, () => {
        if (report) endpoint.recordLoad(report, events.time);
        endpoint.recordOutcome(isServed, events.time);
        endpoint.recordEnded();
        if (!isServed) return this.handleRejection(request, endpoint);
        const pace = instance.placer.getPace(endpoint, events.time);
        endpoint.recordLatency(events.time - sentAt, pace);
        this.served[index]! += 1;
        const tookMs = events.time - arrivedAt;
        this.totalMs += tookMs;
        if (tookMs <= load.objectiveMs) this.inTime += 1;
      });
    };
    events.add(sentAt + linkMs, () => this.receive(index, request.workMs, finish));
  }

  private handleRejection(request: FakeRequest, endpoint: Endpoint): void {
    this.rejections += 1;
    endpoint.recordRejected(this.events.time);
    if (request.excluded.size < maxAttempts) this.send(request);
  }

  private receive(index: number, workMs: number, finish: (isServed: boolean) => void): void {
    const { load, events } = this;
    const fake = this.fakes[index]!;
    const start = (): void => {
      fake.running += 1;
      events.add(events.time + workMs * fake.pace, () => {
        finish(true);
        fake.running -= 1;
        fake.waiting.shift()?.();
      });
    };
    if (fake.running < load.slots) start();
    else if (fake.waiting.length < load.queue) fake.waiting.push(start);
    else finish(false);
    this.longest = Math.max(this.longest, fake.running + fake.waiting.length);
  }

  private getReport(index: number): EndpointLoad | undefined {
    const fake = this.fakes[index]!;
    const { slots, falsify } = this.load;
    const load = {
      running: fake.running,
      waiting: fake.waiting.length,
      slots,
      pacePercent: Math.round(fake.pace * 100),
    };
    return falsify ? falsify(load, index, this.events.time) : load;
  }
}

interface FakeRequest {
  readonly instance: FakeInstance;
  readonly workMs: number;
  readonly arrivedAt: number;
  /** Incarnations of the endpoints that the request was sent to. */
  readonly excluded: Set<string>;
}

const replayedService = createService({ name: "web" });
