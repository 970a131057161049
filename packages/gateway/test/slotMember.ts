/**
 * One instance of a simulated fleet that shares the slots of a service; its messages pass through the fleet.
 * @module
 */
import {
  Arbiters,
  claimSlots,
  type Endpoint,
  getSlotSubject,
  OpenSlots,
  OverloadMode,
  RecentArbiters,
  SlotArbiter,
  SlotClaims,
  SlotClient,
  SlotContention,
  SlotTransport,
} from "@gladewall/gateway";
import type { PeerIdentity, PeerLinks, PeerMessage } from "@gladewall/coordination";
import { Failure, FailureCode, Logger, LogLevel } from "@gladewall/kernel";
import { ServiceSlotScheduler } from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import { FifoSlotScheduler } from "./fifoSlotScheduler.js";
import { createKnownEndpoint } from "./knownEndpoints.js";
import type { SlotFleet } from "./slotFleet.js";
import { createSpreadRandom } from "./stepClock.js";

type Handler = (message: PeerMessage, peer: PeerIdentity) => unknown;
type LinkListener = (peer: PeerIdentity) => void;

/** One instance. */
export class SlotMember {
  readonly handlers = new Map<number, Handler>();
  readonly upListeners: LinkListener[] = [];
  readonly downListeners: LinkListener[] = [];
  readonly endpoints: readonly Endpoint[];
  readonly identity: PeerIdentity;
  readonly contention: SlotContention;
  readonly arbiter: SlotArbiter;
  readonly client: SlotClient;
  readonly lines: string[] = [];
  readonly overload: { mode: OverloadMode };
  readonly schedulers: FifoSlotScheduler[] = [];
  isFrozen = false;
  /** Places that its requests have. */
  readonly open = OpenSlots.create();
  /** Timers that end its requests; they do nothing once it is killed. */
  isDead = false;
  private isCollectorOverride: boolean | undefined;
  /** Numbers of the slot messages that reached it; announcements are left out. */
  readonly received: number[] = [];

  constructor(
    readonly name: string,
    private readonly fleet: SlotFleet,
    isOld: boolean,
    incarnation = 1,
  ) {
    const { options } = fleet;
    const clock = fleet.createClock(this);
    const logger = Logger.create(LogLevel.Debug, {}, (line) => this.lines.push(line));
    this.identity = { name, incarnation };
    this.overload = { mode: options.mode ?? OverloadMode.On };
    this.endpoints = Array.from({ length: options.endpoints }, (_, index) =>
      createKnownEndpoint({ id: `e${index}`, slots: options.slots }),
    );
    const directory = { getOfService: () => this.endpoints };
    const own = this.identity;
    const getFleetSize = (): number => options.instances;
    const getRefusalLimit = (): number | undefined => options.refusalLimit;
    const base = { clock, logger, directory, overload: this.overload, getRefusalLimit, getFleetSize };
    this.contention = SlotContention.create(base);
    const topology = this.createTopology();
    const arbiters = Arbiters.create({
      clock,
      logger,
      ownName: name,
      getReaders: () => fleet.readers,
      isLinked: (peer) => fleet.isLinked(name, peer),
      call: (peer, message, limitMs) => this.call(peer, message, limitMs),
    });
    const { open } = this;
    const recent = RecentArbiters.create(clock, (peer) => peer === name || fleet.isLinked(name, peer));
    this.arbiter = SlotArbiter.create({
      ...base,
      own,
      fleet: topology,
      createScheduler: () => {
        if (options.usesServiceScheduler) {
          return ServiceSlotScheduler.create({ clock, maxWaiting: 64, getRandom: createSpreadRandom(1) });
        }
        const scheduler = FifoSlotScheduler.create(clock);
        this.schedulers.push(scheduler);
        return scheduler;
      },
      precedes: (service, one, other) => arbiters.precedes(getSlotSubject(service), one, other),
      getPrecedingReaders: (service) =>
        topology.getLinkedReaders().filter((peer) => arbiters.precedes(getSlotSubject(service), peer, name)),
      claimOwn: (service) => claimSlots(open, service, name),
      getTokenCapacity: () => options.tokenCapacity,
    });
    const brittle = { applyWord: () => undefined };
    SlotClaims.create({ own, links: topology.links, open, recent, arbiters, arbiter: this.arbiter, brittle });
    if (isOld) {
      this.handlers.clear();
      this.upListeners.length = 0;
    }
    this.client = SlotClient.create({
      ...base,
      ownName: name,
      metrics: { countSlotDecision: () => undefined, recordSlotWait: () => undefined },
      transport: SlotTransport.create({ own, arbiters, arbiter: this.arbiter, recent, fleet: topology }),
      open,
      contention: this.contention,
      maxWaitFactor: options.maxWaitFactor ?? 3,
    });
  }

  get isCollector(): boolean {
    return this.isCollectorOverride ?? this.fleet.isCollector(this.name);
  }

  set isCollector(value: boolean) {
    this.isCollectorOverride = value;
  }

  /** Number of logged lines of an event. */
  countLines(event: string): number {
    return this.lines.filter((line) => line.includes(event)).length;
  }

  private createTopology() {
    const { fleet, name } = this;
    const links = {
      setHandler: (kind: number, handler: Handler) => void this.handlers.set(kind, handler),
      onLinkUp: (listener: LinkListener) => void this.upListeners.push(listener),
      onLinkDown: (listener: LinkListener) => void this.downListeners.push(listener),
      send: (peer: string, message: PeerMessage) => this.send(peer, message),
      call: (peer: string, message: PeerMessage, limitMs: number) => this.call(peer, message, limitMs),
      getLinked: () => fleet.getLinked(name),
    };
    const isCollector = (): boolean => this.isCollector;
    return {
      links: links as Partial<PeerLinks> as PeerLinks,
      get isCollector(): boolean {
        return isCollector();
      },
      getLinkedReaders: () => fleet.readers.filter((peer) => fleet.isLinked(name, peer)),
    };
  }

  private send(peer: string, message: PeerMessage): boolean {
    const copy = structuredClone(message);
    this.fleet.deliver(this.name, peer, (member) => {
      if ("id" in copy) member.received.push(copy.kind);
      member.handlers.get(copy.kind)?.(copy, this.identity);
    });
    return true;
  }

  private call(peer: string, message: PeerMessage, limitMs: number): Promise<Result<unknown, Failure>> {
    const { fleet, name } = this;
    const copy = structuredClone(message);
    return new Promise((resolve) => {
      const fail = (): void => {
        timer.cancel();
        resolve(Err(Failure.create(FailureCode.PeerUnreachable, { peer })));
      };
      const timer = fleet.clock.startTimer(limitMs, fail);
      if (!fleet.isLinked(name, peer)) return fail();
      fleet.onLost(name, peer, fail);
      fleet.deliver(name, peer, async (member) => {
        member.received.push(copy.kind);
        const handler = member.handlers.get(copy.kind);
        if (!handler) return;
        const reply = await handler(copy, this.identity);
        fleet.deliver(member.name, name, () => {
          timer.cancel();
          resolve(Ok(structuredClone(reply)));
        });
      });
    });
  }
}
