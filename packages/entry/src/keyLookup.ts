/**
 * Finds the request that an idempotency key was used for: at this entry, at the key's home, or in the claim store. The
 * home of a key is the live entry that rendezvous hashing selects for it, where requests with the same key meet. The
 * lookup precedes the refusal of a request with a key, because "not run" must hold for the key and not only for the
 * latest request that carries it.
 * @module
 */
import { InstanceRole, type MembershipView, type PeerLinks } from "@gladewall/coordination";
import { Failure, FailureCode, sortByRendezvous } from "@gladewall/kernel";
import { RepeatRule } from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import type { BackupStore } from "./backupStore.js";
import type { KeyConflict } from "./backupWriter.js";
import type { ClaimClient } from "./claimClient.js";
import { type FindKeyMessage, type FindKeyReply, PeerKind } from "./peerKinds.js";
import type { Envelope } from "./types.js";

/** Looks up idempotency keys. */
export class KeyLookup {
  private constructor(
    private readonly own: string,
    private readonly links: PeerLinks,
    private readonly view: MembershipView,
    private readonly backups: BackupStore,
    private readonly claims: ClaimClient,
    private readonly timeoutMs: number,
  ) {
    links.setHandler(PeerKind.FindKey, (message) => this.handleFind(message as FindKeyMessage));
  }

  /** `timeout`: milliseconds to wait for the reply of a key's home. */
  static create(
    own: string,
    links: PeerLinks,
    view: MembershipView,
    copies: BackupStore,
    claims: ClaimClient,
    timeout: number,
  ): KeyLookup {
    return new KeyLookup(own, links, view, copies, claims, timeout);
  }

  /** Returns the request with a key that this entry holds or has a backup copy of. */
  findLocal(keyDigest: string | undefined): KeyConflict | undefined {
    const found = this.backups.findKey(keyDigest);
    return found && { request: found.id, body: found.bodyDigest };
  }

  /** Returns the request with a key that this entry has a backup copy of. */
  findCopied(keyDigest: string | undefined): KeyConflict | undefined {
    const found = this.backups.findCopy(keyDigest);
    return found && { request: found.id, body: found.bodyDigest };
  }

  /** Returns the request with a key at any entry; fails if the home or the claim store can't be reached. */
  async find(envelope: Envelope): Promise<Result<KeyConflict | undefined, Failure>> {
    const { keyDigest } = envelope;
    if (keyDigest === undefined) return Ok(undefined);
    const local = this.findLocal(keyDigest);
    if (local) return Ok(local);
    const fromHome = await this.askHome(keyDigest);
    if (fromHome.isErr() || fromHome.value || envelope.repeat === RepeatRule.Allowed) return fromHome;
    const claim = await this.claims.find(keyDigest);
    return claim.map((standing) => standing && { request: standing.request, body: standing.body });
  }

  private async askHome(keyDigest: string): Promise<Result<KeyConflict | undefined, Failure>> {
    const names = this.view.getLive(InstanceRole.Entry).map((record) => record.id);
    const home = sortByRendezvous(keyDigest, names, (name) => name)[0];
    if (home === undefined || home === this.own) return Ok(undefined);
    const message: FindKeyMessage = { kind: PeerKind.FindKey, keyDigest };
    const answer = await this.links.call(home, message, this.timeoutMs);
    if (answer.isErr()) return Err(Failure.create(FailureCode.PeerUnreachable, { peer: home }));
    return Ok((answer.value as FindKeyReply).found);
  }

  private handleFind(message: FindKeyMessage): FindKeyReply {
    return { found: this.findLocal(message.keyDigest) };
  }
}
