/**
 * Simulates a fleet and one endpoint that advertises a limit, on a virtual clock and without sockets. Instances learn of the
 * limit from responses and peers, request permits, and are killed, paused, slowed and disconnected; messages have a delay. The
 * result is the number of requests that arrive at the endpoint in an exact sliding window.
 * @module
 */
import {
  Arbiters,
  Endpoint,
  type EndpointDirectory,
  EndpointLimits,
  PermitIssuer,
  LimitGossip,
  LimitItem,
  limitsKey,
  LimitMessageKind,
  PermitClient,
  type PermitRequest,
  AvailabilityCache,
} from "@gladewall/gateway";
import type { PeerIdentity, PeerLinks, PeerMessage } from "@gladewall/coordination";
import { Failure, FailureCode, Logger } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { ArrivalLog } from "./arrivalLog.js";
import { createKnownEndpoint } from "./knownEndpoints.js";
import { findAdvertised, findEnd, type PermitResult, type PermitScenario } from "./permitScenario.js";
import { PermitStore } from "./permitStore.js";
import { createSpreadRandom, StepClock } from "./stepClock.js";

const delayMs = 3;
const slowMs = 120;
const workMs = 40;
/** Share of requests with a slow connection setup, and its longest duration. */
const slowConnectShare = 0.05;
const slowConnectMs = 250;
const restartMs = 700;
/** Time between two reports of an instance, before which it writes to the store what has changed. */
const reportMs = 250;
const lostAfterMs = 2_500;
const maxMeshSize = 10;
const readerCount = 3;
const stepMs = 5;
const leftMs = 5_000;
const urgentRank = 0;
const usualRank = 3;
const millisecondsPerSecond = 1_000;

type Handler = (message: PeerMessage, peer: PeerIdentity) => unknown;

/** One incarnation of one instance. */
class Member {
  readonly endpoint: Endpoint = createKnownEndpoint({ id: "e" });
  readonly handlers = new Map<number, Handler>();
  readonly limits: EndpointLimits;
  readonly permits: PermitClient;
  readonly identity: PeerIdentity;
  /** The limits in the store. */
  readonly item: LimitItem;
  private isListed = false;
  pausedUntil = 0;
  slowUntil = 0;
  messages = 0;
  private readonly upListeners: ((peer: PeerIdentity) => void)[] = [];

  constructor(
    readonly name: string,
    private readonly fleet: PermitFleet,
    readonly knowsLimits: boolean,
  ) {
    const { clock, draw } = fleet;
    const logger = Logger.createSilent();
    this.identity = { name, incarnation: clock.getTime() + 1 };
    const availabilities = AvailabilityCache.create(clock);
    availabilities.touch(this.endpoint.incarnation, this.endpoint.availability);
    const directory = {
      availabilities,
      find: () => this.endpoint,
      getAvailability: () => this.endpoint.availability,
    };
    const known = directory as Partial<EndpointDirectory> as EndpointDirectory;
    this.limits = EndpointLimits.create({ clock, logger, directory: known });
    const arbiters = Arbiters.create({
      clock,
      logger,
      ownName: name,
      getReaders: () => fleet.getReaders(),
      isLinked: (peer) => fleet.isLinked(name, peer),
      call: (peer, message, timeoutMs) => this.call(peer, message, timeoutMs),
    });
    this.permits = PermitClient.create({
      ownName: name,
      clock,
      logger,
      metrics: { countPermit: () => undefined },
      limits: this.limits,
      issuer: PermitIssuer.create({ clock, logger, getRandom: draw }),
      arbiters,
      canIssuePermits: (peer) => links.canIssuePermits(peer),
      getFleetSize: () => fleet.scenario.instances,
    });
    const links = LimitGossip.create({
      fleet: this.createFleet(),
      directory: known,
      limits: this.limits,
      decide: (call, requester) => this.permits.decide(call, requester),
    });
    if (!knowsLimits) this.handlers.clear();
    this.item = this.createItem();
    // An instance lists the gateway's items before it serves.
    this.readItem();
    this.isListed = true;
  }

