/**
 * One authenticated connection to a peer: handshake, messages in both directions, calls with replies, and a send buffer
 * that is bounded in bytes.
 * @module
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import type { Socket } from "node:net";
import { type Clock, Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { encodeFrame, FrameDecoder, maxFrameBytes } from "./frames.js";
import {
  type HelloMessage,
  isHelloMessage,
  LinkMessageKind,
  type PeerMessage,
  peerProtocolVersion,
  type ProofMessage,
  type ReplyMessage,
} from "./peerMessages.js";

/** Identity of a peer: its name, and an incarnation that differs with each restart; it is lower after one if the clock was set back. */
export interface PeerIdentity {
  readonly name: string;
  readonly incarnation: number;
}

/** Returns `name/incarnation`, which identifies a peer between two restarts. */
export function getIncarnationKey({ name, incarnation }: PeerIdentity): string {
  return `${name}/${incarnation}`;
}

/** Options of the local side of a connection. */
export interface ConnectionOptions {
  readonly own: PeerIdentity;
  readonly secret: string;
  readonly clock: Clock;
  /** Milliseconds within which the handshake must complete. */
  readonly handshakeTimeoutMs: number;
  /** Bytes that may wait to be sent. Above this, messages to a slow peer are dropped, so that memory stays bounded. */
  readonly maxOutboxBytes: number;
}

/** Counts of bytes and frames sent and received. */
export interface ConnectionTraffic {
  sentBytes: number;
  sentFrames: number;
  receivedBytes: number;
  receivedFrames: number;
}

const nonceBytes = 32;
const maxHandshakeFrameBytes = 4096;

interface PendingCall {
  readonly settle: (result: Result<unknown, Failure>) => void;
}

/** One connection whose handshake has completed. */
export class PeerConnection {
  /** Monotonic time at which the last message from the peer was received. */
  lastReceivedAt: number;
  private readonly calls = new Map<number, PendingCall>();
  private nextCall = 1;
  private isOpen = true;

  private constructor(
    private readonly socket: Socket,
    private readonly options: ConnectionOptions,
    readonly peer: PeerIdentity,
    /** Whether this side opened the connection. */
    readonly isDialed: boolean,
    private readonly messages: AsyncGenerator<PeerMessage>,
    private readonly traffic: ConnectionTraffic,
  ) {
    this.lastReceivedAt = options.clock.getTime();
  }

  /** Runs the handshake. Fails with `PeerUnauthenticated` or `PeerVersion`; the socket is then destroyed. */
  static async create(
    socket: Socket,
    isDialed: boolean,
    options: ConnectionOptions,
    traffic: ConnectionTraffic,
  ): Promise<Result<PeerConnection, Failure>> {
    socket.setNoDelay(true);
    const timer = options.clock.startTimer(options.handshakeTimeoutMs, () => socket.destroy());
    const messages = readMessages(socket, traffic);
    const peer = await performHandshake(socket, isDialed, options, messages);
    timer.cancel();
    if (peer.isErr()) socket.destroy();
    return peer.map((identity) => new PeerConnection(socket, options, identity, isDialed, messages, traffic));
  }

  /** Sends a message; returns false if the connection is closed or its send buffer is full. */
  send(message: PeerMessage): boolean {
    if (!this.isOpen || this.socket.writableLength > this.options.maxOutboxBytes) return false;
    return sendMessage(this.socket, message, this.traffic);
  }

  /** Sends a message and waits `timeout` milliseconds for the reply; fails with `PeerUnreachable`. */
  call(message: PeerMessage, timeout: number): Promise<Result<unknown, Failure>> {
    const call = this.nextCall++;
    return new Promise((resolve) => {
      // The failure is created only when needed, because an Err captures a stack trace, which costs more than the call.
      const fail = (): void =>
        settle(Err(Failure.create(FailureCode.PeerUnreachable, { peer: this.peer.name })));
      const timer = this.options.clock.startTimer(timeout, fail);
      const settle = (result: Result<unknown, Failure>): void => {
        timer.cancel();
        this.calls.delete(call);
        resolve(result);
      };
      this.calls.set(call, { settle });
      if (!this.send({ ...message, call })) fail();
    });
  }

  /** Sends the reply to a call. */
  reply(call: number, body: unknown): void {
    const message: ReplyMessage = { kind: LinkMessageKind.Reply, call, body };
    this.send(message);
  }

