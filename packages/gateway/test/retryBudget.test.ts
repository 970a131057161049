/*
 * Guards against a fleet that exceeds its retry budget. Instances learn of each other's retries a quarter of a second late,
 * so that every instance took all that seemed left of the budget when endpoints crashed under many requests at once.
 */
import t from "tap";
import {
  Arbiters,
  CounterKind,
  RetryBudget,
  type RetryCallArguments,
  RetryLinks,
  SharedCounters,
  type FleetTopology,
} from "@gladewall/gateway";
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import { Failure, FailureCode, Logger } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { StepClock } from "./stepClock.js";

const windowMs = 10_000;
const windows = {
  [CounterKind.Quota]: windowMs,
  [CounterKind.Requests]: windowMs,
  [CounterKind.Retries]: windowMs,
  [CounterKind.PromptTokens]: windowMs,
};
const service = "s";
const ratio = 0.2;
const slack = 56;
const reportMs = 250;
const delayMs = 10;
const readerCount = 3;
const leftMs = 5_000;

type Handler = (message: PeerMessage, peer: PeerIdentity) => unknown;

/** Instances that share a budget; messages are delayed. */
class RetryingFleet {
  readonly clock = new StepClock();
  private readonly members: Member[];

  constructor(
    instances: number,
    private readonly hasArbiters: boolean,
  ) {
    this.members = Array.from({ length: instances }, (_, index) => new Member(`i${index}`, this, instances));
    this.report();
  }

  get readers(): readonly string[] {
    return this.members.slice(0, readerCount).map(({ name }) => name);
  }

  /** Whether peers reply to calls that request retries. */
  get isAble(): boolean {
    return this.hasArbiters;
  }

  call(
    from: Member,
    name: string,
    message: PeerMessage,
    timeoutMs: number,
  ): Promise<Result<unknown, Failure>> {
    const { clock } = this;
    const member = this.members.find((one) => one.name === name)!;
    return new Promise((resolve) => {
      const failure = Failure.create(FailureCode.PeerUnreachable, { peer: name });
      const timer = clock.startTimer(timeoutMs, () => resolve(Err(failure)));
      clock.startTimer(delayMs, () => {
        const reply = member.handlers.get(message.kind)?.(message, from.identity);
        clock.startTimer(delayMs, () => {
          timer.cancel();
          resolve(Ok(reply));
        });
      });
    });
  }

  private report(): void {
    for (const member of this.members) {
      const report = structuredClone(member.counters.createReport());
      this.clock.startTimer(delayMs, () => {
        for (const other of this.members) {
          if (other !== member) other.counters.applyReport(member.name, `${member.name}/1`, report);
        }
      });
    }
    this.clock.startTimer(reportMs, () => this.report());
  }

  /**
   * Serves `requestsEach` requests at each instance, then requests `wantedEach` retries at each, twice. Returns the retries
   * taken and the retries that are tolerated.
   */
  async play(requestsEach: number, wantedEach: number) {
    for (let count = 0; count < requestsEach; count++) {
      for (const { budget } of this.members) budget.countRequest(service);
    }
    await this.clock.advance(1_000);
    let taken = 0;
    for (let burst = 0; burst < 2; burst++) {
      for (let count = 0; count < wantedEach; count++) {
        for (const { budget } of this.members) {
          void budget.take(service, leftMs).then((isTaken) => (taken += isTaken ? 1 : 0));
        }
        await this.clock.advance(2);
      }
      await this.clock.advance(300);
    }
    const requests = requestsEach * this.members.length;
    return { taken, tolerated: ratio * requests + slack };
  }
}

/** One instance. */
class Member {
  readonly counters: SharedCounters;
  readonly budget: RetryBudget;
  readonly handlers = new Map<number, Handler>();
  readonly identity: PeerIdentity;

  constructor(
    readonly name: string,
    fleet: RetryingFleet,
    instances: number,
  ) {
    const { clock } = fleet;
    this.identity = { name, incarnation: 1 };
    this.counters = SharedCounters.create({ clock, ownName: name, windows });
    const arbiters = Arbiters.create({
      clock,
      logger: Logger.createSilent(),
      ownName: name,
      getReaders: () => fleet.readers,
      isLinked: () => true,
      call: (peer, message, timeoutMs) => fleet.call(this, peer, message, timeoutMs),
    });
    const links = { setHandler: (kind: number, handler: Handler) => void this.handlers.set(kind, handler) };
    const topology = { links, isCollector: true } as Partial<FleetTopology> as FleetTopology;
    this.budget = RetryBudget.create({
      counters: this.counters,
      ratio,
      slack,
      getKnownShare: () => 1,
      getFleetSize: () => instances,
      arbiters,
      supportsRetryCalls: () => fleet.isAble,
    });
    RetryLinks.create(topology, (peer, callArguments: RetryCallArguments) =>
      this.budget.decideForPeer(peer, callArguments),
    );
  }
}

t.test(
  "all instances together retry no more than the budget allows, although all request retries at once",
  async (t) => {
    for (const [instances, requestsEach, wantedEach] of [
      [8, 40, 60],
      [9, 0, 20],
      [77, 40, 20],
      [320, 5, 5],
    ] as const) {
      const { taken, tolerated } = await new RetryingFleet(instances, true).play(requestsEach, wantedEach);
      const message = `${instances} instances: ${taken} of ${tolerated.toFixed(0)}`;
      t.ok(taken <= tolerated, message);
      t.ok(taken >= 0.6 * tolerated, message);
    }
  },
);
