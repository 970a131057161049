/**
 * The gate before a request that may run only once: its claim is recorded before the first byte is sent.
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

/** What the gate says. */
export enum SendDecision {
  /** This entry, and no other, may send the request. */
  Send = 1,
  /** Another has the claim: this entry must never send. */
  Lost = 2,
}

/** A verdict and, where it is `Lost`, the claim that stands. */
export interface SendCheck {
  readonly decision: SendDecision;
  readonly currentClaim: Claim | undefined;
}

const sendAllowed: SendCheck = { decision: SendDecision.Send, currentClaim: undefined };
const claimRetryAfterMs = 2_000;

/** Decides who may send. */
export class ClaimGuard {
  private constructor(
    /** Name and incarnation: a restarted entry is another writer. */
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
   * Passes a request through. `isBackup` tells that this entry took it over: then only a claim of its own lets it
   * start. Fails with `ClaimUnavailable`.
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

  /** Gives the claim of a request back that is about to be told "not run", so that its key can be used again. */
  async release(request: ActiveRequest): Promise<void> {
    const { claim } = request;
    request.claim = undefined;
    if (claim) await this.claims.release(claim);
  }

  /**
   * The service is down. A caller's key could be used again at another entry, so a keyed request is refused. One
   * without a key is known here alone: it is sent once by its holder, after its backups agreed never to start it.
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

/** The key a request claims: its caller's, or its own id. */
function getClaimKey(request: ActiveRequest): string {
  return request.envelope.keyDigest ?? request.envelope.id;
}

/** Returns the writer name of an entry's incarnation. */
export function createWriterName(entry: string, incarnation: number): string {
  return `${entry}#${incarnation}`;
}
