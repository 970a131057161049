/**
 * Replays prompts at engines that share their machines with other workloads: each engine reads one prompt after the other, at a pace
 * that changes several times a second. Instances place with the real `Placer`; they learn an engine's load only from their own
 * responses, and get the others' placements announced, as in operation. Time is virtual.
 * @module
 */
import { type Endpoint, Placer, PrefixIndex } from "@gladewall/gateway";
import { type Clock, VirtualClock } from "@gladewall/kernel";
import type { EndpointLoad } from "@gladewall/policy";
import { createService } from "@gladewall/standins";
import { createKnownEndpoint } from "./knownEndpoints.js";
import { createDraw, EventQueue } from "./unevenLoad.js";

export interface UnevenPrompts {
  readonly seed: number;
  readonly instances: number;
  readonly endpoints: number;
  readonly perSecond: number;
  readonly usesReportedLoad: boolean;
  /** Report of an engine in place of its true load. */
  readonly falsify?: (load: EndpointLoad, endpoint: number) => EndpointLoad;
}

export interface UnevenPromptsResult {
  /** Share of the prompts whose first event came within the objective. */
  readonly inTime: number;
  readonly meanFirstMs: number;
}

const slots = 16;
const tokensPerMs = 50;
const minPrefillMs = 71;
const maxPrefillMs = 225;
const minDecodeMs = 300;
const maxDecodeMs = 1_800;
const objectiveMs = 600;
const durationMs = 12_000;
const slowShare = 0.15;
const slowPace = 2.5;
const paceLifetimeMs = 300;
const peerReportMs = 250;
const announcementMs = 5;

interface FakeEngine {
  pace: number;
  running: number;
  isReading: boolean;
  readonly prompts: { readonly prefillMs: number; readonly onRead: () => void }[];
}

interface FakeInstance {
  readonly endpoints: readonly Endpoint[];
  readonly placer: Placer;
  /** Work of the other instances by engine, as this instance knows it. */
  peers: { active: number; pendingTokens: number }[];
}

/** Plays one load of prompts. */
export class UnevenPromptsReplay {
  private readonly events = new EventQueue();
  private readonly clock: Clock = Object.assign(VirtualClock.create(), { getTime: () => this.events.time });
  private readonly paceDraw: () => number;
  private readonly loadDraw: () => number;
  private readonly placementDraw: () => number;
  private readonly engines: readonly FakeEngine[];
  private readonly instances: readonly FakeInstance[];
  private readonly service = createService({ name: "model", engine: { slots, tokenCapacity: 1e9 } });
  private prompts = 0;
  private inTime = 0;
  private totalMs = 0;

  private constructor(private readonly load: UnevenPrompts) {
    this.paceDraw = createDraw(load.seed);
    this.loadDraw = createDraw(load.seed + 1_000);
    this.placementDraw = createDraw(load.seed + 2_000);
    this.engines = Array.from({ length: load.endpoints }, () => ({
      pace: 1,
      running: 0,
      isReading: false,
      prompts: [],
    }));
    this.instances = Array.from({ length: load.instances }, () => this.createInstance());
  }

  static create(load: UnevenPrompts): UnevenPromptsReplay {
    return new UnevenPromptsReplay(load);
  }

  run(): UnevenPromptsResult {
    for (const engine of this.engines) this.changePace(engine, this.paceDraw() * paceLifetimeMs);
    this.reportWork();
    this.scheduleArrival();
    this.events.runAll();
    return { inTime: this.inTime / this.prompts, meanFirstMs: this.totalMs / this.prompts };
  }

  private createInstance(): FakeInstance {
    const endpoints = this.engines.map((_, index) => createKnownEndpoint({ id: `e${index}`, slots }));
    const peers = endpoints.map(() => ({ active: 0, pendingTokens: 0 }));
    const placer: Placer = Placer.create({
      clock: this.clock,
      memory: PrefixIndex.create(),
      getPrefillRate: () => tokensPerMs,
      getEndpoints: () => endpoints,
      getPeerWork: (incarnation) => instance.peers[Number(incarnation.slice(1))]!,
      getFleetSize: () => this.load.instances,
      usesReportedLoad: () => this.load.usesReportedLoad,
      getRandom: this.placementDraw,
    });
    const instance: FakeInstance = { endpoints, placer, peers };
    return instance;
  }

