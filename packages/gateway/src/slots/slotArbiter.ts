/**
 * Decides as the arbiter who gets the slots of services, for this instance and for its peers. Each service has its own queue, which
 * is dropped when it has been idle. Also records which peers' builds answer slot calls.
 * @module
 */
import type { PeerIdentity, PeerMessage } from "@gladewall/coordination";
import type { Clock, Logger, Timer } from "@gladewall/kernel";
import type { SlotEndpoint, SlotScheduler } from "@gladewall/policy";
import type { Endpoint } from "../endpoints/endpoint.js";
import type { EndpointDirectory } from "../endpoints/endpointDirectory.js";
import type { FleetTopology } from "../fleet/fleetBroadcast.js";
import { OverloadMode, type OverloadSwitch } from "../overloadSwitch.js";
import {
  announcesClaims,
  type ClaimedSlot,
  createSlotAnnouncement,
  isSlotCall,
  isSlotEnd,
  isSlotLoad,
  isSlotWait,
  type SlotCall,
  type SlotEndReport,
  type SlotLoadReport,
  SlotMessageKind,
  type SlotReply,
  type SlotWait,
  SlotReplyKind,
} from "./slotMessages.js";
import { SlotQueue } from "./slotQueue.js";
import { type SlotRival, SlotTerms } from "./slotTerms.js";

/** Options of the arbiter. */
export interface SlotArbiterOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly own: PeerIdentity;
  readonly fleet: Pick<FleetTopology, "links" | "isCollector">;
  readonly getFleetSize: () => number;
  readonly directory: Pick<EndpointDirectory, "getOfService">;
  readonly overload: Pick<OverloadSwitch, "mode">;
  readonly createScheduler: () => SlotScheduler;
  /** Returns the refusals a second that an endpoint of a service bears; omitted or undefined if any number. */
  readonly getRefusalLimit?: ((service: string) => number | undefined) | undefined;
  /** Whether callers prefer one reader to another as the arbiter of a service. */
  readonly precedes: (service: string, one: string, other: string) => boolean;
  /** Returns the linked readers that callers prefer to this instance. */
  readonly getPrecedingReaders: (service: string) => readonly string[];
  /** Returns the places of this instance's own requests. */
  readonly claimOwn: (service: string) => readonly ClaimedSlot[];
  /** Returns the tokens that the memory of a service's engines holds; undefined for other endpoints. */
  readonly getTokenCapacity: (service: string) => number | undefined;
}

/** Milliseconds without requests after which a service's queue is dropped. */
const idleTimeoutMs = 60_000;
/** Time for which an instance counts as deciding on a service after its last decision. */
const decidingMs = 500;
const unknownReply: SlotReply = { word: SlotReplyKind.Unknown };

/** What a peer's build can do. */
interface SlotSupport {
  readonly incarnation: number;
  readonly answersClaims: boolean;
}

/** Decides on slots. */
export class SlotArbiter {
  private readonly queues = new Map<string, SlotQueue>();
  private readonly terms: SlotTerms;
  /** Peers that answer slot calls, by name. */
  private readonly announced = new Map<string, SlotSupport>();
  private idleTimer: Timer | undefined;
  private isClosed = false;

