/**
 * Records and looks up claims of requests that may run only once. A claim goes through the preferred writer of its
 * shard, so that one entry's compare-and-swap operations carry the claims of all entries. If that writer does not
 * reply, this entry writes the claim itself.
 * @module
 */
import {
  type Claim,
  type ClaimStore,
  type ClaimOutcome,
  InstanceRole,
  type MembershipView,
  type PeerLinks,
} from "@gladewall/coordination";
import { type Failure, sortByRendezvous } from "@gladewall/kernel";
import { Ok, type Result } from "ts-results-es";
import { type ClaimMessage, type ClaimReply, PeerKind } from "./peerKinds.js";

/** Records, releases and finds claims. */
export class ClaimClient {
  private constructor(
    private readonly own: string,
    private readonly store: ClaimStore,
    private readonly links: PeerLinks,
    private readonly view: MembershipView,
    private readonly peerTimeoutMs: number,
  ) {
    links.setHandler(PeerKind.Claim, (message) => this.handleClaim((message as ClaimMessage).claim));
  }

  /** `peerTimeout`: milliseconds to wait for the preferred writer's reply. */
  static create(
    own: string,
    store: ClaimStore,
    links: PeerLinks,
    view: MembershipView,
    peerTimeout: number,
  ): ClaimClient {
    return new ClaimClient(own, store, links, view, peerTimeout);
  }

  /** Claims a key. Fails with `ClaimUnavailable`. */
  async claim(claim: Claim): Promise<Result<ClaimOutcome, Failure>> {
    const writer = this.getPreferredWriter(claim.key);
    if (writer !== this.own && this.links.isLinked(writer)) {
      const message: ClaimMessage = { kind: PeerKind.Claim, claim };
      const answer = await this.links.call(writer, message, this.peerTimeoutMs);
      const reply = answer.isOk() ? (answer.value as ClaimReply) : undefined;
      if (reply?.claim) return Ok({ isWon: reply.isWon, claim: reply.claim });
    }
    // The preferred writer is only an optimization: if it recorded the claim without replying, the store finds it.
    return this.store.claim(claim);
  }

  /** Releases the claim of a request that was certainly not run. */
  release(claim: Claim): Promise<Result<void, Failure>> {
    return this.store.release(claim);
  }

  /** Returns the current claim of a key; undefined if there is none. */
  find(key: string): Promise<Result<Claim | undefined, Failure>> {
    return this.store.find(key);
  }

  private getPreferredWriter(key: string): string {
    const shard = this.store.getShardIndex(key);
    const entries = this.view.getLive(InstanceRole.Entry).map((record) => record.id);
    return sortByRendezvous(`claims/${shard}`, entries, (name) => name)[0] ?? this.own;
  }

  private async handleClaim(claim: Claim): Promise<ClaimReply> {
    const outcome = await this.store.claim(claim);
    if (outcome.isErr()) return { isWon: false, claim: undefined };
    return { isWon: outcome.value.isWon, claim: outcome.value.claim };
  }
}