  /** Reads the limits in the store. */
  readItem(): void {
    if (this.knowsLimits) this.item.handleItem(limitsKey, this.fleet.store.item);
  }

  private createItem(): LimitItem {
    const { fleet, limits } = this;
    return LimitItem.create({
      store: fleet.store,
      clock: fleet.clock,
      logger: Logger.createSilent(),
      limits,
      isWriter: () => fleet.getReaders().find((reader) => fleet.isRunning(reader)) === this.name,
      isListed: () => this.isListed,
    });
  }

  /** The fleet as the broadcaster sees it. */
  private createFleet() {
    const { fleet, name } = this;
    const links = {
      setHandler: (kind: number, handler: Handler) => void this.handlers.set(kind, handler),
      onLinkUp: (listener: (peer: PeerIdentity) => void) => void this.upListeners.push(listener),
      send: (peer: string, message: PeerMessage) => this.send(peer, message),
      broadcast: (message: PeerMessage, except?: string) => {
        for (const peer of fleet.getLinked(name)) if (peer !== except) this.send(peer, message);
      },
    };
    return {
      links: links as Partial<PeerLinks> as PeerLinks,
      get isCollector(): boolean {
        return fleet.isMesh || fleet.getReaders().includes(name);
      },
      get isMesh(): boolean {
        return fleet.isMesh;
      },
      getLinkedReaders: () => fleet.getReaders().filter((peer) => fleet.isLinked(name, peer)),
    };
  }

  handleUp(peer: PeerIdentity): void {
    if (this.knowsLimits) for (const listener of this.upListeners) listener(peer);
  }

  private send(peer: string, message: PeerMessage): boolean {
    this.messages += 1;
    const copy = structuredClone(message);
    this.fleet.send(this, peer, (member) => void member.handlers.get(copy.kind)?.(copy, this.identity));
    return true;
  }

  private call(peer: string, message: PeerMessage, timeoutMs: number): Promise<Result<unknown, Failure>> {
    const { fleet } = this;
    this.messages += 1;
    return new Promise((resolve) => {
      const fail = (): void => resolve(Err(Failure.create(FailureCode.PeerUnreachable, { peer })));
      const timer = fleet.clock.startTimer(timeoutMs, fail);
      fleet.send(this, peer, (member) => {
        const handler = member.handlers.get(message.kind);
        if (!handler) return;
        member.messages += 1;
        const reply = handler(structuredClone(message), this.identity);
        fleet.send(member, this.name, () => {
          timer.cancel();
          resolve(Ok(reply));
        });
      });
    });
  }
}

/** All instances, the endpoint, and the clock that they share. */
class PermitFleet {
  readonly draw: () => number;
  readonly clock = new StepClock();
  private readonly members = new Map<string, Member>();
  private readonly names: readonly string[];
  private readonly arrivals: ArrivalLog;
  /** Since when a paused or disconnected instance has been silent, by `from to`. */
  private readonly silentSince = new Map<string, number>();
  private readonly partitionedUntil = new Map<string, number>();
  private requests = 0;
  readonly store = PermitStore.create(this.clock, () => {
    for (const member of this.members.values()) member.readItem();
  });

  constructor(readonly scenario: PermitScenario) {
    this.draw = createSpreadRandom(scenario.seed);
    this.arrivals = ArrivalLog.create(scenario);
    this.names = Array.from({ length: scenario.instances }, (_, index) => `i${index}`);
    for (const name of this.names) this.start(name);
    for (const name of this.names) this.link(name);
  }

  get isMesh(): boolean {
    return this.scenario.instances <= maxMeshSize;
  }

  isRunning(name: string): boolean {
    return this.members.has(name);
  }

  /** The first running instances by order, and those before them that are down and still listed. */
  getReaders(): readonly string[] {
    const running = this.names.filter((name) => this.members.has(name)).slice(0, readerCount);
    return this.names.slice(0, this.names.indexOf(running.at(-1) ?? "") + 1);
  }

  getLinked(name: string): readonly string[] {
    return this.names.filter((peer) => peer !== name && this.isLinked(name, peer));
  }

