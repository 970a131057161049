/**
 * Decides as the arbiter who gets the slots of services, for this instance and for its peers. Each service has its own queue, which
 * is dropped when it has been idle. Also records which peers' builds answer slot calls.
 * @module
 */
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import type { Clock, Logger, Timer } from "@gladewall/kernel";
import type { SlotEndpoint, SlotScheduler } from "@gladewall/policy";
import type { Endpoint, PeerWork } from "../endpoints/endpoint.js";
import type { EndpointDirectory } from "../endpoints/endpointDirectory.js";
import type { FleetTopology } from "../fleetBroadcast.js";
import { FormerGrants, getSubstituteSlots } from "./formerGrants.js";
import { ArbiterTerms } from "../limits/arbiterTerms.js";
import { OverloadMode, type OverloadSwitch } from "../overloadSwitch.js";
import {
  createSlotAnnouncement,
  isSlotCall,
  isSlotEnd,
  isSlotWait,
  type SlotCall,
  type SlotEndReport,
  SlotMessageKind,
  type SlotReply,
  type SlotWait,
  SlotReplyKind,
} from "./slotMessages.js";
import { SlotQueue } from "./slotQueue.js";

/** Options of the arbiter. */
export interface SlotArbiterOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly ownName: string;
  readonly fleet: Pick<FleetTopology, "links" | "isCollector">;
  readonly directory: Pick<EndpointDirectory, "getOfService">;
  readonly overload: Pick<OverloadSwitch, "mode">;
  readonly createScheduler: () => SlotScheduler;
  /** Returns the refusals a second that an endpoint of a service bears; omitted or undefined if any number. */
  readonly getRefusalLimit?: ((service: string) => number | undefined) | undefined;
  /** Returns the number of readers that may also be deciding on a service, and that callers prefer; none if omitted. */
  readonly countPrecedingReaders?: (service: string) => number;
  /** Returns other instances' work at an endpoint; none if omitted. */
  readonly getPeerWork?: (incarnation: string) => PeerWork;
}

/** Milliseconds without requests after which a service's queue is dropped. */
const idleTimeoutMs = 60_000;
const unknownReply: SlotReply = { word: SlotReplyKind.Unknown };

/** Decides on slots. */
export class SlotArbiter {
  private readonly queues = new Map<string, SlotQueue>();
  private readonly terms: ArbiterTerms;
  private readonly formerGrants = new Map<string, FormerGrants>();
  /** Incarnations of peers that answer slot calls, by name. */
  private readonly announced = new Map<string, number>();
  private idleTimer: Timer | undefined;
  private isClosed = false;

  private constructor(private readonly options: SlotArbiterOptions) {
    const { links } = options.fleet;
    this.terms = ArbiterTerms.create(options.clock);
    links.setHandler(SlotMessageKind.Call, (message, peer) => this.handleCall(message, peer));
    links.setHandler(SlotMessageKind.Wait, (message, peer) => this.handleWait(message, peer));
    links.setHandler(SlotMessageKind.End, (message, peer) => this.handleEnd(message, peer));
    links.onLinkUp((peer) => this.handleLinkUp(peer));
    links.onLinkDown(({ name }) => this.cancelPeer(name, undefined));
  }

  static create(options: SlotArbiterOptions): SlotArbiter {
    return new SlotArbiter(options);
  }

  /** Whether a peer's build answers slot calls. */
  supportsSlots(name: string): boolean {
    return this.announced.has(name);
  }

  /** Requests that wait here for a slot, of all instances and services. */
  countWaiting(): number {
    let count = 0;
    for (const queue of this.queues.values()) count += queue.waiting;
    return count;
  }

  /** Decides on a request. Replies `Unknown` if this instance does not receive the reports of the whole fleet. */
  request(requester: PeerIdentity, call: SlotCall): SlotReply {
    const { fleet, overload } = this.options;
    if (!fleet.isCollector || overload.mode === OverloadMode.Off || this.isClosed) return unknownReply;
    this.terms.recordCall(call.service);
    return this.getQueue(call.service).request(requester, call);
  }

  /** Resolves when the turn of a queued request comes, or it is known that it does not. */
  wait(requester: PeerIdentity, wait: SlotWait): Promise<SlotReply> {
    return this.queues.get(wait.service)?.wait(requester, wait) ?? Promise.resolve(unknownReply);
  }

  end(requester: PeerIdentity, end: SlotEndReport): void {
    this.queues.get(end.service)?.end(requester, end);
  }