  private constructor(private readonly options: SlotArbiterOptions) {
    const { links } = options.fleet;
    this.terms = this.createTerms();
    links.setHandler(SlotMessageKind.Call, (message, peer) => this.handleCall(message, peer));
    links.setHandler(SlotMessageKind.Wait, (message, peer) => this.handleWait(message, peer));
    links.setHandler(SlotMessageKind.End, (message, peer) => this.handleEnd(message, peer));
    links.setHandler(SlotMessageKind.Load, (message, peer) => {
      if (isSlotLoad(message)) this.recordLoad(peer, message);
    });
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

  /** Whether a peer's build tells which places its requests have, and counts those of all instances at engines. */
  answersClaims(name: string): boolean {
    return this.announced.get(name)?.answersClaims === true;
  }

  /** Whether this instance has decided on a brittle service a moment ago. */
  isDeciding(service: string): boolean {
    return this.terms.isDeciding(service, decidingMs);
  }

  /** Applies another instance's claim to decide on a service: what waits here goes to it if callers prefer it. */
  handleRival(service: string, rival: SlotRival): void {
    if (this.terms.handleRival(service, rival)) this.queues.get(service)?.releaseWaiting();
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
    if (this.terms.hasYielded(call.service)) return unknownReply;
    const refusalLimit = this.options.getRefusalLimit?.(call.service);
    if (refusalLimit !== undefined && this.terms.isLinking) return unknownReply;
    if (refusalLimit !== undefined) this.terms.recordUse(call.service, refusalLimit);
    return this.getQueue(call.service).request(requester, call);
  }

  /** Resolves when the turn of a queued request comes, or it is known that it does not. */
  wait(requester: PeerIdentity, wait: SlotWait): Promise<SlotReply> {
    return this.queues.get(wait.service)?.wait(requester, wait) ?? Promise.resolve(unknownReply);
  }

  end(requester: PeerIdentity, end: SlotEndReport): void {
    this.queues.get(end.service)?.end(requester, end);
  }

  /** Records the load that an endpoint reported while a request with a place runs there. */
  recordLoad(requester: PeerIdentity, { service, id, load }: SlotLoadReport): void {
    this.queues.get(service)?.recordLoad(requester, id, load);
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
    this.terms.close();
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
    const known = this.announced.get(peer.name);
    const isKnown = known?.incarnation === peer.incarnation && known.answersClaims;
    const answersClaims = isKnown || announcesClaims(message);
    this.announced.set(peer.name, { incarnation: peer.incarnation, answersClaims });
    if (isSlotEnd(message)) this.end(peer, message);
    // A peer that was cut off has places that this instance has lost sight of.
    else for (const service of this.queues.keys()) this.terms.claimPeer(service, peer.name);
  }

  private handleLinkUp({ name, incarnation }: PeerIdentity): void {
    if (this.announced.get(name)?.incarnation !== incarnation) this.announced.delete(name);
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
      const { clock, own, logger, createScheduler } = this.options;
      queue = SlotQueue.create({
        clock,
        ownName: own.name,
        scheduler: createScheduler(),
        getEndpoints: () => this.getEndpoints(service),
        onRejected: (id, known) => logger.info("slot.rejected", { service, id, ...known }),
      });
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
    const { clock, directory, getRefusalLimit, getTokenCapacity } = this.options;
    const time = clock.getTime();
    const refusalLimit = getRefusalLimit?.(service);
    const usable = directory.getOfService(service).filter((endpoint) => endpoint.isUsable());
    const isAnyReachable = usable.some((endpoint) => !endpoint.isUnreachable(time));
    const getSlots = (endpoint: Endpoint): number =>
      !isAnyReachable || !endpoint.isUnreachable(time) ? endpoint.record.slots : 0;
    if (refusalLimit === undefined) {
      this.terms.end(service);
      return usable.map((endpoint) => ({ incarnation: endpoint.incarnation, slots: getSlots(endpoint) }));
    }
    const hasWaiting = (this.queues.get(service)?.waiting ?? 0) > 0;
    const bounds = this.terms.getBounds(service, refusalLimit, hasWaiting);
    const tokenCapacity = getTokenCapacity(service);
    return usable.map((endpoint) => {
      const { incarnation } = endpoint;
      return { incarnation, slots: getSlots(endpoint), refusalLimit, tokenCapacity, ...bounds };
    });
  }

  private createTerms(): SlotTerms {
    const { clock, logger, own, fleet, getFleetSize, precedes, getPrecedingReaders, claimOwn } = this.options;
    return SlotTerms.create({
      clock,
      logger,
      own,
      links: fleet.links,
      getFleetSize,
      answersClaims: (name) => this.answersClaims(name),
      precedes,
      hasSilentRival: (service) =>
        getPrecedingReaders(service).some((name) => this.supportsSlots(name) && !this.answersClaims(name)),
      claimOwn,
      adopt: (service, requester, slots, at) => this.queues.get(service)?.adopt(requester, slots, at),
      onChanged: (service) => this.queues.get(service)?.review(),
    });
  }

  private dropIdleQueues(): void {
    for (const [service, queue] of this.queues) {
      if (queue.getIdleMs() < idleTimeoutMs) continue;
      queue.close();
      this.queues.delete(service);
      this.terms.end(service);
    }
    this.idleTimer =
      this.queues.size > 0
        ? this.options.clock.startTimer(idleTimeoutMs, () => this.dropIdleQueues())
        : undefined;
  }
}