  /** Passes each message other than a reply to `handle`. Resolves when the connection has ended. */
  async serve(handle: (message: PeerMessage) => void): Promise<void> {
    for await (const message of this.messages) {
      this.lastReceivedAt = this.options.clock.getTime();
      if (message.kind === Number(LinkMessageKind.Reply)) this.settleCall(message as ReplyMessage);
      else handle(message);
    }
    this.close();
  }

  /** Closes the connection; pending calls fail with `PeerUnreachable`. */
  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.socket.destroy();
    const failure = Err(Failure.create(FailureCode.PeerUnreachable, { peer: this.peer.name }));
    for (const call of [...this.calls.values()]) call.settle(failure);
  }

  private settleCall(reply: ReplyMessage): void {
    this.calls.get(reply.call)?.settle(Ok(reply.body));
  }
}

function sendMessage(socket: Socket, message: PeerMessage, traffic: ConnectionTraffic): boolean {
  const frame = encodeFrame(message);
  if (frame.isErr()) return false;
  traffic.sentBytes += frame.value.length;
  traffic.sentFrames += 1;
  socket.write(frame.value);
  return true;
}

async function* readMessages(socket: Socket, traffic: ConnectionTraffic): AsyncGenerator<PeerMessage> {
  const decoder = FrameDecoder.create(maxHandshakeFrameBytes);
  try {
    for await (const bytes of socket as AsyncIterable<Buffer>) {
      traffic.receivedBytes += bytes.length;
      const messages = decoder.push(bytes);
      if (messages.isErr()) return;
      for (const message of messages.value) {
        traffic.receivedFrames += 1;
        if (!isMessage(message)) return;
        yield message;
        // The handshake has checked the proof by the time more messages are requested. Only an authenticated
        // peer may make this side buffer large frames.
        if (message.kind === Number(LinkMessageKind.Proof)) decoder.setLimit(maxFrameBytes);
      }
    }
  } catch {
    // A reset ends the stream in the same way as an orderly end.
  }
}

function isMessage(value: unknown): value is PeerMessage {
  return typeof value === "object" && value !== null && typeof (value as PeerMessage).kind === "number";
}

async function performHandshake(
  socket: Socket,
  isDialed: boolean,
  options: ConnectionOptions,
  messages: AsyncGenerator<PeerMessage>,
): Promise<Result<PeerIdentity, Failure>> {
  const traffic: ConnectionTraffic = { sentBytes: 0, sentFrames: 0, receivedBytes: 0, receivedFrames: 0 };
  const own: HelloMessage = {
    kind: LinkMessageKind.Hello,
    version: peerProtocolVersion,
    ...options.own,
    nonce: randomBytes(nonceBytes),
  };
  sendMessage(socket, own, traffic);
  const hello = (await messages.next()).value as PeerMessage | undefined;
  if (!isHelloMessage(hello)) return refusePeer("(unknown)");
  if (hello.version !== peerProtocolVersion) {
    const values = { peer: hello.name, version: hello.version, own: peerProtocolVersion };
    return Err(Failure.create(FailureCode.PeerVersion, values));
  }
  const proof: ProofMessage = {
    kind: LinkMessageKind.Proof,
    proof: createProof(options.secret, isDialed, own, hello),
  };
  sendMessage(socket, proof, traffic);
  const received = (await messages.next()).value as ProofMessage | undefined;
  const expected = createProof(options.secret, !isDialed, hello, own);
  const isProved = received?.kind === LinkMessageKind.Proof && isEqual(received.proof, expected);
  // A peer with this entry's own name is either this entry itself or an impostor.
  if (!isProved || hello.name === own.name) return refusePeer(hello.name);
  return Ok({ name: hello.name, incarnation: hello.incarnation });
}

function refusePeer(peer: string): Result<PeerIdentity, Failure> {
  return Err(Failure.create(FailureCode.PeerUnauthenticated, { peer }));
}

/** Computes a side's proof. The role of the side is included, so that a proof cannot be reflected to its sender. */
function createProof(secret: string, isDialer: boolean, own: HelloMessage, other: HelloMessage): Buffer {
  const hmac = createHmac("sha256", secret);
  hmac.update(isDialer ? "dialer" : "listener");
  for (const hello of [own, other]) {
    hmac.update(`${hello.name.length}:${hello.name}:${hello.incarnation}:`);
    hmac.update(hello.nonce);
  }
  return hmac.digest();
}

function isEqual(proof: unknown, expected: Buffer): boolean {
  return proof instanceof Uint8Array && proof.length === expected.length && timingSafeEqual(proof, expected);
}
