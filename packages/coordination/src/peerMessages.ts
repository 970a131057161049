/**
 * Messages that the links between peers exchange themselves. The protocol version and the kinds are numbers;
 * messages of an unknown kind are ignored.
 * @module
 */

/** Version of the protocol; peers with another version are refused. */
export const peerProtocolVersion = 1;

/** Kinds of message that the links use themselves; users of the links number theirs from `firstApplicationKind`. */
export enum LinkMessageKind {
  Hello = 1,
  Proof = 2,
  Ping = 3,
  Reply = 4,
}

/** First kind number that is available to users of the links. */
export const firstApplicationKind = 16;

/** Base of all messages. `call` is the number of a call and is set if the sender awaits a reply. */
export interface PeerMessage {
  readonly kind: number;
  readonly call?: number | undefined;
}

/** First handshake message, sent by both sides. */
export interface HelloMessage extends PeerMessage {
  readonly kind: LinkMessageKind.Hello;
  readonly version: number;
  readonly name: string;
  readonly incarnation: number;
  /** Random bytes that the proofs of both sides include. */
  readonly nonce: Uint8Array;
}

/** Whether a message of a peer that has proved nothing yet is a complete hello. */
export function isHelloMessage(message: PeerMessage | undefined): message is HelloMessage {
  if (message?.kind !== Number(LinkMessageKind.Hello)) return false;
  const { version, name, incarnation, nonce } = message as Partial<HelloMessage>;
  const isIdentified = typeof name === "string" && typeof incarnation === "number";
  return isIdentified && typeof version === "number" && nonce instanceof Uint8Array;
}

/** Second handshake message: an HMAC over both hello messages that proves knowledge of the shared secret. */
export interface ProofMessage extends PeerMessage {
  readonly kind: LinkMessageKind.Proof;
  readonly proof: Uint8Array;
}

/** Reply to a call. */
export interface ReplyMessage extends PeerMessage {
  readonly kind: LinkMessageKind.Reply;
  readonly call: number;
  readonly body: unknown;
}
