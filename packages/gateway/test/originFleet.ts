/**
 * Simulates a fleet that forwards streams of endpoints in several software versions, on a step clock and without sockets: instances are
 * killed, paused and cut off, endpoints are killed and start in other versions, and records and messages arrive late. Callers take
 * streams up at any instance, and check which version wrote each event.
 * @module
 */
import { mayServe, type OriginRecorder, RouteKind, type StreamOrigin } from "@gladewall/gateway";
import type { PeerMessage } from "@gladewall/coordination";
import { Failure, FailureCode } from "@gladewall/kernel";
import { createRoute } from "@gladewall/standins";
import { Err, Ok, type Result } from "ts-results-es";
import { type MemberFleet, OriginMember, service, type SimulatedEndpoint } from "./originMember.js";
import { SimulatedStore } from "./originStore.js";
import { createSpreadRandom, StepClock } from "./stepClock.js";

const largestMesh = 10;
const keeperCount = 5;
const reconcileMs = 200;
const eventMs = 60;
const restartMs = 400;
/** Time within which an instance that starts has its links. */
const linkMs = 120;
const maxTakeUps = 3;
const returnMs = 40;
const recordLifetimeMs = 900;
const route = createRoute({
  kind: RouteKind.Stream,
  isResumable: true,
  targets: [{ service, weight: 1 }],
});

/** Parameters of a fleet. */
export interface OriginFleetOptions {
  readonly instances: number;
  readonly endpoints: number;
  readonly seed: number;
  /** Versions that endpoints are started in. */
  readonly versions: readonly (string | undefined)[];
  /** Largest time that a message takes, and that a record takes to reach an instance. */
  readonly delayMs?: number;
  readonly recordDelayMs?: number;
}

/** One stream of a caller. */
interface SimulatedStream {
  readonly id: string;
  readonly events: number;
  readonly written: string[];
  origin: string | undefined;
  attempts: number;
  takeUps: number;
}

/** The instances, their endpoints and their callers. */
export class OriginFleet implements MemberFleet {
  readonly clock = new StepClock();
  readonly random: () => number;
  readonly members: OriginMember[];
  readonly store = SimulatedStore.create((keys) => {
    for (const member of this.members) this.showItems(member, keys);
  });
  readonly violations: string[] = [];
  begun = 0;
  served = 0;
  /** Take-ups while two endpoints of the stream's version serve, and those that went on. */
  takenUp = 0;
  wentOn = 0;
  /** Messages and bytes of entries that instances sent. */
  messages = 0;
  /** Whether streams of the simulation are begun. */
  isOpen = true;
  private readonly endpoints: SimulatedEndpoint[] = [];
  private readonly cut = new Set<string>();
  /** Time at which the last message over each link arrives: none overtakes another. */
  private readonly lastArrivals = new Map<string, number>();
  private nextEndpoint = 0;

  constructor(readonly options: OriginFleetOptions) {
    this.random = createSpreadRandom(options.seed);
    this.members = Array.from({ length: options.instances }, (_, index) => new OriginMember(this, index));
    for (const member of this.members) member.isLinked = true;
    for (let index = 0; index < options.endpoints; index++) this.startEndpoint();
    this.reconcile();
  }

  findLiving(): readonly OriginMember[] {
    return this.members.filter(({ isAlive }) => isAlive);
  }

  /** Names of the keepers that are linked with a member. */
  getKeepers(member: OriginMember): readonly string[] {
    const { length } = this.members;
    const reachable = this.members.filter((other) => other !== member && this.isReachable(member, other));
    const keepers = length <= largestMesh ? reachable : reachable.slice(0, keeperCount);
    return keepers.map(({ name }) => name);
  }

