/**
 * Maintains the links to peers: dials and accepts connections, sends pings, closes links that receive nothing,
 * and reconnects with backoff and jitter. A small fleet is fully meshed. In a larger one each entry keeps links
 * to a bounded set of peers chosen by hash, and links others on demand.
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import {
  type Closeable,
  Failure,
  FailureCode,
  getListenAddress,
  hashText,
  listen,
  type Logger,
  mixHashes,
  parseAddress,
  type Timer,
  waitFor,
} from "@gladewall/kernel";
import { Err, type Result } from "ts-results-es";
import {
  type ConnectionOptions,
  type ConnectionTraffic,
  PeerConnection,
  type PeerIdentity,
} from "./peerConnection.js";
import { LinkMessageKind, type PeerMessage } from "./peerMessages.js";

/** A peer that may be linked. */
export interface PeerAddress extends PeerIdentity {
  /** `host:port` on which the peer accepts links. */
  readonly address: string;
}

/** Options of peer links. Times are in milliseconds. */
export interface LinkOptions extends ConnectionOptions {
  readonly listen: string;
  readonly pingIntervalMs: number;
  /** Time without a message after which a link counts as lost, in milliseconds. */
  readonly lossTimeoutMs: number;
  /** Maximum number of links that are kept open even if no messages are sent over them. */
  readonly maxPersistentLinks: number;
  readonly logger: Logger;
  /** Returns a number from 0 to 1, for jitter. */
  readonly getRandom: () => number;
  /** Returns the fields that each ping carries. */
  readonly getPingFields: () => Readonly<Record<string, unknown>>;
  /** Called if the handling of a peer's message fails, which drops that message only. */
  readonly onFailure: (error: unknown, peer: string) => void;
}

/**
 * Handles messages of one kind. If the message is a call, the returned value (or the value of a promise) is the
 * reply.
 */
export type MessageHandler = (message: PeerMessage, peer: PeerIdentity) => unknown;

/** Called with the peer whose link was established or lost. */
export type LinkListener = (peer: PeerIdentity) => void;

interface Peer {
  readonly address: PeerAddress;
  readonly stop: AbortController;
  task: Promise<void>;
}

const minBackoffMs = 50;
const maxBackoffMs = 1_000;

/** Links of one entry to its peers, at most one per peer. */
export class PeerLinks implements Closeable {
  readonly traffic: ConnectionTraffic = { sentBytes: 0, sentFrames: 0, receivedBytes: 0, receivedFrames: 0 };
  private readonly handlers = new Map<number, MessageHandler>();
  private readonly known = new Map<string, PeerAddress>();
  private readonly peers = new Map<string, Peer>();
  private readonly connections = new Map<string, PeerConnection>();
  private readonly sockets = new Set<Socket>();
  private readonly upListeners = new Set<LinkListener>();
  private readonly downListeners = new Set<LinkListener>();
  private readonly server: Server;
  /** Timers that close connections which were replaced by another. */
  private readonly retireTimers = new Set<Timer>();
  private readonly stop = new AbortController();
  private pingTask: Promise<void> = Promise.resolve();

  private constructor(private readonly options: LinkOptions) {
    this.server = createServer((socket) => void this.accept(socket));
  }

  static create(options: LinkOptions): PeerLinks {
    return new PeerLinks(options);
  }

  /** Starts listening and pinging; returns the `host:port` it listens on. Rejects if the address is not available. */
  async open(): Promise<string> {
    await listen(this.server, this.options.listen);
    this.pingTask = this.ping();
    return getListenAddress(this.server);
  }

  /** Sets the handler for a kind of message. Messages without a handler are ignored. */
  setHandler(kind: number, handler: MessageHandler): void {
    this.handlers.set(kind, handler);
  }

  /** Registers a listener for established links. */
  onLinkUp(listener: LinkListener): void {
    this.upListeners.add(listener);
  }

  /** Registers a listener for lost links. */
  onLinkDown(listener: LinkListener): void {
    this.downListeners.add(listener);
  }

  /**
   * Sets the existing peers, and the names of those to keep links to; if `named` is omitted, they are chosen by hash.
   * Links to peers that no longer exist or are no longer named are closed.
   */
  setPeers(addresses: readonly PeerAddress[], named?: readonly string[]): void {
    this.known.clear();
    for (const address of addresses) {
      if (address.name !== this.options.own.name) this.known.set(address.name, address);
    }
    const wanted = new Set(named ?? this.selectPersistent());
    for (const [name, peer] of this.peers) {
      const isDropped = named !== undefined && !wanted.has(name);
      if (isDropped || !isSameAddress(this.known.get(name), peer.address)) this.dropPeer(name);
    }
    for (const name of wanted) this.ensurePeer(name);
  }

