/**
 * Claims as the runner asks for them: through the shard's usual writer, so that one entry's swaps carry everybody's
 * claims, or by this entry itself where that writer does not answer.
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

/** Records claims. */
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

  /** `peerTimeout`: milliseconds for the usual writer's answer. */
  static create(
    own: string,
    store: ClaimStore,
    links: PeerLinks,
    view: MembershipView,
    peerTimeout: number,
  ): ClaimClient {
    return new ClaimClient(own, store, links, view, peerTimeout);
  }

  /** Claims a key; fails with `ClaimUnavailable`. */
  async claim(claim: Claim): Promise<Result<ClaimOutcome, Failure>> {
    const writer = this.getPreferredWriter(claim.key);
    if (writer !== this.own && this.links.isLinked(writer)) {
      const message: ClaimMessage = { kind: PeerKind.Claim, claim };
      const answer = await this.links.call(writer, message, this.peerTimeoutMs);
      const reply = answer.isOk() ? (answer.value as ClaimReply) : undefined;
      if (reply?.claim) return Ok({ isWon: reply.isWon, claim: reply.claim });
    }
    // The writer is only a hint: what it may have recorded in our name is found in the ledger.
    return this.store.claim(claim);
  }

  /** Gives back the claim of a request that surely was not run. */
  release(claim: Claim): Promise<Result<void, Failure>> {
    return this.store.release(claim);
  }

  /** Reads whose claim stands on a key. */
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
