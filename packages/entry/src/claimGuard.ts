/**
 * Decides whether this entry may send a request that may run only once: its claim is recorded before the first byte is
 * sent to an endpoint.
 * @module
 */
import type { Claim } from "@gladewall/coordination";
import { Failure, FailureCode, Outcome } from "@gladewall/kernel";
import { DecisionRule, DecisionStage, RepeatRule } from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import type { BackupWriter } from "./backupWriter.js";
import type { ClaimClient } from "./claimClient.js";
import type { DecisionWriter } from "./decisions.js";
import type { ActiveRequest } from "./requests.js";

/** Whether this entry may send a request. */
export enum SendDecision {
  /** This entry, and no other, may send the request. */
  Send = 1,
  /** Another request or entry has the claim, so this entry must never send the request. */
  Lost = 2,
}

/** A decision and, if it is `Lost`, the claim that won. */
export interface SendCheck {
  readonly decision: SendDecision;
  readonly currentClaim: Claim | undefined;
}

const sendAllowed: SendCheck = { decision: SendDecision.Send, currentClaim: undefined };
const claimRetryAfterMs = 2_000;

/** Decides whether requests may be sent. */
export class ClaimGuard {
  private constructor(
    /** Name and incarnation of this entry, because a restarted entry counts as another writer. */
    private readonly writer: string,
    private readonly claims: ClaimClient,
    private readonly backups: BackupWriter,
    private readonly decisions: DecisionWriter,
  ) {}

  static create(
    writer: string,
    claims: ClaimClient,
    backups: BackupWriter,
    decisions: DecisionWriter,
  ): ClaimGuard {
    return new ClaimGuard(writer, claims, backups, decisions);
  }

  /**
   * Records the claim of a request unless it may be retried or is claimed already. `isTakenOver` says that this entry
   * took the request over; it may then start the request only with a claim of its own. Fails with `ClaimUnavailable`.
   */
  async ensureClaim(
    request: ActiveRequest,
    endpoint: string,
    run: string,
    isTakenOver: boolean,
  ): Promise<Result<SendCheck, Failure>> {
    const { envelope } = request;
    if (envelope.repeat === RepeatRule.Allowed || request.isClaimed) return Ok(sendAllowed);
    const claim: Claim = {
      key: getClaimKey(request),
      request: envelope.id,
      writer: this.writer,
      body: envelope.bodyDigest,
      endpoint,
      run,
    };
    const outcome = await this.claims.claim(claim);
    if (outcome.isErr()) return this.proceedWithoutClaim(request, isTakenOver);
    if (!outcome.value.isWon) return Ok({ decision: SendDecision.Lost, currentClaim: outcome.value.claim });
    request.isClaimed = true;
    request.claim = claim;
    this.decisions.add(envelope.id, DecisionStage.Claim, DecisionRule.ClaimWon, {});
    return Ok(sendAllowed);
  }

  /** Releases the claim of a request that is about to be reported as "not run", so that its key can be used again. */
  async release(request: ActiveRequest): Promise<void> {
    const { claim } = request;
    request.claim = undefined;
    if (claim) await this.claims.release(claim);
  }

  /**
   * Decides while the key-value service is down, so that no claim can be recorded. A request with a caller's key is
   * refused, because the key could be used again at another entry. A request without a key is known only here and at
   * its backups: its holder sends it once, after all its backups have agreed never to start it.
   */
  private async proceedWithoutClaim(
    request: ActiveRequest,
    isTakenOver: boolean,
  ): Promise<Result<SendCheck, Failure>> {
    const refusal = Failure.create(FailureCode.ClaimUnavailable, {}, claimRetryAfterMs);
    if (isTakenOver) return Err(refusal.withOutcome(Outcome.Unknown));
    if (request.envelope.keyDigest !== undefined) return Err(refusal);
    const isStartForbidden = await this.backups.forbidStart(request);
    if (!isStartForbidden) return Err(refusal);
    request.isClaimed = true;
    this.decisions.add(request.envelope.id, DecisionStage.Claim, DecisionRule.SentWithoutClaim, {});
    return Ok(sendAllowed);
  }
}

/** Returns the key that a request claims: the digest of its caller's key, or its own id without one. */
function getClaimKey(request: ActiveRequest): string {
  return request.envelope.keyDigest ?? request.envelope.id;
}

/** Returns the name under which an incarnation of an entry writes claims. */
export function createWriterName(entry: string, incarnation: number): string {
  return `${entry}#${incarnation}`;
}
