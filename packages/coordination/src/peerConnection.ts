/**
 * One authenticated connection to a peer: handshake, frames both ways, calls and answers, and an outbox that is
 * bounded in bytes.
 * @module
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import type { Socket } from "node:net";
import { type Clock, Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { encodeFrame, FrameDecoder, maxFrameBytes } from "./frames.js";
import {
  type HelloMessage,
  LinkMessageKind,
  type PeerMessage,
  peerProtocolVersion,
  type ProofMessage,
  type ReplyMessage,
} from "./peerMessages.js";

/** Who speaks on a connection. */
export interface PeerIdentity {
  readonly name: string;
  readonly incarnation: number;
}

/** Names one life of a peer. */
export function getIncarnationKey({ name, incarnation }: PeerIdentity): string {
  return `${name}/${incarnation}`;
}

/** What a connection needs of its side. */
export interface ConnectionOptions {
  readonly own: PeerIdentity;
  readonly secret: string;
  readonly clock: Clock;
  /** Milliseconds for the handshake. */
  readonly handshakeTimeoutMs: number;
  /** Bytes that may wait to be sent; a slower peer loses messages, never memory. */
  readonly maxOutboxBytes: number;
}

/** Bytes and frames that went over a connection. */
export interface ConnectionTraffic {
  sentBytes: number;
  sentFrames: number;
  receivedBytes: number;
  receivedFrames: number;
}

const nonceBytes = 32;
const greetingLimit = 4096;

interface PendingCall {
  readonly settle: (result: Result<unknown, Failure>) => void;
}

/** One connection, after its handshake. */
export class PeerConnection {
  /** Monotonic time of the last frame from the peer. */
  lastReceivedAt: number;
  private readonly calls = new Map<number, PendingCall>();
  private nextCall = 1;
  private isOpen = true;

  private constructor(
    private readonly socket: Socket,
    private readonly options: ConnectionOptions,
    readonly peer: PeerIdentity,
    /** Whether this side opened it. */
    readonly isDialed: boolean,
    private readonly messages: AsyncGenerator<PeerMessage>,
    private readonly traffic: ConnectionTraffic,
  ) {
    this.lastReceivedAt = options.clock.getTime();
  }

  /** Greets the other side and checks its proof; the socket is destroyed where that fails. */
  static async create(
    socket: Socket,
    isDialed: boolean,
    options: ConnectionOptions,
    traffic: ConnectionTraffic,
  ): Promise<Result<PeerConnection, Failure>> {
    socket.setNoDelay(true);
    const timer = options.clock.startTimer(options.handshakeTimeoutMs, () => socket.destroy());
    const messages = readMessages(socket, traffic);
    const peer = await greet(socket, isDialed, options, messages);
    timer.cancel();
    if (peer.isErr()) socket.destroy();
    return peer.map((identity) => new PeerConnection(socket, options, identity, isDialed, messages, traffic));
  }

  /** Sends a message; false where the connection is closed or its outbox is full. */
  send(message: PeerMessage): boolean {
    if (!this.isOpen || this.socket.writableLength > this.options.maxOutboxBytes) return false;
    return sendMessage(this.socket, message, this.traffic);
  }

  /** Sends a message and waits for its answer; fails with `PeerUnreachable`. */
  call(message: PeerMessage, timeout: number): Promise<Result<unknown, Failure>> {
    const call = this.nextCall++;
    return new Promise((resolve) => {
      // Made only when it is needed: an Err takes a stack trace, which costs more than the call.
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

  /** Answers a call. */
  reply(call: number, body: unknown): void {
    const message: ReplyMessage = { kind: LinkMessageKind.Reply, call, body };
    this.send(message);
  }

  /** Hands each message to `handle` until the connection ends. */
  async serve(handle: (message: PeerMessage) => void): Promise<void> {
    for await (const message of this.messages) {
      this.lastReceivedAt = this.options.clock.getTime();
      if (message.kind === Number(LinkMessageKind.Reply)) this.settleCall(message as ReplyMessage);
      else handle(message);
    }
    this.close();
  }

  /** Ends the connection; calls without an answer fail. */
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
  const decoder = FrameDecoder.create(greetingLimit);
  try {
    for await (const bytes of socket as AsyncIterable<Buffer>) {
      traffic.receivedBytes += bytes.length;
      const messages = decoder.push(bytes);
      if (messages.isErr()) return;
      for (const message of messages.value) {
        traffic.receivedFrames += 1;
        if (!isMessage(message)) return;
        yield message;
        // Asked for more than the greeting: the peer has proved itself, and may make this side hold large frames.
        if (message.kind === Number(LinkMessageKind.Proof)) decoder.setLimit(maxFrameBytes);
      }
    }
  } catch {
    // A reset ends the connection like an end does.
  }
}

function isMessage(value: unknown): value is PeerMessage {
  return typeof value === "object" && value !== null && typeof (value as PeerMessage).kind === "number";
}

async function greet(
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
  const hello = (await messages.next()).value as HelloMessage | undefined;
  if (hello?.kind !== LinkMessageKind.Hello) return refusePeer("(unknown)");
  if (hello.version !== peerProtocolVersion) {
    const values = { peer: String(hello.name), version: Number(hello.version), own: peerProtocolVersion };
    return Err(Failure.create(FailureCode.PeerVersion, values));
  }
  const proof: ProofMessage = {
    kind: LinkMessageKind.Proof,
    proof: createProof(options.secret, isDialed, own, hello),
  };
  sendMessage(socket, proof, traffic);
  const given = (await messages.next()).value as ProofMessage | undefined;
  const expected = createProof(options.secret, !isDialed, hello, own);
  const isProved = given?.kind === LinkMessageKind.Proof && isEqual(given.proof, expected);
  // A peer that carries our own name is ourselves or an impostor.
  if (!isProved || hello.name === own.name) return refusePeer(hello.name);
  return Ok({ name: hello.name, incarnation: hello.incarnation });
}

function refusePeer(peer: string): Result<PeerIdentity, Failure> {
  return Err(Failure.create(FailureCode.PeerUnauthenticated, { peer }));
}

/** The side is part of what is proved, so that a proof cannot be sent back to who gave it. */
function createProof(secret: string, isDialer: boolean, own: HelloMessage, other: HelloMessage): Buffer {
  const hmac = createHmac("sha256", secret);
  hmac.update(isDialer ? "dialer" : "listener");
  for (const hello of [own, other]) {
    hmac.update(`${hello.name.length}:${hello.name}:${hello.incarnation}:`);
    hmac.update(hello.nonce);
  }
  return hmac.digest();
}

function isEqual(given: unknown, expected: Buffer): boolean {
  return given instanceof Uint8Array && given.length === expected.length && timingSafeEqual(given, expected);
}