  isLinked(name: string, peer: string): boolean {
    if (!this.members.has(name) || !this.members.has(peer)) return false;
    const since = Math.min(this.getSilentSince(name, peer), this.getSilentSince(peer, name));
    if (this.clock.getTime() - since > lostAfterMs) return false;
    return this.isMesh || this.getReaders().includes(name) || this.getReaders().includes(peer);
  }

  private getSilentSince(name: string, peer: string): number {
    return this.silentSince.get(`${name} ${peer}`) ?? this.silentSince.get(name) ?? Infinity;
  }

  private isPartitioned(name: string, peer: string): boolean {
    return (this.partitionedUntil.get(`${name} ${peer}`) ?? 0) > this.clock.getTime();
  }

  /** Delivers a message after its delay, once its receiver is not paused. */
  send(from: Member, name: string, take: (member: Member) => void): void {
    const time = this.clock.getTime();
    const isSlow = from.slowUntil > time || (this.members.get(name)?.slowUntil ?? 0) > time;
    const deliver = (): void => {
      const member = this.members.get(name);
      if (!member || this.isPartitioned(from.name, name) || this.isPartitioned(name, from.name)) return;
      const wait = member.pausedUntil - this.clock.getTime();
      if (wait > 0) this.clock.startTimer(wait, deliver);
      else take(member);
    };
    this.clock.startTimer(isSlow ? slowMs : delayMs, deliver);
  }

  /** Runs the simulation to its end. */
  async run(): Promise<PermitResult> {
    const { clock, scenario } = this;
    this.planFaults();
    const lastAdvertised = scenario.advertised.findLast(({ perSecond }) => perSecond !== undefined)!;
    const freedFrom = findEnd(scenario, lastAdvertised.from);
    let freedAt: number | undefined;
    for (
      let due = 0;
      clock.getTime() < scenario.endsAt;
      due += (scenario.offeredPerSecond * stepMs) / millisecondsPerSecond
    ) {
      await clock.advance(stepMs);
      for (; due >= 1; due--) this.request();
      const isUnlimited = ({ endpoint, knowsLimits }: Member): boolean =>
        !knowsLimits || endpoint.availability.limit.perSecond === undefined;
      if (freedFrom === undefined || clock.getTime() < freedFrom.from) continue;
      if ([...this.members.values()].every(isUnlimited)) freedAt ??= clock.getTime();
    }
    const messages = Math.max(...[...this.members.values()].map((member) => member.messages));
    const until = freedFrom?.from ?? scenario.endsAt;
    return {
      maxShare: this.arrivals.getMaxShare(),
      admittedShare: this.arrivals.getAdmittedShare(lastAdvertised, until, () => true),
      urgentAdmittedShare: this.arrivals.getAdmittedShare(lastAdvertised, until, ({ isUrgent }) => isUrgent),
      messagesPerSecond: (messages / scenario.endsAt) * millisecondsPerSecond,
      freedAfterMs: freedAt === undefined ? undefined : freedAt - freedFrom!.from,
      storeWrites: this.store.writes,
    };
  }

  private start(name: string): void {
    const isOld = this.names.indexOf(name) < (this.scenario.oldBuilds ?? 0);
    const member = new Member(name, this, !isOld);
    this.members.set(name, member);
    if (isOld) return;
    const reconcile = (): void => {
      if (this.members.get(name) !== member) return;
      if (member.pausedUntil <= this.clock.getTime()) member.item.reconcile();
      this.clock.startTimer(reportMs, reconcile);
    };
    this.clock.startTimer(reportMs, reconcile);
  }

  private link(name: string): void {
    const member = this.members.get(name)!;
    for (const peer of this.getLinked(name)) {
      member.handleUp(this.members.get(peer)!.identity);
      this.members.get(peer)!.handleUp(member.identity);
    }
  }

