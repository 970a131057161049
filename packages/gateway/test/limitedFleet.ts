/**
 * Simulates a fleet that shares one workspace's limit, on a virtual clock and without sockets: instances report
 * to three readers, call arbiters, are paused, killed and started again, and messages take some time to arrive.
 * The result is checked by what ran in an exact sliding window.
 * @module
 */
import {
  Admission,
  Arbiters,
  CounterKind,
  CountHandover,
  type CounterTotals,
  GatewayMetrics,
  LimitOrders,
  OverloadSwitch,
  type ConfigurationFollower,
  FleetShare,
  type QuotaReply,
  type QuotaCall,
  QuotaCharges,
  RouteTable,
  SharedCounters,
  SilentPeers,
  type Workspace,
} from "@gladewall/gateway";
import { Failure, FailureCode, Logger } from "@gladewall/kernel";
import { createWorkspace, RunUnitLog } from "@gladewall/standins";
import { Err, Ok, type Result } from "ts-results-es";
import type { LimitResult, LimitScenario } from "./limitScenarios.js";
import { createSpreadRandom, StepClock } from "./stepClock.js";

const windows = {
  [CounterKind.Quota]: 8_000,
  [CounterKind.Requests]: 10_000,
  [CounterKind.Retries]: 10_000,
  [CounterKind.PromptTokens]: 4_000,
};
const windowMs = windows[CounterKind.Quota];
const slack = 140_000;
const overshoot = 0.1;
const reportMs = 250;
export const surgeAt = 4_000;
export const endsAt = 20_000;
export const stepMs = 5;
const readerCount = 3;
const revokeWithinMs = 5_000;
const viewLifetimeMs = 1_500;
const restartMs = 700;
/** Time until the deadline of each request. */
export const leftMs = 5_000;
/** Time after which a reader that was killed is replaced. */
const replaceAfterMs = 800;

const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

/** One instance from one start to its end. */
export class Member {
  readonly counters: SharedCounters;
  readonly admission: Admission;
  readonly charges: QuotaCharges;
  readonly handover = CountHandover.create();
  readonly life: string;
  readonly startedAt: number;
  readonly linkedFrom: number;
  readonly silentPeers: SilentPeers;
  private readonly share: FleetShare;
  pausedUntil = 0;
  private readonly sentTotals = new Map<number, CounterTotals>();
  private sequence = 0;
  private view = { share: 1, at: -Infinity };

  constructor(
    readonly name: string,
    private readonly fleet: LimitedFleet,
    private readonly isFirstStart: boolean,
  ) {
    const { clock, follower, scenario } = fleet;
    const logger = Logger.createSilent();
    this.startedAt = clock.getTime();
    this.linkedFrom = isFirstStart ? this.startedAt : this.startedAt + (scenario.unlinkedMs ?? 0);
    this.silentPeers = SilentPeers.create(revokeWithinMs, this.startedAt);
    this.share = FleetShare.create({
      clock,
      ownName: name,
      silentPeers: this.silentPeers,
      getNames: () => (this.isAlone ? [name] : fleet.names),
      getListedSize: () => (this.isAlone ? 1 : scenario.instances),
      isLinked: (peer) => fleet.isLinked(name, peer),
      isListKnown: () => !this.isAlone,
      getKeptSize: () => (isFirstStart ? undefined : scenario.instances),
    });
    this.life = `${name}/${this.startedAt}`;
    this.counters = SharedCounters.create({ clock, ownName: name, windows });
    this.admission = Admission.create({
      clock,
      follower,
      counters: this.counters,
      quotaWindowMs: windowMs,
      quotaSlack: slack,
      quotaOvershoot: overshoot,
      getFleetSize: () => this.share.size,
      isFirstStart,
      getKnownShare: () => this.getKnownShare(),
      getRandom: fleet.getRandom,
      orders: LimitOrders.create({
        clock,
        logger,
        overload: OverloadSwitch.create(scenario.mode ?? "on"),
        countRefusal: () => (fleet.orderRefusals += 1),
      }),
    });
    this.charges = QuotaCharges.create({
      clock,
      logger,
      admission: this.admission,
      counters: this.counters,
      metrics: GatewayMetrics.create("127.0.0.1:0"),
      arbiters: Arbiters.create({
        clock,
        logger,
        ownName: name,
        getReaders: () => (!scenario.hasArbiters ? [] : this.isAlone ? [name] : fleet.readers),
        isLinked: (peer) => fleet.isLinked(name, peer) && !fleet.isCut(name),
        call: (peer, call, timeoutMs) => this.call(peer, call as QuotaCall, timeoutMs),
      }),
      getViewAge: () => undefined,
    });
  }

  /** Whether this instance lists no other. */
  private get isAlone(): boolean {
    const { clock, scenario } = this.fleet;
    return !this.isFirstStart && clock.getTime() - this.startedAt < (scenario.unlistedMs ?? 0);
  }

  private get isReader(): boolean {
    return this.fleet.readers.includes(this.name);
  }

