/**
 * Injects the faults of a soak test, chosen by a seeded random generator. Each fault ends by itself: an instance that
 * was removed is replaced, as the platform does.
 * @module
 */
import { EngineFault, KeyValueFault, WebFault } from "@gladewall/standins";
import type { LocalFleet } from "../local/localFleet.js";
import type { SeededRandom } from "./seededRandom.js";

/**
 * Number of injected faults by kind. The reclaim of an entry without time to act on its notice also counts as a crash.
 */
export interface FaultCounts {
  reclaims: number;
  crashes: number;
  outages: number;
  misbehaviours: number;
}

interface Fault {
  readonly name: string;
  readonly weight: number;
  readonly inject: () => Promise<void>;
}

const minEntries = 4;
const minEndpoints = 2;
const replaceDelayMs = 500;
const engineFaults = [
  EngineFault.CutStream,
  EngineFault.Refuse,
  EngineFault.Duplicate,
  EngineFault.Foreign,
  EngineFault.NoEndMark,
  EngineFault.SkipToken,
  EngineFault.IgnoreCancel,
];
const webFaults = [WebFault.CutAfterWork, WebFault.Refuse, WebFault.HalfBody];
const serviceFaults = [
  KeyValueFault.Down,
  KeyValueFault.Slow,
  KeyValueFault.ResponseLost,
  KeyValueFault.MissedWatches,
];

/** Injects faults until it is stopped. */
export class FaultInjector {
  readonly counts: FaultCounts = { reclaims: 0, crashes: 0, outages: 0, misbehaviours: 0 };
  private readonly faults: readonly Fault[];
  private readonly running = new Set<Promise<void>>();
  private isStopped = false;
  private hasServiceFault = false;

  private constructor(
    private readonly fleet: LocalFleet,
    private readonly random: SeededRandom,
    private readonly log: (line: string) => void,
  ) {
    this.faults = [
      { name: "endpoint reclaimed with notice", weight: 5, inject: () => this.reclaimEndpoint(true) },
      {
        name: "endpoint dies before it acts on its notice",
        weight: 2,
        inject: () => this.reclaimEndpoint(false),
      },
      { name: "entry reclaimed with notice", weight: 3, inject: () => this.reclaimEntry(true) },
      { name: "entry dies before it acts on its notice", weight: 2, inject: () => this.reclaimEntry(false) },
      { name: "entry dies", weight: 2, inject: () => this.killEntry() },
      { name: "endpoint dies", weight: 2, inject: () => this.killEndpoint() },
      { name: "a wave takes two data halls", weight: 1, inject: () => this.reclaimHalls() },
      { name: "key-value service fails", weight: 4, inject: () => this.failService() },
      { name: "engine misbehaves", weight: 4, inject: () => this.failEngine() },
      { name: "web endpoint misbehaves", weight: 3, inject: () => this.failWeb() },
    ];
  }

  static create(fleet: LocalFleet, seeded: SeededRandom, log: (line: string) => void): FaultInjector {
    return new FaultInjector(fleet, seeded, log);
  }

  /** Injects a fault every `pauseMs` on average until `stop`; faults may overlap. */
  async run(pauseMs: number): Promise<void> {
    while (!this.isStopped) {
      const fault = this.random.chooseWeighted(this.faults);
      if (fault) this.start(fault);
      // The pause is uniformly distributed from 0, so that some faults overlap.
      await pause(this.random.getInteger(0, pauseMs * 2));
    }
  }

  /** Injects no more faults, and resolves when the injected ones have ended. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.running);
    this.fleet.keyValue.setFault(KeyValueFault.None);
  }

  private start(fault: Fault): void {
    this.log(fault.name);
    const task: Promise<void> = fault.inject().finally(() => this.running.delete(task));
    this.running.add(task);
  }

  private async reclaimEndpoint(hasNotice: boolean): Promise<void> {
    const id = this.random.choose(this.fleet.getReplaceableEndpoints(minEndpoints));
    if (id === undefined) return;
    await this.reclaimEndpointById(id, hasNotice ? this.random.getInteger(500, 2_500) : 0);
  }

  private async reclaimEndpointById(id: string, noticeMs: number): Promise<void> {
    this.counts.reclaims += 1;
    this.fleet.platform.reclaim(id, noticeMs);
    this.fleet.markLeaving(id);
    await pause(noticeMs);
    await this.fleet.killEndpoint(id);
    await pause(replaceDelayMs);
    await this.fleet.replaceEndpoint(id);
  }

  private async reclaimEntry(hasNotice: boolean): Promise<void> {
    const id = this.random.choose(this.fleet.getReplaceableEntries(minEntries));
    if (id === undefined) return;
    this.counts.reclaims += 1;
    if (!hasNotice) this.counts.crashes += 1;
    const noticeMs = hasNotice ? this.random.getInteger(1_200, 2_500) : 0;
    this.fleet.platform.reclaim(id, noticeMs);
    this.fleet.markLeaving(id);
    await pause(noticeMs);
    await this.fleet.killEntry(id);
    await pause(replaceDelayMs);
    await this.fleet.addEntry(this.fleet.entries.length);
  }

  private async killEntry(): Promise<void> {
    const id = this.random.choose(this.fleet.getReplaceableEntries(minEntries));
    if (id === undefined) return;
    this.counts.crashes += 1;
    await this.fleet.killEntry(id);
    await pause(replaceDelayMs);
    await this.fleet.addEntry(this.fleet.entries.length);
  }

  private async killEndpoint(): Promise<void> {
    const id = this.random.choose(this.fleet.getReplaceableEndpoints(minEndpoints));
    if (id === undefined) return;
    this.counts.crashes += 1;
    await this.fleet.killEndpoint(id);
    await pause(replaceDelayMs);
    await this.fleet.replaceEndpoint(id);
  }

  private async reclaimHalls(): Promise<void> {
    const first = this.random.getInteger(0, this.fleet.options.halls.length - 1);
    const halls = new Set([this.fleet.getHall(first), this.fleet.getHall(first + 1)]);
    const noticeMs = this.random.getInteger(1_000, 2_500);
    const taken = this.fleet.getReclaimable(halls, minEndpoints);
    await Promise.all(taken.map((id) => this.reclaimEndpointById(id, noticeMs)));
  }

  private async failService(): Promise<void> {
    if (this.hasServiceFault) return;
    this.hasServiceFault = true;
    this.counts.outages += 1;
    const fault = this.random.choose(serviceFaults) ?? KeyValueFault.Down;
    this.fleet.keyValue.setFault(fault, 300);
    await pause(this.random.getInteger(500, 3_000));
    this.fleet.keyValue.setFault(KeyValueFault.None);
    this.hasServiceFault = false;
  }

  private async failEngine(): Promise<void> {
    const engine = this.random.choose(this.fleet.getLiveEngines());
    if (!engine) return;
    this.counts.misbehaviours += 1;
    engine.faultAfter = this.random.getInteger(1, 20);
    engine.fault = this.random.choose(engineFaults) ?? EngineFault.None;
    await pause(this.random.getInteger(500, 2_000));
    engine.fault = EngineFault.None;
  }

  private async failWeb(): Promise<void> {
    const web = this.random.choose(this.fleet.getLiveWebs());
    if (!web) return;
    this.counts.misbehaviours += 1;
    web.fault = this.random.choose(webFaults) ?? WebFault.None;
    await pause(this.random.getInteger(300, 1_000));
    web.fault = WebFault.None;
  }
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
