/**
 * Simulates a fleet before brittle endpoints on a virtual clock: an endpoint crashes when it has to refuse more than it announced, and
 * is back after a while. Instances are killed, one, half or all together, are started again, and pause.
 * @module
 */
import { getSlotSubject, SlotResult } from "@gladewall/gateway";
import { type Clock, sortByRendezvous } from "@gladewall/kernel";
import { objectiveMs, SlotFleet, type SlotFleetOptions } from "./slotFleet.js";
import { SlotMember } from "./slotMember.js";
import { createSpreadRandom } from "./stepClock.js";

/** Parameters of a fleet. */
export interface BrittleFleetOptions extends SlotFleetOptions {
  readonly refusalLimit: number;
}

/** What callers and endpoints saw. */
export interface BrittleCounts {
  asked: number;
  served: number;
  crashes: number;
  refusals: number;
  /** Requests that were given up later than at their longest wait. */
  late: number;
}

interface RunningRequest {
  readonly member: SlotMember;
  readonly tokens: number;
  readonly workMs: number;
  finish: (isServed: boolean) => void;
}

/** One endpoint. It drops the requests of an instance that is killed. */
class SimulatedEndpoint {
  running: RunningRequest[] = [];
  waiting: RunningRequest[] = [];
  usedTokens = 0;
  downUntil = -Infinity;
  refusedAt: number[] = [];
}

const maxWaiting = 2;
const downMs = 3_000;
const windowMs = 1_000;
const rolesMs = 800;
const readerCount = 3;
/** Longest time from the start of an instance until it is linked with another. */
const maxLinkMs = 400;

/** A fleet and its endpoints. */
export class BrittleSlotFleet extends SlotFleet {
  readonly counts: BrittleCounts = { asked: 0, served: 0, crashes: 0, refusals: 0, late: 0 };
  /** Pairs of instances that are not linked yet. */
  private readonly unlinked = new Set<string>();
  private readonly random = createSpreadRandom(1);
  private readonly simulated = new Map<string, SimulatedEndpoint>();
  /** Last time at which an instance that paused could not handle what it received. */
  private readonly pausedAt = new Map<SlotMember, number>();
  private readonly deadSince = new Map<string, number>();
  private starts = 1;

  static override async create(options: BrittleFleetOptions): Promise<BrittleSlotFleet> {
    const fleet = new BrittleSlotFleet({ ...options, usesServiceScheduler: true });
    for (let index = 0; index < options.endpoints; index++)
      fleet.simulated.set(`e${index}`, new SimulatedEndpoint());
    await fleet.clock.advance(10);
    return fleet;
  }

  /** The timers of an instance that pauses run late. */
  override createClock(member: SlotMember): Clock {
    const { clock } = this;
    return {
      getTime: () => clock.getTime(),
      getBootTime: () => clock.getBootTime(),
      getWallTime: () => clock.getWallTime(),
      startTimer: (delayMs, callback) => {
        let isCancelled = false;
        const run = (): void => {
          if (!isCancelled) callback();
        };
        const timer = clock.startTimer(delayMs, () => {
          this.receive(member, run);
        });
        return {
          cancel: () => {
            isCancelled = true;
            timer.cancel();
          },
        };
      },
    };
  }

  /** Readers that have been unreachable for long are replaced by the next instances. */
  override get readers(): readonly string[] {
    const time = this.clock.getTime();
    const chosen: string[] = [];
    let reachable = 0;
    for (const { name } of this.members) {
      if (reachable >= readerCount) break;
      chosen.push(name);
      if (time - (this.deadSince.get(name) ?? Infinity) <= rolesMs || !this.dead.has(name)) reachable += 1;
    }
    return chosen;
  }

  /** The instance that decides for the others at present. */
  override get arbiter(): SlotMember {
    const alive = this.readers.filter((name) => !this.dead.has(name));
    const [first] = sortByRendezvous(getSlotSubject("web"), alive, (name) => name);
    return this.members.find(({ name }) => name === first) ?? this.members[0]!;
  }

  /** Kills an instance; its requests at endpoints are dropped. */
  override kill(member: SlotMember): void {
    this.deadSince.set(member.name, this.clock.getTime());
    super.kill(member);
    for (const endpoint of this.simulated.values()) {
      for (const request of [...endpoint.running, ...endpoint.waiting])
        if (request.member === member) this.drop(endpoint, request);
    }
  }

  /** Starts a killed instance again. */
  revive(killed: SlotMember): void {
    const index = this.members.indexOf(killed);
    if (index < 0) return;
    this.starts += 1;
    const member = new SlotMember(killed.name, this, false, this.starts);
    this.members[index] = member;
    this.dead.delete(member.name);
    this.deadSince.delete(member.name);
    for (const other of this.members) {
      if (other === member) continue;
      const pair = getPair(member.name, other.name);
      this.unlinked.add(pair);
      this.clock.startTimer(this.random() * maxLinkMs, () => this.link(pair, member, other.name));
    }
  }