  send(from: OriginMember, name: string, message: PeerMessage): boolean {
    const to = this.members.find((member) => member.name === name);
    if (!to || !this.isReachable(from, to)) return false;
    this.messages += 1;
    const link = `${from.name} ${to.name}`;
    const arrivesAt = Math.max(this.clock.getTime() + this.drawDelay(), this.lastArrivals.get(link) ?? 0);
    this.lastArrivals.set(link, arrivesAt);
    const deliver = (): void => {
      if (!to.isAlive || this.cut.has(to.name)) return;
      const waitMs = to.pausedUntil - this.clock.getTime();
      if (waitMs > 0) this.clock.startTimer(waitMs, deliver);
      else to.handlers.get(message.kind)?.(message, { name: from.name, incarnation: 1 });
    };
    this.clock.startTimer(arrivesAt - this.clock.getTime(), deliver);
    return true;
  }

  call(
    from: OriginMember,
    name: string,
    message: PeerMessage,
    timeoutMs: number,
  ): Promise<Result<unknown, Failure>> {
    const to = this.members.find((member) => member.name === name);
    return new Promise((resolve) => {
      const fail = (): void => resolve(Err(Failure.create(FailureCode.PeerUnreachable, { peer: name })));
      this.clock.startTimer(timeoutMs, fail);
      if (!to || !this.isReachable(from, to)) return fail();
      this.clock.startTimer(this.drawDelay(), () => {
        if (!to.isAlive || to.pausedUntil > this.clock.getTime()) return;
        const reply = to.handlers.get(message.kind)?.(message, { name: from.name, incarnation: 1 });
        this.clock.startTimer(this.drawDelay(), () => {
          if (this.isReachable(from, to)) resolve(Ok(reply));
        });
      });
    });
  }

  private showItems(member: OriginMember, keys: readonly string[]): void {
    for (const key of keys) member.items.handleItem(key, this.store.getItem(key));
  }

  /** Starts an endpoint in a version that is drawn; its record reaches the instances one after the other. */
  startEndpoint(): void {
    const { versions, recordDelayMs = 1 } = this.options;
    const version = versions[Math.floor(this.random() * versions.length)];
    const endpoint: SimulatedEndpoint = { id: `e${this.nextEndpoint++}`, version, isAlive: true };
    this.endpoints.push(endpoint);
    for (const member of this.members)
      this.clock.startTimer(
        this.random() * recordDelayMs,
        () => member.isAlive && member.addEndpoint(endpoint),
      );
  }

  /** Kills an endpoint; its record expires later. */
  killEndpoint(): void {
    const living = this.endpoints.filter(({ isAlive }) => isAlive);
    const endpoint = living[Math.floor(this.random() * living.length)];
    if (!endpoint) return;
    endpoint.isAlive = false;
    this.clock.startTimer(recordLifetimeMs, () => {
      this.endpoints.splice(this.endpoints.indexOf(endpoint), 1);
      for (const member of this.members) member.removeEndpoint(endpoint.id);
    });
  }

  /** Kills an instance and starts it again; it lists the records and the store's items, and is linked a little later. */
  kill(index: number): void {
    const member = this.members[index]!;
    if (!member.isAlive) return;
    member.isAlive = false;
    this.clock.startTimer(restartMs, () => {
      const next = new OriginMember(this, index);
      this.members[index] = next;
      this.showItems(next, this.store.keys);
      for (const endpoint of this.endpoints) next.addEndpoint(endpoint);
      this.clock.startTimer(this.random() * linkMs, () => {
        next.isLinked = true;
        for (const other of this.members) {
          if (other === next || !this.isReachable(next, other)) continue;
          for (const listener of other.linkListeners) listener({ name: next.name, incarnation: 2 });
          for (const listener of next.linkListeners) listener({ name: other.name, incarnation: 1 });
        }
      });
    });
  }

  pause(index: number, forMs: number): void {
    this.members[index]!.pausedUntil = this.clock.getTime() + forMs;
  }

  /** Cuts an instance off from its peers for a while. */
  cutOff(index: number, forMs: number): void {
    const { name } = this.members[index]!;
    this.cut.add(name);
    this.clock.startTimer(forMs, () => this.cut.delete(name));
  }