  private getKnownShare(): number {
    if (this.isAlone || this.isReader) return this.share.getKnown();
    const isCurrent = this.fleet.clock.getTime() - this.view.at <= viewLifetimeMs;
    return isCurrent ? this.view.share : 1 / this.share.size;
  }

  /**
   * Reports to the readers; one of them replies with a view, or with its counts if this instance has become a
   * reader.
   */
  report(): void {
    const { fleet } = this;
    this.handover.setRole(this.isReader, fleet.clock.getTime());
    this.admission.updateDrainRates();
    const report = structuredClone(this.counters.createReport(this.isReader));
    const sequence = ++this.sequence;
    this.sentTotals.set(sequence, report.totals);
    const readers = fleet.readers.filter(
      (reader) => reader !== this.name && fleet.isLinked(this.name, reader),
    );
    const selected = readers[sequence % readers.length];
    for (const reader of readers) {
      fleet.send(reader, (member) => {
        member.counters.applyReport(this.name, this.life, report);
        member.silentPeers.recordReport(this.name, fleet.clock.getTime());
        if (reader === selected) member.sendView(this, sequence);
      });
    }
  }

  private sendView(peer: Member, sequence: number): void {
    if (!this.isReader || this.handover.isRequesting(this.fleet.clock.getTime())) return;
    const wantsCounts = peer.handover.isRequesting(this.fleet.clock.getTime());
    const view = structuredClone(this.counters.createView(wantsCounts));
    const share = this.getKnownShare();
    this.fleet.send(peer.name, (member) => {
      if (member !== peer) return;
      const included = peer.sentTotals.get(sequence);
      if (!included || peer.isReader !== wantsCounts) return;
      if (wantsCounts && !peer.handover.isRequesting(this.fleet.clock.getTime())) return;
      peer.counters.applyView(view, included);
      peer.handover.complete();
      peer.view = { share, at: this.fleet.clock.getTime() };
    });
  }

  private call(peer: string, call: QuotaCall, timeoutMs: number): Promise<Result<unknown, Failure>> {
    const { fleet } = this;
    return new Promise((resolve) => {
      const fail = (): void => resolve(Err(Failure.create(FailureCode.PeerUnreachable, { peer })));
      const timer = fleet.clock.startTimer(timeoutMs, fail);
      if (fleet.isLinked(this.name, peer))
        fleet.send(peer, (member) => {
          const reply: QuotaReply = member.admission.decideForPeer(
            { name: this.name, incarnation: this.startedAt },
            call,
          );
          fleet.send(this.name, () => {
            timer.cancel();
            resolve(Ok(reply));
          });
        });
    });
  }
}

/** All instances, and the clock that they share. */
export class LimitedFleet {
  readonly runs = RunUnitLog.create();
  readonly getRandom: () => number;
  readonly clock = new StepClock();
  readonly follower: ConfigurationFollower;
  readonly workspace: Workspace;
  /** Names of all instances, including those that are down. */
  readonly names: readonly string[];
  readers: readonly string[] = [];
  refusedBeforeSurge = 0;
  /** Requests over the share of their rank, as counted by arbiters. */
  orderRefusals = 0;
  protected readonly members = new Map<string, Member>();
  private requests = 0;
  /** Requests of each size during the surge, and those of them that were admitted. */
  private readonly asked: number[] = [];
  private readonly served: number[] = [];

  constructor(readonly scenario: LimitScenario) {
    const { seed, instances, ratePerSecond } = scenario;
    this.getRandom = createSpreadRandom(seed);
    this.workspace = createWorkspace({ ratePerSecond, burst: ratePerSecond });
    const configuration = { version: 1, routes: [], services: new Map(), limits };
    const table = RouteTable.create({ ...configuration, workspaces: [this.workspace] });
    // The only method of a follower that limits use.
    this.follower = { getTable: () => table } as Partial<ConfigurationFollower> as ConfigurationFollower;
    this.names = Array.from({ length: instances }, (_, index) => `i${index}`);
    for (const name of this.names) this.start(name, true);
    this.chooseReaders();
  }

  isAlive(name: string): boolean {
    return this.members.has(name);
  }

  /** Whether two instances have a link. */
  isLinked(one: string, other: string): boolean {
    const time = this.clock.getTime();
    return [one, other].every((name) => (this.members.get(name)?.linkedFrom ?? Infinity) <= time);
  }

  /** Whether an instance cannot call the others. */
  isCut(name: string): boolean {
    const { cutShare = 0, instances } = this.scenario;
    return this.clock.getTime() >= surgeAt && Number(name.slice(1)) >= instances * (1 - cutShare);
  }

  /** Delivers a message once it has arrived and its receiver is not paused. */
  send(name: string, take: (member: Member) => void): void {
    const deliver = (): void => {
      const member = this.members.get(name);
      if (!member) return;
      const wait = member.pausedUntil - this.clock.getTime();
      if (wait > 0) this.clock.startTimer(wait, deliver);
      else take(member);
    };
    this.clock.startTimer(this.scenario.delayMs, deliver);
  }

