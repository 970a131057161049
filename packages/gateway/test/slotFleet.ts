/**
 * Simulates instances that share the slots of one service, on a virtual clock and without sockets. Messages have a delay; instances
 * are killed, frozen and cut off.
 * @module
 */
import {
  type OverloadMode,
  SlotResult,
  type SlotAnswer,
  SlotMessageKind,
  type SlotRequestInput,
} from "@gladewall/gateway";
import { type Clock, flushPromises } from "@gladewall/kernel";
import { createService } from "@gladewall/standins";
import { SlotMember } from "./slotMember.js";
import { StepClock } from "./stepClock.js";

const delayMs = 2;
const readerCount = 3;
export const workMs = 50;
export const objectiveMs = 300;
const timeoutMs = 1_500;
const service = createService({});

/** Parameters of a fleet. */
export interface SlotFleetOptions {
  readonly instances: number;
  readonly endpoints: number;
  /** Slots of each endpoint. */
  readonly slots: number;
  /** Instances, by index, whose builds do not know the messages. */
  readonly oldBuilds?: readonly number[];
  readonly mode?: OverloadMode;
  readonly maxWaitFactor?: number;
  /** Refusals a second that an endpoint bears; undefined if any number. */
  readonly refusalLimit?: number;
  /** Tokens that the memory of an endpoint holds; undefined if requests need none. */
  readonly tokenCapacity?: number;
  /** Whether only readers receive the reports of all instances, as in a large fleet. */
  readonly isLarge?: boolean;
  /** Whether slots are decided by the scheduler that the gateway uses; if not, they are granted in order of arrival. */
  readonly usesServiceScheduler?: boolean;
}

/** An attempt at a simulated endpoint. */
export interface SimulatedAttempt {
  readonly request: string;
  readonly endpoint: string;
  readonly hasGrant: boolean;
}

/** All instances, and the clock that they share. */
export class SlotFleet {
  readonly clock = new StepClock();
  readonly members: SlotMember[];
  readonly attempts: SimulatedAttempt[] = [];
  readonly answers = new Map<string, SlotAnswer>();
  /** Most requests with a grant that were at an endpoint at the same time. */
  maxGranted = 0;
  /** Whether messages that end grants are lost. */
  losesEnds = false;
  private readonly granted = new Map<string, number>();
  protected readonly dead = new Set<string>();
  private readonly lossListeners: { readonly pair: readonly string[]; readonly fail: () => void }[] = [];
  protected held: (() => void)[] = [];

  protected constructor(readonly options: SlotFleetOptions) {
    this.members = Array.from(
      { length: options.instances },
      (_, index) => new SlotMember(`i${index}`, this, options.oldBuilds?.includes(index) ?? false),
    );
    for (const one of this.members) {
      for (const other of this.members) {
        if (one !== other) for (const listener of one.upListeners) listener(other.identity);
      }
    }
  }

  /** Creates a fleet whose instances all see a contended service and have heard each other's announcements. */
  static async create(options: SlotFleetOptions): Promise<SlotFleet> {
    const fleet = new SlotFleet(options);
    await fleet.clock.advance(2 * delayMs);
    for (const member of fleet.members) fleet.reportFull(member);
    return fleet;
  }

  /** Lets promises settle, and then advances the time. */
  async advance(durationMs: number): Promise<void> {
    await flushPromises();
    await this.clock.advance(durationMs);
    await flushPromises();
  }

  get readers(): readonly string[] {
    return this.members.slice(0, readerCount).map(({ name }) => name);
  }

  /** Returns the clock of an instance. */
  createClock(_: SlotMember): Clock {
    return this.clock;
  }

  isCollector(name: string): boolean {
    return this.options.isLarge !== true || this.readers.includes(name);
  }

  getLinked(name: string): readonly string[] {
    return this.members.map((one) => one.name).filter((peer) => peer !== name && this.isLinked(name, peer));
  }

  /** The instance that decides for the others. */
  get arbiter(): SlotMember {
    return this.members.find(({ schedulers }) => schedulers.length > 0)!;
  }

  /** An instance that is no reader. */
  get client(): SlotMember {
    return this.members.at(-1)!;
  }

  isLinked(name: string, peer: string): boolean {
    return !this.dead.has(name) && !this.dead.has(peer);
  }

  onLost(name: string, peer: string, fail: () => void): void {
    this.lossListeners.push({ pair: [name, peer], fail });
  }

  /** Makes an instance see that all endpoints are full. */
  reportFull(member: SlotMember): void {
    const { slots } = this.options;
    for (const endpoint of member.endpoints) {
      const load = { running: slots, waiting: 1, slots, pacePercent: undefined };
      endpoint.recordLoad(load, this.clock.getTime());
    }
  }

  deliver(from: string, name: string, take: (member: SlotMember) => unknown): void {
    this.clock.startTimer(delayMs, () => {
      const member = this.members.find((one) => one.name === name)!;
      if (!this.isLinked(from, name)) return;
      if (member.isFrozen) this.held.push(() => void take(member));
      else void take(member);
    });
  }

  /** Lets a frozen instance handle what it has received meanwhile. */
  resume(member: SlotMember): void {
    member.isFrozen = false;
    for (const handle of this.held.splice(0)) handle();
  }

  /** Ends an instance; the others notice that their links to it are closed. */
  kill(member: SlotMember): void {
    this.dead.add(member.name);
    member.isDead = true;
    member.arbiter.close();
    for (const { pair, fail } of this.lossListeners) if (pair.includes(member.name)) fail();
    for (const other of this.members) {
      if (other !== member) for (const listener of other.downListeners) listener(member.identity);
    }
  }

  /** Asks for a slot and, unless refused, sends a request to an endpoint, where it takes `workMs`. */
  async serve(
    member: SlotMember,
    request: string,
    caller = new AbortController(),
    onAnswer = (): unknown => undefined,
  ): Promise<void> {
    const answer = await member.client.acquire(this.createInput(request), caller.signal);
    onAnswer();
    this.answers.set(request, answer);
    if (answer.result === SlotResult.Refused || answer.result === SlotResult.Abandoned) return;
    const { slot } = answer;
    const endpoint = slot?.endpoint ?? "e0";
    this.attempts.push({ request, endpoint, hasGrant: slot !== undefined });
    const count = (change: number): void => {
      if (slot) this.granted.set(endpoint, (this.granted.get(endpoint) ?? 0) + change);
      this.maxGranted = Math.max(this.maxGranted, this.granted.get(endpoint) ?? 0);
    };
    count(1);
    slot?.recordSending();
    await new Promise<void>((resolve) => this.clock.startTimer(workMs, resolve));
    count(-1);
    const load = { running: this.options.slots, waiting: 0, slots: this.options.slots, pacePercent: 100 };
    slot?.recordResponse(load);
    if (!this.losesEnds) slot?.end();
  }

  createInput(request: string): SlotRequestInput {
    const time = this.clock.getTime();
    return {
      request,
      service,
      workspace: "w",
      route: "r",
      rank: 0,
      arrivedAt: time,
      objectiveMs,
      deadlineAt: time + timeoutMs,
      excluded: [],
      isBrittle: false,
    };
  }
}

export { SlotMessageKind };