  private changePace(engine: FakeEngine, at: number): void {
    if (at > durationMs) return;
    this.events.add(at, () => {
      engine.pace = this.paceDraw() < slowShare ? slowPace : 1;
      this.changePace(engine, at + paceLifetimeMs * (0.5 + this.paceDraw()));
    });
  }

  /** Replaces what instances know of each other by their present work, as their periodic reports do. */
  private reportWork(): void {
    const { events, instances } = this;
    if (events.time > durationMs) return;
    const sums = this.engines.map((_, index) => ({
      active: instances.reduce((sum, { endpoints }) => sum + endpoints[index]!.active, 0),
      pendingTokens: instances.reduce((sum, { endpoints }) => sum + endpoints[index]!.pendingTokens, 0),
    }));
    for (const instance of instances) {
      instance.peers = sums.map(({ active, pendingTokens }, index) => ({
        active: active - instance.endpoints[index]!.active,
        pendingTokens: pendingTokens - instance.endpoints[index]!.pendingTokens,
      }));
    }
    events.add(events.time + peerReportMs, () => this.reportWork());
  }

  private scheduleArrival(): void {
    const { events, load, loadDraw } = this;
    const at = events.time - (Math.log(1 - loadDraw()) * 1_000) / load.perSecond;
    if (at > durationMs) return;
    events.add(at, () => {
      const instance = this.instances[Math.floor(loadDraw() * load.instances)]!;
      const prefillMs = minPrefillMs + (maxPrefillMs - minPrefillMs) * loadDraw();
      const decodeMs = minDecodeMs + (maxDecodeMs - minDecodeMs) * loadDraw();
      this.scheduleArrival();
      this.send(instance, prefillMs, decodeMs);
    });
  }

  private send(instance: FakeInstance, prefillMs: number, decodeMs: number): void {
    const { events, service, load } = this;
    const tokens = prefillMs * tokensPerMs;
    const placement = instance.placer.choose({
      service,
      promptTokens: tokens,
      parts: [],
      excluded: new Set(),
    });
    if (!placement) return;
    const { endpoint } = placement;
    const index = Number(endpoint.id.slice(1));
    const engine = this.engines[index]!;
    const sentAt = events.time;
    this.prompts += 1;
    engine.running += 1;
    endpoint.recordSent();
    endpoint.pendingTokens += tokens;
    events.add(sentAt + announcementMs, () => this.announce(instance, index, tokens));
    const onRead = (): void => {
      const firstMs = events.time - sentAt;
      this.totalMs += firstMs;
      if (firstMs <= objectiveMs) this.inTime += 1;
      endpoint.pendingTokens -= tokens;
      const { running, prompts, pace } = engine;
      const report = { running, waiting: prompts.length, slots, pacePercent: pace * 100 };
      endpoint.recordLoad(load.falsify?.(report, index) ?? report, events.time);
      events.add(events.time + decodeMs * pace, () => {
        engine.running -= 1;
        endpoint.recordEnded();
      });
    };
    engine.prompts.push({ prefillMs, onRead });
    if (!engine.isReading) this.readNext(engine);
  }

  private announce(sender: FakeInstance, index: number, tokens: number): void {
    for (const instance of this.instances) {
      if (instance === sender) continue;
      instance.peers[index]!.active += 1;
      instance.peers[index]!.pendingTokens += tokens;
    }
  }

  private readNext(engine: FakeEngine): void {
    const prompt = engine.prompts.shift();
    engine.isReading = prompt !== undefined;
    if (!prompt) return;
    this.events.add(this.events.time + prompt.prefillMs * engine.pace, () => {
      prompt.onRead();
      this.readNext(engine);
    });
  }
}