  /** Returns the names of the linked peers. */
  getLinked(): readonly string[] {
    return [...this.connections.keys()];
  }

  /** Resolves when at least `count` peers are linked. */
  async waitForLinks(count: number): Promise<void> {
    while (this.connections.size < count) {
      await new Promise<void>((resolve) => {
        const listener = (): void => {
          this.upListeners.delete(listener);
          resolve();
        };
        this.upListeners.add(listener);
      });
    }
  }

  /** Returns whether a peer is linked now. */
  isLinked(name: string): boolean {
    return this.connections.has(name);
  }

  /** Returns the number of peers that this entry tries to be linked to. */
  getExpectedCount(): number {
    return this.peers.size;
  }

  /** Sends a message to a peer; returns false if it is not linked, and then starts to link it for later messages. */
  send(name: string, message: PeerMessage): boolean {
    const connection = this.connections.get(name);
    if (connection) return connection.send(message);
    this.ensurePeer(name);
    return false;
  }

  /**
   * Calls a peer and waits `timeout` milliseconds for the reply; fails with `PeerUnreachable`, also if it is
   * not linked.
   */
  async call(name: string, message: PeerMessage, timeout: number): Promise<Result<unknown, Failure>> {
    const connection = this.connections.get(name);
    if (connection) return connection.call(message, timeout);
    this.ensurePeer(name);
    return Err(Failure.create(FailureCode.PeerUnreachable, { peer: name }));
  }

  /** Sends a message to every linked peer other than `except`. */
  broadcast(message: PeerMessage, except?: string): void {
    for (const [name, connection] of this.connections) {
      if (name !== except) connection.send(message);
    }
  }

  /** Stops listening and closes all links; resolves when the tasks have ended. */
  async close(): Promise<void> {
    this.stop.abort();
    for (const timer of this.retireTimers) timer.cancel();
    for (const name of [...this.peers.keys()]) this.dropPeer(name);
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    for (const socket of this.sockets) socket.destroy();
    await closed;
    await this.pingTask;
  }

  /**
   * Selects the peers for persistent links: all while there are few, otherwise those with the highest scores. The score
   * hashes the pair of names and is the same for both sides.
   */
  private selectPersistent(): readonly string[] {
    const names = [...this.known.keys()];
    if (names.length <= this.options.maxPersistentLinks) return names;
    const own = hashText(this.options.own.name);
    const scored = names.map((name) => ({ name, score: mixHashes(own ^ hashText(name), 0) }));
    scored.sort((left, right) => right.score - left.score);
    return scored.slice(0, this.options.maxPersistentLinks).map(({ name }) => name);
  }

  private ensurePeer(name: string): void {
    const address = this.known.get(name);
    if (!address || this.peers.has(name) || this.stop.signal.aborted) return;
    const peer: Peer = { address, stop: new AbortController(), task: Promise.resolve() };
    this.peers.set(name, peer);
    peer.task = this.maintain(peer);
  }

  private dropPeer(name: string): void {
    this.peers.get(name)?.stop.abort();
    this.peers.delete(name);
    this.connections.get(name)?.close();
  }

  /** Keeps one peer linked: connects, serves the connection until it ends, and reconnects with backoff. */
  private async maintain(peer: Peer): Promise<void> {
    const { clock, getRandom } = this.options;
    const { signal } = peer.stop;
    let backoff = minBackoffMs;
    while (!signal.aborted) {
      if (this.connections.has(peer.address.name)) {
        backoff = minBackoffMs;
      } else {
        const isServed = await this.dial(peer);
        backoff = isServed ? minBackoffMs : Math.min(maxBackoffMs, backoff * 2);
      }
      await waitFor(clock, backoff * (0.5 + getRandom() / 2), signal);
    }
  }

  /** Opens a connection and serves it until it ends; returns false if it was not established. */
  private async dial({ address, stop }: Peer): Promise<boolean> {
    const { host, port } = parseAddress(address.address);
    const socket = connect(port, host);
    this.track(socket);
    const isConnected = await new Promise<boolean>((resolve) => {
      socket.once("connect", () => resolve(true));
      socket.once("close", () => resolve(false));
      socket.setTimeout(this.options.handshakeTimeoutMs, () => socket.destroy());
    });
    if (!isConnected) return false;
    socket.setTimeout(0);
    const connection = await PeerConnection.create(socket, true, this.options, this.traffic);
    if (connection.isErr()) {
      this.logRefusal(connection.error);
      return false;
    }
    // The peer may have been dropped while the connection was being established.
    if (stop.signal.aborted || connection.value.peer.name !== address.name) {
      connection.value.close();
      return false;
    }
    return this.serve(connection.value);
  }