  /** Begins a stream at a random instance. */
  begin(): void {
    if (!this.isOpen) return;
    const events = 4 + Math.floor(this.random() * 28);
    const stream = {
      id: `r${this.begun++}`,
      events,
      written: [],
      origin: undefined,
      attempts: 0,
      takeUps: 0,
    };
    void this.attempt(stream);
  }

  private async attempt(stream: SimulatedStream): Promise<void> {
    const living = this.findLiving().filter(({ pausedUntil }) => pausedUntil <= this.clock.getTime());
    const member = living[Math.floor(this.random() * living.length)];
    if (!member) return this.comeBack(stream);
    stream.attempts += 1;
    const { origin: resumes, written } = stream;
    const isTakeUp = resumes !== undefined;
    const isCounted = isTakeUp && this.countAlive(written[0]) >= 2;
    if (isCounted) this.takenUp += 1;
    const head = {
      id: `${stream.id}-${stream.attempts}`,
      deadlineMs: undefined,
      key: undefined,
      promptTokens: undefined,
      outputTokens: undefined,
      parts: [],
      lastEventId: isTakeUp ? String(written.length) : undefined,
      resumes,
    };
    const request = { route, head, workspace: "" };
    const chosen = await member.takeUps.choose(request);
    if (chosen.isErr() || !member.isAlive) return this.comeBack(stream);
    const before = written.length;
    await this.forward(stream, member, request, chosen.value.origin);
    if (written.length > before && isCounted) this.wentOn += 1;
    if (written.length > before && !isTakeUp) this.served += 1;
    if (written.length < stream.events) this.comeBack(stream);
  }

  /** Forwards one response; another endpoint continues it if the first is killed, and it ends if the instance is. */
  private async forward(
    stream: SimulatedStream,
    member: OriginMember,
    request: Parameters<OriginRecorder["record"]>[0],
    resumed: StreamOrigin | undefined,
  ): Promise<void> {
    let origin = resumed;
    const tried = new Set<string>();
    let isRecorded = false;
    for (let attempt = 0; attempt < 4; attempt++) {
      const suitable = member.known.filter((one) => !tried.has(one.id) && mayServe(origin, one));
      const endpoint = suitable[Math.floor(this.random() * suitable.length)];
      if (!endpoint || !member.isAlive) return;
      tried.add(endpoint.id);
      const { softwareVersion } = endpoint.record;
      const process = this.endpoints.find(({ id }) => id === endpoint.id);
      while (stream.written.length < stream.events) {
        await this.wait(eventMs * (0.2 + this.random()));
        if (!process?.isAlive || !member.isAlive) break;
        origin ??= { service, softwareVersion };
        if (!isRecorded) member.recorder.record(request, origin);
        isRecorded = true;
        stream.origin ??= request.head.id;
        this.write(stream, softwareVersion);
      }
      if (stream.written.length === stream.events) return;
    }
  }

  private write({ id, written }: SimulatedStream, version: string | undefined): void {
    const text = String(version);
    if (written.length > 0 && written[0] !== text) this.violations.push(`${id}: ${written[0]} and ${text}`);
    written.push(text);
  }

  private comeBack(stream: SimulatedStream): void {
    stream.takeUps += 1;
    if (stream.takeUps > maxTakeUps) return;
    this.clock.startTimer(this.random() * returnMs, () => void this.attempt(stream));
  }

  private countAlive(version: string | undefined): number {
    return this.endpoints.filter((one) => one.isAlive && String(one.version) === version).length;
  }

  private isReachable(from: OriginMember, to: OriginMember): boolean {
    const isUp = from.isAlive && to.isAlive && from.isLinked && to.isLinked;
    return isUp && !this.cut.has(from.name) && !this.cut.has(to.name);
  }

  private drawDelay(): number {
    return 1 + this.random() * (this.options.delayMs ?? 4);
  }

  private wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => this.clock.startTimer(milliseconds, resolve));
  }

  private reconcile(): void {
    for (const { items, archive } of this.findLiving()) {
      items.reconcile();
      archive.reconcile();
    }
    this.clock.startTimer(reconcileMs, () => this.reconcile());
  }
}