  /** A pair is linked some time after one of them has started. */
  override isLinked(name: string, peer: string): boolean {
    return super.isLinked(name, peer) && !this.unlinked.has(getPair(name, peer));
  }

  private link(pair: string, member: SlotMember, peer: string): void {
    const other = this.members.find(({ name }) => name === peer);
    if (!other || member.isDead || other.isDead || !this.unlinked.delete(pair)) return;
    for (const listener of other.upListeners) listener(member.identity);
    for (const listener of member.upListeners) listener(other.identity);
  }

  /** Kills an instance now and starts it again after a time. */
  restart(member: SlotMember, afterMs: number): void {
    if (this.dead.has(member.name)) return;
    this.kill(member);
    this.clock.startTimer(afterMs, () => this.revive(member));
  }

  /** Asks for a slot at an instance, and sends the request if it gets one; it is counted as served when it has run. */
  async send(member: SlotMember, id: string, workMs: number, tokens = 0): Promise<void> {
    if (this.dead.has(member.name) || member.isFrozen) return;
    this.counts.asked += 1;
    const input = { ...this.createInput(id), isBrittle: true, tokens };
    const undecidedUntil = input.arrivedAt + objectiveMs;
    while (this.clock.getTime() <= undecidedUntil && !member.isDead) {
      const answer = await member.client.acquire(input, new AbortController().signal);
      const hasPaused = (this.pausedAt.get(member) ?? -Infinity) >= input.arrivedAt;
      if (this.clock.getTime() > input.deadlineAt && !hasPaused) this.counts.late += 1;
      if (answer.result === SlotResult.Refused || member.isDead) return;
      if (answer.slot) {
        answer.slot.recordSending();
        const isServed = await new Promise<boolean>((resolve) =>
          this.arrive(answer.slot!.endpoint, {
            member,
            tokens,
            workMs,
            finish: (isServed) => this.receive(member, () => resolve(isServed)),
          }),
        );
        if (member.isDead) return;
        if (isServed) this.counts.served += 1;
        else answer.slot.recordRejection();
        answer.slot.recordResponse(this.getLoad(answer.slot.endpoint));
        answer.slot.end();
        return;
      }
      await new Promise<void>((resolve) => this.clock.startTimer(40, resolve));
    }
  }

  /** Lets an instance handle what it receives, once it runs. */
  private receive(member: SlotMember, handle: () => void): void {
    if (!member.isFrozen) return handle();
    this.pausedAt.set(member, this.clock.getTime());
    this.held.push(handle);
  }

  private getLoad(id: string) {
    const { running, waiting } = this.simulated.get(id)!;
    const { slots } = this.options;
    return { running: running.length, waiting: waiting.length, slots, pacePercent: undefined };
  }

  private arrive(id: string, request: RunningRequest): void {
    const endpoint = this.simulated.get(id)!;
    const time = this.clock.getTime();
    if (time < endpoint.downUntil) return request.finish(false);
    if (endpoint.waiting.length === 0 && this.hasRoom(endpoint, request)) return this.run(endpoint, request);
    if (endpoint.waiting.length < maxWaiting) return void endpoint.waiting.push(request);
    this.counts.refusals += 1;
    endpoint.refusedAt = [...endpoint.refusedAt.filter((at) => at > time - windowMs), time];
    request.finish(false);
    if (endpoint.refusedAt.length > (this.options.refusalLimit ?? Infinity)) this.crash(endpoint);
  }

  private hasRoom(endpoint: SimulatedEndpoint, { tokens }: RunningRequest): boolean {
    const { slots, tokenCapacity = Infinity } = this.options;
    return endpoint.running.length < slots && endpoint.usedTokens + tokens <= tokenCapacity;
  }

  private run(endpoint: SimulatedEndpoint, request: RunningRequest): void {
    endpoint.running.push(request);
    endpoint.usedTokens += request.tokens;
    this.clock.startTimer(request.workMs, () => {
      if (!endpoint.running.includes(request)) return;
      this.drop(endpoint, request);
      request.finish(true);
    });
  }

  private drop(endpoint: SimulatedEndpoint, request: RunningRequest): void {
    if (endpoint.running.includes(request)) endpoint.usedTokens -= request.tokens;
    endpoint.running = endpoint.running.filter((one) => one !== request);
    endpoint.waiting = endpoint.waiting.filter((one) => one !== request);
    for (let next = endpoint.waiting[0]; next && this.hasRoom(endpoint, next); next = endpoint.waiting[0]) {
      endpoint.waiting.shift();
      this.run(endpoint, next);
    }
  }

  private crash(endpoint: SimulatedEndpoint): void {
    this.counts.crashes += 1;
    endpoint.downUntil = this.clock.getTime() + downMs;
    const lost = [...endpoint.running, ...endpoint.waiting];
    endpoint.running = [];
    endpoint.waiting = [];
    endpoint.usedTokens = 0;
    endpoint.refusedAt = [];
    for (const { finish } of lost) finish(false);
  }
}

function getPair(one: string, other: string): string {
  return [one, other].sort().join();
}
