/**
 * Claims as the runner asks for them: through the shard's usual writer, so that one entry's swaps carry everybody's
 * claims, or by this entry itself where that writer does not answer.
 * @module
 */
import {
  type Claim,
  type ClaimLedger,
  type ClaimOutcome,
  InstanceRole,
  type LiveView,
  type PeerLinks,
} from "@gladewall/coordination";
import { type Failure, sortByRendezvous } from "@gladewall/kernel";
import { Ok, type Result } from "ts-results-es";
import { type ClaimMessage, type ClaimReply, PeerKind } from "./peerKinds.js";

/** Records claims. */
export class Claims {
  private constructor(
    private readonly own: string,
    private readonly ledger: ClaimLedger,
    private readonly links: PeerLinks,
    private readonly view: LiveView,
    private readonly peerTimeout: number,
  ) {
    links.setHandler(PeerKind.Claim, (message) => this.handleClaim((message as ClaimMessage).claim));
  }

  /** `peerTimeout`: milliseconds for the usual writer's answer. */
  static create(
    own: string,
    ledger: ClaimLedger,
    links: PeerLinks,
    view: LiveView,
    peerTimeout: number,
  ): Claims {
    return new Claims(own, ledger, links, view, peerTimeout);
  }

  /** Claims a key; fails with `ClaimUnavailable`. */
  async claim(claim: Claim): Promise<Result<ClaimOutcome, Failure>> {
    const writer = this.getUsualWriter(claim.key);
    if (writer !== this.own && this.links.isLinked(writer)) {
      const message: ClaimMessage = { kind: PeerKind.Claim, claim };
      const answer = await this.links.call(writer, message, this.peerTimeout);
      const reply = answer.isOk() ? (answer.value as ClaimReply) : undefined;
      if (reply?.claim) return Ok({ isWon: reply.isWon, claim: reply.claim });
    }
    // The writer is only a hint: what it may have recorded in our name is found in the ledger.
    return this.ledger.claim(claim);
  }

  /** Gives back the claim of a request that surely was not run. */
  release(claim: Claim): Promise<Result<void, Failure>> {
    return this.ledger.release(claim);
  }

  /** Reads whose claim stands on a key. */
  find(key: string): Promise<Result<Claim | undefined, Failure>> {
    return this.ledger.find(key);
  }

  private getUsualWriter(key: string): string {
    const shard = this.ledger.getShard(key);
    const entries = this.view.getLive(InstanceRole.Entry).map((record) => record.id);
    return sortByRendezvous(`claims/${shard}`, entries, (name) => name)[0] ?? this.own;
  }

  private async handleClaim(claim: Claim): Promise<ClaimReply> {
    const outcome = await this.ledger.claim(claim);
    if (outcome.isErr()) return { isWon: false, claim: undefined };
    return { isWon: outcome.value.isWon, claim: outcome.value.claim };
  }
}