  /** Applies a changed mode: while it is off, nothing waits here. */
  applyMode(): void {
    if (this.options.overload.mode !== OverloadMode.Off) return;
    for (const queue of this.queues.values()) queue.releaseWaiting();
  }

  /** Ends all waits and timers. */
  close(): void {
    this.isClosed = true;
    this.idleTimer?.cancel();
    for (const queue of this.queues.values()) queue.close();
    this.queues.clear();
  }

  private handleCall(message: PeerMessage, peer: PeerIdentity): SlotReply {
    const isValid = isSlotCall(message) && this.hasEndpoints(message.service);
    const reply = isValid ? this.request(peer, message) : unknownReply;
    this.options.logger.debug("slot.called", {
      from: peer.name,
      valid: isValid,
      word: SlotReplyKind[reply.word],
    });
    return reply;
  }

  private handleWait(message: PeerMessage, peer: PeerIdentity): Promise<SlotReply> {
    return isSlotWait(message) ? this.wait(peer, message) : Promise.resolve(unknownReply);
  }

  /** Any message of this kind announces that the sender answers slot calls. */
  private handleEnd(message: PeerMessage, peer: PeerIdentity): void {
    this.announced.set(peer.name, peer.incarnation);
    if (isSlotEnd(message)) this.end(peer, message);
  }

  private handleLinkUp({ name, incarnation }: PeerIdentity): void {
    if (this.announced.get(name) !== incarnation) this.announced.delete(name);
    this.cancelPeer(name, incarnation);
    this.options.fleet.links.send(name, createSlotAnnouncement());
  }

  private cancelPeer(name: string, incarnation: number | undefined): void {
    for (const queue of this.queues.values()) queue.cancelPeer(name, incarnation);
  }

  private hasEndpoints(service: string): boolean {
    return this.options.directory.getOfService(service).length > 0;
  }

  private getQueue(service: string): SlotQueue {
    let queue = this.queues.get(service);
    if (!queue) {
      const { clock, ownName, createScheduler } = this.options;
      const getEndpoints = (): readonly SlotEndpoint[] => this.getEndpoints(service);
      queue = SlotQueue.create({ clock, ownName, scheduler: createScheduler(), getEndpoints });
      this.queues.set(service, queue);
    }
    this.idleTimer ??= this.options.clock.startTimer(idleTimeoutMs, () => this.dropIdleQueues());
    return queue;
  }

  /**
   * Usable endpoints. Those that this instance cannot reach have no slots, unless it reaches none: they stay in the list, because
   * requests with open grants may still run there.
   */
  private getEndpoints(service: string): readonly SlotEndpoint[] {
    const { clock, directory, getRefusalLimit } = this.options;
    const time = clock.getTime();
    const refusalLimit = getRefusalLimit?.(service);
    const usable = directory.getOfService(service).filter((endpoint) => endpoint.isUsable());
    const isAnyReachable = usable.some((endpoint) => !endpoint.isUnreachable(time));
    return usable.map((endpoint) => {
      const hasSlots = !isAnyReachable || !endpoint.isUnreachable(time);
      const all = hasSlots ? endpoint.record.slots : 0;
      const slots = refusalLimit === undefined ? all : this.getBrittleSlots(service, endpoint, all);
      return { incarnation: endpoint.incarnation, slots, refusalLimit };
    });
  }

  /** Returns the slots of an endpoint that crashes if it refuses too much, less those that another arbiter may have granted. */
  private getBrittleSlots(service: string, { incarnation, active }: Endpoint, slots: number): number {
    const { countPrecedingReaders, getPeerWork } = this.options;
    // The preferred arbiter may still be granting all of them.
    if ((countPrecedingReaders?.(service) ?? 0) > 0) return getSubstituteSlots(slots);
    let former = this.formerGrants.get(service);
    if (!former) this.formerGrants.set(service, (former = FormerGrants.create()));
    const reported = active + (getPeerWork?.(incarnation).active ?? 0);
    return former.getFreeSlots(incarnation, slots, reported, this.terms.getTermMs(service));
  }

  private dropIdleQueues(): void {
    for (const [service, queue] of this.queues) {
      if (queue.getIdleMs() < idleTimeoutMs) continue;
      queue.close();
      this.queues.delete(service);
      this.formerGrants.delete(service);
    }
    this.idleTimer =
      this.queues.size > 0
        ? this.options.clock.startTimer(idleTimeoutMs, () => this.dropIdleQueues())
        : undefined;
  }
}