  /** Runs the scenario to its end. */
  async run(): Promise<LimitResult> {
    const { clock, scenario } = this;
    this.scheduleFaults();
    const meanSize = scenario.sizes.reduce((sum, size) => sum + size, 0) / scenario.sizes.length;
    const perStep = (scenario.ratePerSecond / meanSize / 1_000) * stepMs;
    let due = 0;
    while (clock.getTime() < endsAt) {
      await clock.advance(stepMs);
      due += perStep * (clock.getTime() < surgeAt ? scenario.baseLoadShare : scenario.surgeLoadShare);
      for (; due >= 1; due--) this.request();
    }
    const from = surgeAt + windowMs;
    const { ratePerSecond, burst } = this.workspace;
    const allowed = ((ratePerSecond * windowMs) / 1_000 + burst) * (1 + overshoot) + slack;
    return {
      maxShare: this.runs.getMax("w", windowMs).units / allowed,
      admittedShare: (this.runs.getSum("w", from, endsAt) * 1_000) / (endsAt - from) / ratePerSecond,
      perSecond: Array.from(
        { length: endsAt / 1_000 },
        (_, second) => this.runs.getSum("w", second * 1_000, (second + 1) * 1_000) / ratePerSecond,
      ),
      refusedBeforeSurge: this.refusedBeforeSurge,
      admittedBySize: this.asked.map((count, size) => (this.served[size] ?? 0) / count),
    };
  }

  private start(name: string, isFirst: boolean): void {
    const member = new Member(name, this, isFirst);
    this.members.set(name, member);
    const report = (): void => {
      if (this.members.get(name) !== member) return;
      if (member.pausedUntil <= this.clock.getTime()) member.report();
      this.clock.startTimer(reportMs * (0.95 + 0.1 * this.getRandom()), report);
    };
    this.clock.startTimer(this.getRandom() * reportMs, report);
  }

  private kill(name: string): void {
    this.members.delete(name);
    for (const { silentPeers } of this.members.values())
      silentPeers.recordDisconnect(name, this.clock.getTime());
    this.clock.startTimer(restartMs, () => this.start(name, false));
    this.clock.startTimer(replaceAfterMs, () => this.chooseReaders());
  }

  /** Keeps the readers that are running, and replaces those that were killed. */
  private chooseReaders(): void {
    const staying = this.readers.filter((name) => this.isAlive(name));
    const others = [...this.members.keys()].filter((name) => !staying.includes(name));
    this.readers = [...staying, ...others].slice(0, readerCount);
  }

  protected scheduleFaults(): void {
    const { pauses, readerKills, fleetKills } = this.scenario;
    const at = (time: number, act: () => void): void => void this.clock.startTimer(time, act);
    for (const { at: time, share, forMs } of pauses) {
      at(time, () => {
        for (const member of this.members.values()) {
          if (this.getRandom() < share) member.pausedUntil = this.clock.getTime() + forMs;
        }
      });
    }
    for (const time of readerKills) at(time, () => this.kill(this.readers[0]!));
    for (const time of fleetKills) {
      at(time, () => {
        for (const name of [...this.members.keys()]) this.kill(name);
      });
    }
  }

  private request(): void {
    const member = this.members.get(`i${Math.floor(this.getRandom() * this.scenario.instances)}`);
    if (!member || member.pausedUntil > this.clock.getTime()) return;
    void this.serve(member);
  }

  private async serve(member: Member): Promise<void> {
    const isBeforeSurge = this.clock.getTime() < surgeAt;
    const { sizes, ranks, retryShare } = this.scenario;
    const rank = ranks?.[this.requests % ranks.length];
    const size = this.requests++ % sizes.length;
    const units = sizes[size]!;
    if (!isBeforeSurge) this.asked[size] = (this.asked[size] ?? 0) + 1;
    const charge = await member.charges.take({
      request: "request",
      workspace: this.workspace,
      units,
      leftMs,
      // Each rank has two routes.
      ...(rank !== undefined && { rank, route: `r${this.requests % 2}` }),
    });
    if (charge.isErr()) {
      if (isBeforeSurge) this.refusedBeforeSurge += 1;
      return;
    }
    if (!isBeforeSurge) this.served[size] = (this.served[size] ?? 0) + 1;
    this.recordRun(member, units);
    if (this.getRandom() >= retryShare) return;
    if ((await member.charges.takeRetry(charge.value, leftMs)).isOk()) this.recordRun(member, units);
  }

  /** Records a run; a paused instance runs what it has admitted when it resumes. */
  protected recordRun(member: Member, units: number): void {
    this.runs.record("w", Math.max(this.clock.getTime(), member.pausedUntil), units);
  }
}

/** Runs a scenario on one workspace's limit. */
export function runLimitScenario(scenario: LimitScenario): Promise<LimitResult> {
  return new LimitedFleet(scenario).run();
}
