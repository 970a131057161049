/**
 * Chooses the peers through which attempts are passed on, from how earlier attempts through them ended.
 * @module
 */
import type { Agent } from "node:http";
import type { Clock, Logger } from "@gladewall/kernel";
import { parseAddress } from "@gladewall/kernel";
import { type EndpointPool, PoolAgent } from "../endpoints/endpointConnections.js";
import { ForwardResult } from "./forwardingProtocol.js";

/** A peer that accepts attempts to pass on. */
export interface ForwardingPeer {
  readonly name: string;
  /** `host:port`. */
  readonly address: string;
}

/** Options of the peers. */
export interface ForwardingPeersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns all peers that accept attempts. */
  readonly getPeers: () => readonly ForwardingPeer[];
  /** Returns a number from 0 to 1. */
  readonly getRandom: () => number;
}

/** What an attempt through a peer ended with; undefined if the peer could not be reached or did not reply. */
export type ForwardEnd = ForwardResult | undefined;

/** Milliseconds for which a peer is left out after an attempt that it did not pass on. */
const pauseMs: Readonly<Partial<Record<ForwardResult, number>>> = {
  [ForwardResult.CutOff]: 1_000,
  [ForwardResult.Busy]: 100,
  [ForwardResult.NotReady]: 2_000,
  [ForwardResult.Refused]: 5_000,
};
const unreachablePauseMs = 500;
/** Peers that do not reach a service after which nothing is passed on for a while. */
const maxCutOffPeers = 5;
const firstServicePauseMs = 300;
const maxServicePauseMs = 2_000;
/** Time for which a peer that has passed an attempt on is preferred to peers of which nothing is known. */
const preferredMs = 5_000;

interface PeerState {
  pool: EndpointPool;
  address: string;
  open: number;
  pausedUntil: number;
  servedAt: number;
}

/** What is known of a service beyond this instance. */
interface ServiceReach {
  /** Peers that reached none of its endpoints, since one last did or the service was paused. */
  readonly cutOffPeers: Set<string>;
  /** Pauses since a peer last reached an endpoint. */
  pauses: number;
  pausedUntil: number;
}

/** Peers through which attempts are passed on. */
export class ForwardingPeers {
  private readonly states = new Map<string, PeerState>();
  private readonly services = new Map<string, ServiceReach>();

  private constructor(private readonly options: ForwardingPeersOptions) {}

  static create(options: ForwardingPeersOptions): ForwardingPeers {
    return new ForwardingPeers(options);
  }

  /** Number of attempts under way through peers. */
  get open(): number {
    let open = 0;
    for (const state of this.states.values()) open += state.open;
    return open;
  }

  /** Whether an attempt for a service can be passed on now. */
  isAvailable(service: string): boolean {
    return this.getCandidates(service).length > 0;
  }

  /** Chooses the less busy of two peers for an attempt; undefined if none is left. The end must be recorded. */
  choose(service: string): ForwardingPeer | undefined {
    const candidates = this.getCandidates(service);
    const time = this.options.clock.getTime();
    const preferred = candidates.filter(({ name }) => time - this.getServedAt(name) < preferredMs);
    const drawn = preferred.length > 1 ? preferred : candidates;
    const [one, other] = [this.draw(drawn), this.draw(drawn)];
    if (!one || !other) return undefined;
    const chosen = this.getState(one).open <= this.getState(other).open ? one : other;
    this.getState(chosen).open += 1;
    return chosen;
  }

  /** Returns the connections to a peer. */
  getPool(peer: ForwardingPeer): EndpointPool {
    return this.getState(peer).pool;
  }

  /** Records how an attempt through a peer has ended, once it is known whether the endpoint responds. */
  recordEnd(service: string, peer: ForwardingPeer, end: ForwardEnd): void {
    const { clock, logger } = this.options;
    const time = clock.getTime();
    const state = this.getState(peer);
    const reach = this.getReach(service);
    const hasReached = end === ForwardResult.Answered || end === ForwardResult.Lost;
    if (hasReached) {
      state.servedAt = time;
      reach.cutOffPeers.clear();
      reach.pauses = 0;
      return;
    }
    const isPeerAtFault = end === undefined || pauseMs[end] !== undefined;
    // Of attempts that were under way at once, the first one that fails pauses the peer.
    if (!isPeerAtFault || time < state.pausedUntil) return;
    if (end === ForwardResult.CutOff) this.recordCutOff(service, peer, reach, time);
    const milliseconds = (end !== undefined && pauseMs[end]) || unreachablePauseMs;
    state.pausedUntil = time + milliseconds;
    state.servedAt = -Infinity;
    const result = end === undefined ? "NoReply" : ForwardResult[end];
    logger.info("forwarding.peer-paused", { peer: peer.name, service, result, forMs: milliseconds });
  }

  /** Records that nothing is received any more for an attempt. */
  recordClosed(peer: ForwardingPeer): void {
    this.getState(peer).open -= 1;
  }

  close(): void {
    for (const { pool } of this.states.values()) pool.agent.destroy();
  }

  private recordCutOff(service: string, { name }: ForwardingPeer, reach: ServiceReach, time: number): void {
    reach.cutOffPeers.add(name);
    const { size } = reach.cutOffPeers;
    if (size < maxCutOffPeers) return;
    const milliseconds = Math.min(maxServicePauseMs, firstServicePauseMs * 2 ** reach.pauses);
    reach.pauses += 1;
    reach.pausedUntil = time + milliseconds;
    reach.cutOffPeers.clear();
    this.options.logger.warn("forwarding.paused", { service, peers: size, forMs: milliseconds });
  }

  private getCandidates(service: string): readonly ForwardingPeer[] {
    const time = this.options.clock.getTime();
    if (time < this.getReach(service).pausedUntil) return [];
    return this.options
      .getPeers()
      .filter(({ name }) => (this.states.get(name)?.pausedUntil ?? -Infinity) <= time);
  }

  private draw(peers: readonly ForwardingPeer[]): ForwardingPeer | undefined {
    return peers[Math.floor(this.options.getRandom() * peers.length)];
  }

  private getServedAt(name: string): number {
    return this.states.get(name)?.servedAt ?? -Infinity;
  }

  private getState({ name, address }: ForwardingPeer): PeerState {
    let state = this.states.get(name);
    if (!state) {
      state = { pool: createPool(address), address, open: 0, pausedUntil: -Infinity, servedAt: -Infinity };
      this.states.set(name, state);
    }
    if (state.address !== address) {
      state.address = address;
      state.pool = createPool(address);
    }
    return state;
  }

  private getReach(service: string): ServiceReach {
    let reach = this.services.get(service);
    if (!reach) {
      reach = { cutOffPeers: new Set(), pauses: 0, pausedUntil: -Infinity };
      this.services.set(service, reach);
    }
    return reach;
  }
}

function createPool(address: string): EndpointPool {
  const agent: Agent = new PoolAgent();
  return { ...parseAddress(address), agent };
}
