/**
 * Kept connections to backends, one pool a backend. A connection on which bytes come while no request is under way
 * is closed: whatever they are, they belong to nobody.
 * @module
 */
import { Agent, type ClientRequest, type ClientRequestArgs } from "node:http";
import { connect, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import { parseAddress } from "@gladewall/kernel";
import type { Backend } from "./backend.js";
import { watchEnd } from "./connectionEnds.js";

const mostIdle = 32;
/** Idle connections are closed after this long, unless the backend names a shorter time. */
const idleMs = 8_000;

class BackendAgent extends Agent {
  private readonly idle = new WeakSet<Duplex>();

  constructor() {
    super({ keepAlive: true, maxFreeSockets: mostIdle, scheduling: "lifo", timeout: idleMs });
  }

  override createConnection(options: ClientRequestArgs): Socket {
    const socket = connect({
      host: options.host ?? "",
      port: Number(options.port),
      noDelay: true,
    });
    watchEnd(socket);
    socket.on("data", () => {
      if (this.idle.has(socket)) socket.destroy();
    });
    return socket;
  }

  override keepSocketAlive(socket: Duplex): boolean {
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKept) this.idle.add(socket);
    return isKept;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    this.idle.delete(socket);
    super.reuseSocket(socket, request);
  }
}

/** Where and over what a backend is reached. */
export interface BackendEndpoint {
  readonly host: string;
  readonly port: number;
  readonly agent: Agent;
}

/** Pools of all backends. */
export class BackendConnections {
  private readonly endpoints = new Map<string, BackendEndpoint>();

  private constructor() {}

  static create(): BackendConnections {
    return new BackendConnections();
  }

  get(backend: Backend): BackendEndpoint {
    let endpoint = this.endpoints.get(backend.id);
    if (!endpoint) {
      endpoint = { ...parseAddress(backend.record.address), agent: new BackendAgent() };
      this.endpoints.set(backend.id, endpoint);
    }
    return endpoint;
  }

  /** Closes the idle connections of a backend that has ended; those in use end with their requests. */
  remove(backend: Backend): void {
    const endpoint = this.endpoints.get(backend.id);
    if (!endpoint) return;
    this.endpoints.delete(backend.id);
    for (const sockets of Object.values(endpoint.agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  close(): void {
    for (const { agent } of this.endpoints.values()) agent.destroy();
    this.endpoints.clear();
  }
}
