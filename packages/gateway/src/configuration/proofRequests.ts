/**
 * Requests configuration proofs from peers: an instance that the store refuses calls some linked peers, which
 * the store may still serve.
 * @module
 */
import type { PeerLinks, PeerMessage } from "@gladewall/coordination";
import type { ConfigurationFollower } from "./configurationFollower.js";
import type { ConfigurationProof, HeldConfiguration } from "./configurationInForce.js";

/** Message numbers; they follow those of `MemberMessageKind`. */
enum ProofMessageKind {
  Request = 40,
}

interface ProofRequestMessage extends PeerMessage, HeldConfiguration {
  readonly kind: ProofMessageKind.Request;
}

const calledPeerCount = 3;
const requestTimeoutMs = 400;

/** Sends requests for configuration proofs, and replies to those of peers. */
export class ProofRequests {
  private constructor(
    private readonly links: PeerLinks,
    private readonly getRandom: () => number,
  ) {}

  /** Registers the handler that replies to peers' requests with the follower's proof. */
  static create(links: PeerLinks, follower: ConfigurationFollower, getRandom: () => number): ProofRequests {
    links.setHandler(ProofMessageKind.Request, (message) =>
      follower.createProof(message as ProofRequestMessage),
    );
    return new ProofRequests(links, getRandom);
  }

  /** Calls a few linked peers, chosen at random; returns the proofs of those that have one. */
  async request(held: HeldConfiguration): Promise<readonly ConfigurationProof[]> {
    const message: ProofRequestMessage = { kind: ProofMessageKind.Request, ...held };
    const replies = await Promise.all(
      this.choosePeers().map((name) => this.links.call(name, message, requestTimeoutMs)),
    );
    return replies.flatMap((reply) => (reply.isOk() && isProof(reply.value) ? [reply.value] : []));
  }

  private choosePeers(): readonly string[] {
    const candidates = this.links.getLinked().map((name) => ({ name, order: this.getRandom() }));
    candidates.sort((one, other) => one.order - other.order);
    return candidates.slice(0, calledPeerCount).map(({ name }) => name);
  }
}

function isProof(value: unknown): value is ConfigurationProof {
  if (typeof value !== "object" || value === null) return false;
  const { proofAgeMs, revision } = value as Partial<ConfigurationProof>;
  return Number.isFinite(proofAgeMs) && proofAgeMs! >= 0 && Number.isInteger(revision);
}