  private findIssuer(): Member {
    const fallback = [...this.members.values()].find(({ knowsLimits }) => knowsLimits)!;
    const known = this.getReaders().flatMap((name) => this.members.get(name) ?? []);
    const candidates = known.filter(({ handlers }) => handlers.has(LimitMessageKind.PermitCall));
    return candidates.reduce(
      (best, one) => (one.messages > best.messages ? one : best),
      candidates[0] ?? fallback,
    );
  }

  private planFaults(): void {
    const { issuerKills = [], issuerPauses = [], issuerPartitions = [], issuerSlow = [] } = this.scenario;
    const { fleetKills = [] } = this.scenario;
    const plan = (at: number, act: () => void): void => void this.clock.startTimer(at, act);
    for (const at of issuerKills) plan(at, () => this.kill(this.findIssuer().name));
    for (const at of fleetKills) {
      plan(at, () => {
        for (const name of [...this.members.keys()]) this.kill(name);
      });
    }
    for (const { at, forMs } of issuerPauses) plan(at, () => this.pause(this.findIssuer(), forMs));
    for (const { at, forMs } of issuerPartitions)
      plan(at, () => this.partition(this.findIssuer().name, forMs));
    for (const { at, forMs } of issuerSlow) {
      plan(at, () => (this.findIssuer().slowUntil = this.clock.getTime() + forMs));
    }
  }

  private kill(name: string): void {
    this.members.delete(name);
    this.clock.startTimer(restartMs, () => {
      this.start(name);
      this.link(name);
    });
  }

  private pause(member: Member, forMs: number): void {
    member.pausedUntil = this.clock.getTime() + forMs;
    this.silentSince.set(member.name, this.clock.getTime());
    this.clock.startTimer(forMs, () => {
      this.silentSince.delete(member.name);
      if (this.members.get(member.name) === member) this.link(member.name);
    });
  }

  private partition(issuer: string, forMs: number): void {
    for (const name of this.names.filter((_, index) => index % 2 === 0)) {
      const key = `${name} ${issuer}`;
      this.partitionedUntil.set(key, this.clock.getTime() + forMs);
      this.silentSince.set(key, this.clock.getTime());
      this.clock.startTimer(forMs, () => void this.silentSince.delete(key));
    }
  }

  /** Simulates the arrival of one request at an instance, which sends it to the endpoint if it may. */
  private request(): void {
    const running = [...this.members.values()].filter(
      ({ pausedUntil }) => pausedUntil <= this.clock.getTime(),
    );
    const member = running[Math.floor(this.draw() * running.length)];
    if (!member) return;
    const isUrgent = this.draw() < (this.scenario.urgentShare ?? 0);
    const rank = isUrgent ? urgentRank : usualRank;
    if (!member.knowsLimits) return;
    if (!member.endpoint.acceptsRequest(this.clock.getTime(), rank)) return;
    void this.sendOne(member, { id: `r${(this.requests += 1)}`, rank, leftMs }, isUrgent);
  }

  private async sendOne(member: Member, request: PermitRequest, isUrgent: boolean): Promise<void> {
    const { clock } = this;
    const { endpoint, permits } = member;
    const isPermitted = permits.isUnlimited(endpoint) || (await permits.acquire(endpoint, request));
    if (!isPermitted || !endpoint.acceptsPermitted(clock.getTime())) return;
    const sentAt = clock.getTime();
    const round = endpoint.availability.beginAttempt();
    const connectMs = this.draw() < slowConnectShare ? this.draw() * slowConnectMs : 0;
    clock.startTimer(delayMs + connectMs, () => {
      this.arrivals.record({ at: clock.getTime(), isUrgent });
      const perSecond = findAdvertised(this.scenario, clock.getTime());
      clock.startTimer(workMs + delayMs, () => {
        if (this.members.get(member.name) !== member) return;
        endpoint.availability.endAttempt(round, true);
        const limit = perSecond === undefined ? undefined : { perSecond };
        member.limits.handleResponse(endpoint, limit, { requestId: request.id, status: 200, sentAt });
      });
    });
  }
}

/** Runs a simulation. */
export function runPermitScenario(scenario: PermitScenario): Promise<PermitResult> {
  return new PermitFleet(scenario).run();
}