  private async accept(socket: Socket): Promise<void> {
    this.track(socket);
    const connection = await PeerConnection.create(socket, false, this.options, this.traffic);
    if (connection.isErr()) return this.logRefusal(connection.error);
    await this.serve(connection.value);
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    // The reader of the socket gets the error too, but an error event without a listener would end the process.
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.sockets.delete(socket));
  }

  private logRefusal(failure: Failure): void {
    if (this.stop.signal.aborted) return;
    this.options.logger.warn("peer.refused", { failure: failure.name, text: failure.text });
  }

  /** Serves one connection until it ends; returns false if another connection to the peer is kept instead. */
  private async serve(connection: PeerConnection): Promise<boolean> {
    const { peer } = connection;
    if (this.stop.signal.aborted) {
      connection.close();
      return false;
    }
    const present = this.connections.get(peer.name);
    if (present && !this.isBetter(connection, present)) {
      this.retire(connection);
      await connection.serve((message) => this.handle(message, connection));
      return false;
    }
    this.connections.set(peer.name, connection);
    if (present) this.retire(present);
    // A restarted peer has no state. It is therefore announced even if the link of its previous incarnation
    // still counts as established.
    const isNewPeer = !present || present.peer.incarnation !== peer.incarnation;
    if (isNewPeer) this.notifyListeners(this.upListeners, peer);
    connection.send(this.createPing());
    await connection.serve((message) => this.handle(message, connection));
    if (this.connections.get(peer.name) === connection) {
      this.connections.delete(peer.name);
      this.notifyListeners(this.downListeners, peer);
    }
    return true;
  }

  /**
   * Stops sending on a connection and closes it after the loss timeout. Until then calls in flight on it get their
   * replies, because the peer may not have switched to the other connection yet.
   */
  private retire(connection: PeerConnection): void {
    const timer = this.options.clock.startTimer(this.options.lossTimeoutMs, () => {
      this.retireTimers.delete(timer);
      connection.close();
    });
    this.retireTimers.add(timer);
  }

  /**
   * Returns whether a new connection replaces the present one of the same peer. Both sides keep the same
   * connection: the one of the incarnation that completed a handshake last, or else the one dialed by the side with the lower name.
   * The numbers of incarnations don't tell which one is newer: they come from the time of day, which may have been set back.
   */
  private isBetter(connection: PeerConnection, present: PeerConnection): boolean {
    if (connection.peer.incarnation !== present.peer.incarnation) return true;
    const isOwnLower = this.options.own.name < connection.peer.name;
    if (connection.isDialed === present.isDialed) return true;
    return connection.isDialed === isOwnLower;
  }

  private notifyListeners(listeners: ReadonlySet<LinkListener>, peer: PeerIdentity): void {
    for (const listener of listeners) listener(peer);
  }

  private handle(message: PeerMessage, connection: PeerConnection): void {
    const handler = this.handlers.get(message.kind);
    if (!handler) return;
    const fail = (error: unknown): void => this.options.onFailure(error, connection.peer.name);
    try {
      const answer = handler(message, connection.peer);
      const { call } = message;
      if (call === undefined) return;
      if (answer instanceof Promise) answer.then((body: unknown) => connection.reply(call, body)).catch(fail);
      else connection.reply(call, answer);
    } catch (error) {
      fail(error);
    }
  }

  private createPing(): PeerMessage {
    return { kind: LinkMessageKind.Ping, ...this.options.getPingFields() };
  }

  private async ping(): Promise<void> {
    const { clock, pingIntervalMs, lossTimeoutMs } = this.options;
    const { signal } = this.stop;
    while (!signal.aborted) {
      await waitFor(clock, pingIntervalMs, signal);
      const limit = clock.getTime() - lossTimeoutMs;
      for (const connection of this.connections.values()) {
        if (connection.lastReceivedAt < limit) connection.close();
        else connection.send(this.createPing());
      }
    }
  }
}

function isSameAddress(left: PeerAddress | undefined, right: PeerAddress): boolean {
  return left !== undefined && left.address === right.address && left.incarnation === right.incarnation;
}
