/**
 * Faults of the network paths from this process to endpoints. Loopback has none of its own, so connections are intercepted in the
 * process that opens them. Each path has a name: in a test with several instances in one process, the loopback address tells which
 * instance connects.
 * @module
 */
import { Socket } from "node:net";

/** How a path fails. */
export enum PathFault {
  None = 1,
  /** Nothing arrives in either direction, and new connections hang. */
  Silent = 2,
  /** Open connections are reset and new ones refused. */
  Reset = 3,
  /** New connections are refused; open ones live on. */
  RefusedNew = 4,
  /** Requests arrive, responses do not, and new connections hang. */
  Deaf = 5,
  /** Open connections are reset, and new ones fail before they have begun, as without a route. */
  NoRoute = 6,
}

/** The path of a connection: its name, and the address to connect to. */
export interface NetworkPath {
  readonly name: string;
  readonly host: string;
}

/** Returns the path of a connection; undefined if it is not to be intercepted. */
export type PathFinder = (host: string, port: number) => NetworkPath | undefined;

interface ConnectOptions {
  host?: string;
  port?: number;
}

type WriteCallback = (error?: Error | null) => void;
type WritevChunk = { readonly chunk: unknown; readonly encoding: BufferEncoding };

/** Internals of a socket that are replaced while its path is silent. */
interface SocketInternals {
  connecting: boolean;
  _handle: { readStart: () => number; readStop: () => number } | null;
  _write?: (chunk: unknown, encoding: BufferEncoding, callback: WriteCallback) => void;
  _writev?: (chunks: readonly WritevChunk[], callback: WriteCallback) => void;
}

interface TrackedSocket {
  readonly path: string;
  /** Delivers what was held back; undefined while nothing is. */
  resume: (() => void) | undefined;
}

const instanceAddress = /^127\.0\.1\.(\d+)$/;

/** Intercepts the connections of this process and lets their paths fail. */
export class PathFaults {
  private readonly faults = new Map<string, PathFault>();
  private readonly sockets = new Map<Socket, TrackedSocket>();

  // eslint-disable-next-line @typescript-eslint/unbound-method
  private readonly connectSocket = Socket.prototype.connect;

  private constructor(private readonly findPath: PathFinder) {
    // eslint-disable-next-line @typescript-eslint/no-this-alias
    const faults = this;
    const replacement = function (this: Socket, ...parameters: unknown[]): Socket {
      return faults.connect(this, parameters);
    };
    Socket.prototype.connect = replacement;
  }

  /** Intercepts connections from now on. */
  static install(findPath: PathFinder): PathFaults {
    return new PathFaults(findPath);
  }

  /** Stops intercepting, and lets all paths work again. */
  uninstall(): void {
    Socket.prototype.connect = this.connectSocket;
    for (const name of this.faults.keys()) this.set(name, PathFault.None);
  }

  /** Sets the fault of a path, also for its open connections. */
  set(name: string, fault: PathFault): void {
    this.faults.set(name, fault);
    for (const [socket, tracked] of [...this.sockets]) if (tracked.path === name) this.apply(socket, tracked);
  }

  private getFault(name: string): PathFault {
    return this.faults.get(name) ?? PathFault.None;
  }

  private apply(socket: Socket, tracked: TrackedSocket): void {
    tracked.resume?.();
    tracked.resume = undefined;
    const fault = this.getFault(tracked.path);
    if (fault === PathFault.Reset || fault === PathFault.NoRoute)
      socket.destroy(createSystemError("ECONNRESET", "read"));
    if (fault === PathFault.Silent) tracked.resume = hold(socket, true);
    if (fault === PathFault.Deaf) tracked.resume = hold(socket, false);
  }

  private connect(socket: Socket, parameters: unknown[]): Socket {
    const [first] = parameters;
    const options = (Array.isArray(first) ? first[0] : first) as ConnectOptions | undefined;
    const path = options && this.findPath(options.host ?? "", options.port ?? 0);
    if (!path) return this.connectSocket.apply(socket, parameters as Parameters<Socket["connect"]>);
    options.host = path.host;
    const fault = this.getFault(path.name);
    if (fault === PathFault.Silent || fault === PathFault.Deaf) {
      (socket as unknown as SocketInternals).connecting = true;
      return socket;
    }
    if (fault === PathFault.NoRoute) {
      (socket as unknown as SocketInternals).connecting = true;
      // Node connects in the next tick, before a request that waits for its socket gets it.
      process.nextTick(() => socket.destroy(createSystemError("ENETUNREACH", "connect")));
      return socket;
    }
    if (fault === PathFault.Reset || fault === PathFault.RefusedNew) {
      (socket as unknown as SocketInternals).connecting = true;
      setImmediate(() => socket.destroy(createSystemError("ECONNREFUSED", "connect")));
      return socket;
    }
    this.sockets.set(socket, { path: path.name, resume: undefined });
    socket.once("close", () => this.sockets.delete(socket));
    return this.connectSocket.apply(socket, parameters as Parameters<Socket["connect"]>);
  }
}

/** Finds paths in tests with several instances in one process: `127.0.1.N:PORT` is an endpoint as instance N connects to it. */
export function findInstancePath(host: string, port: number): NetworkPath | undefined {
  const instance = instanceAddress.exec(host)?.[1];
  return instance === undefined ? undefined : { name: `${instance}:${port}`, host: "127.0.0.1" };
}

/** Returns the address of an endpoint as one instance of a test process connects to it. */
export function createInstanceAddress(instance: number, address: string): string {
  return `127.0.1.${instance}:${address.slice(address.lastIndexOf(":") + 1)}`;
}

/** Returns the name of the path from an instance to an endpoint. */
export function createPathName(instance: number, address: string): string {
  return `${instance}:${address.slice(address.lastIndexOf(":") + 1)}`;
}

/** Holds back what a connection receives, and if `holdsWrites` what it sends; returns the function that delivers it. */
function hold(socket: Socket, holdsWrites: boolean): () => void {
  const internals = socket as unknown as SocketInternals;
  const { _handle: handle } = internals;
  const written: WritevChunk[] = [];
  if (handle) {
    handle.readStop();
    handle.readStart = () => 0;
  }
  if (holdsWrites) {
    internals._write = (chunk, encoding, callback) => {
      written.push({ chunk, encoding });
      callback();
    };
    internals._writev = (chunks, callback) => {
      written.push(...chunks);
      callback();
    };
  }
  return () => {
    delete internals._write;
    delete internals._writev;
    if (socket.destroyed || !handle) return;
    for (const { chunk, encoding } of written) socket.write(chunk as string, encoding);
    delete (handle as Partial<typeof handle>).readStart;
    handle.readStart();
  };
}

function createSystemError(code: string, call: string): Error {
  return Object.assign(new Error(`${call} ${code}`), { code });
}
