/**
 * Shapes of what peers say to each other. Version and kinds are numbered; a kind that is not known is passed over.
 * @module
 */

/** Version of the protocol; peers of other versions are not linked. */
export const peerProtocolVersion = 1;

/** Kinds of message that the links themselves use; users of links number theirs from 16. */
export enum LinkMessageKind {
  Hello = 1,
  Proof = 2,
  Ping = 3,
  Reply = 4,
}

/** First kind number free for the users of links. */
export const firstApplicationKind = 16;

/** Any message. `call` is set where an answer is awaited. */
export interface PeerMessage {
  readonly kind: number;
  readonly call?: number | undefined;
}

/** First message of both sides. */
export interface HelloMessage extends PeerMessage {
  readonly kind: LinkMessageKind.Hello;
  readonly version: number;
  readonly name: string;
  readonly incarnation: number;
  /** Random bytes that the other side proves the secret over. */
  readonly nonce: Uint8Array;
}

/** Proof of the shared secret over both hellos. */
export interface ProofMessage extends PeerMessage {
  readonly kind: LinkMessageKind.Proof;
  readonly proof: Uint8Array;
}

/** Answer to a call. */
export interface ReplyMessage extends PeerMessage {
  readonly kind: LinkMessageKind.Reply;
  readonly call: number;
  readonly body: unknown;
}
