/**
 * Pools of keep-alive connections to endpoints, one for each incarnation. An idle connection that receives bytes is closed,
 * because they belong to no request.
 * @module
 */
import { Agent, type ClientRequest, type ClientRequestArgs } from "node:http";
import { connect, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import { destroyIdleSockets, parseAddress } from "@gladewall/kernel";
import type { Endpoint } from "./endpoint.js";
import { trackConnectionEnd } from "../responses/connectionEnds.js";

const maxIdle = 32;
/** Idle connections are closed after this time, unless the endpoint names a shorter one. */
const idleMs = 8_000;

/** Agent that keeps idle connections for a while and closes those on which bytes arrive. */
export class PoolAgent extends Agent {
  private readonly idle = new WeakSet<Duplex>();

  constructor() {
    super({ keepAlive: true, maxFreeSockets: maxIdle, scheduling: "lifo", timeout: idleMs });
  }

  override createConnection(options: ClientRequestArgs): Socket {
    const socket = connect({
      host: options.host ?? "",
      port: Number(options.port),
      noDelay: true,
    });
    trackConnectionEnd(socket);
    // An attempt may be aborted between the end of its response and the return of its connection, when nobody else listens.
    socket.on("error", () => undefined);
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

/** Address and connection pool of an endpoint. */
export interface EndpointPool {
  readonly host: string;
  readonly port: number;
  readonly agent: Agent;
}

interface OwnPool extends EndpointPool {
  readonly agent: PoolAgent;
}

/** Connection pools of all endpoints. */
export class EndpointConnections {
  /** Pools by the endpoint's incarnation. */
  private readonly pools = new Map<string, OwnPool>();

  private constructor() {}

  static create(): EndpointConnections {
    return new EndpointConnections();
  }

  get(endpoint: Endpoint): EndpointPool {
    let pool = this.pools.get(endpoint.incarnation);
    if (!pool) {
      pool = { ...parseAddress(endpoint.record.address), agent: new PoolAgent() };
      this.pools.set(endpoint.incarnation, pool);
    }
    return pool;
  }

  /** Closes the idle connections of an endpoint that was removed; connections in use close with their requests. */
  remove(endpoint: Endpoint): void {
    const pool = this.pools.get(endpoint.incarnation);
    if (!pool) return;
    this.pools.delete(endpoint.incarnation);
    destroyIdleSockets(pool.agent);
  }

  close(): void {
    for (const { agent } of this.pools.values()) agent.destroy();
    this.pools.clear();
  }
}
