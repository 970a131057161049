/**
 * Peers' words on the configuration: an instance that the store turns away asks some of those it is linked with, which
 * may still be served.
 * @module
 */
import type { PeerLinks, PeerMessage } from "@gladewall/coordination";
import type {
  ConfigurationFollower,
  HeldConfiguration,
  ConfigurationProof,
} from "./configurationFollower.js";

/** Numbers of the messages; after those of members. */
enum ProofMessageKind {
  Ask = 40,
}

interface ProofRequestMessage extends PeerMessage, HeldConfiguration {
  readonly kind: ProofMessageKind.Ask;
}

const askedPeerCount = 3;
const askTimeoutMs = 400;

/** Asks and answers. */
export class ProofRequests {
  private constructor(
    private readonly links: PeerLinks,
    private readonly getRandom: () => number,
  ) {}

  /** Answers peers from now on with what the follower knows. */
  static create(links: PeerLinks, follower: ConfigurationFollower, getRandom: () => number): ProofRequests {
    links.setHandler(ProofMessageKind.Ask, (message) => follower.createProof(message as ProofRequestMessage));
    return new ProofRequests(links, getRandom);
  }

  /** Asks some linked peers; returns the words of those that have a proof. */
  async ask(held: HeldConfiguration): Promise<readonly ConfigurationProof[]> {
    const message: ProofRequestMessage = { kind: ProofMessageKind.Ask, ...held };
    const answers = await Promise.all(
      this.choosePeers().map((name) => this.links.call(name, message, askTimeoutMs)),
    );
    return answers.flatMap((answer) => (answer.isOk() && isProof(answer.value) ? [answer.value] : []));
  }

  private choosePeers(): readonly string[] {
    const drawn = this.links.getLinked().map((name) => ({ name, order: this.getRandom() }));
    drawn.sort((one, other) => one.order - other.order);
    return drawn.slice(0, askedPeerCount).map(({ name }) => name);
  }
}

function isProof(value: unknown): value is ConfigurationProof {
  if (typeof value !== "object" || value === null) return false;
  const { proofAgeMs, revision } = value as Partial<ConfigurationProof>;
  return Number.isFinite(proofAgeMs) && proofAgeMs! >= 0 && Number.isInteger(revision);
}
