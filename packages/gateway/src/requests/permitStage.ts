/**
 * Obtains what an attempt needs before it is sent: a charge to the workspace's limit, a retry from the shared budget, and a
 * permit where the endpoint advertises a rate limit.
 * @module
 */
import { RetryCause } from "../limits/retries/creditPool.js";
import { isRetryTaken, RetryDecision } from "../limits/retries/retryBudget.js";
import type { Placement } from "../placement/placer.js";
import type { RequestContext } from "./requestContext.js";

/** Obtains permissions for the attempts of one request. */
export class PermitStage {
  /** Retries that the retry budget has granted. */
  private grantedRetries = 0;

  private constructor(private readonly context: RequestContext) {}

  static create(context: RequestContext): PermitStage {
    return new PermitStage(context);
  }

  /** Charges one more run if as many as were charged may have happened; returns false if the limit is exhausted. */
  async chargeRun(): Promise<boolean> {
    const { context } = this;
    const { charge, service } = context.request;
    if (charge === undefined || context.history.runs < charge.runs) return true;
    const isCharged = (await context.parts.charges.takeRetry(charge, context.getTimeLeft())).isOk();
    if (!isCharged) context.log("retry.refused", { service: service.name, cause: "limit" });
    return isCharged;
  }

  /** Whether the next attempt is no retry, or one that its caller is likely to gain by. */
  isAttemptWorthwhile(): boolean {
    const { context } = this;
    const { service } = context.request;
    if (!this.needsRetry() || context.history.retryCause === RetryCause.Interrupted) return true;
    if (context.parts.acceptance.isRetryWorthwhile(service.name)) return true;
    context.log("retry.refused", { service: service.name, cause: "acceptance" });
    return false;
  }

  /** Takes a retry from the budget that all instances share, if the next attempt is one; false if none is left. */
  async acquireRetry(): Promise<boolean> {
    const { context } = this;
    if (!this.needsRetry()) return true;
    const { service } = context.request;
    const { retryCause: cause } = context.history;
    const decision = await context.parts.budget.take(service.name, { cause, leftMs: context.getTimeLeft() });
    const isTaken = isRetryTaken(decision);
    if (isTaken) this.grantedRetries += 1;
    context.log(isTaken ? "retry.taken" : "retry.refused", {
      service: service.name,
      after: RetryCause[cause],
      cause: RetryDecision[decision],
    });
    return isTaken;
  }

  private needsRetry(): boolean {
    return this.context.history.arrivals > this.grantedRetries;
  }

  /** Obtains a permit if the endpoint needs one; false if none is granted or the endpoint's state has changed meanwhile. */
  async acquirePermit({ endpoint }: Placement): Promise<boolean> {
    const { context } = this;
    const { permits, clock } = context.parts;
    if (permits.isUnlimited(endpoint)) return true;
    const { permitRank: rank } = context;
    const permitRequest = { id: context.request.head.id, rank, leftMs: context.getTimeLeft() };
    const isGranted = await permits.acquire(endpoint, permitRequest);
    if (isGranted && endpoint.acceptsPermitted(clock.getTime())) return true;
    context.permitRefusals += 1;
    const { limit } = endpoint.availability;
    context.log("permit.refused", {
      endpoint: endpoint.id,
      perSecond: limit.perSecond,
      limitAgeMs: Math.round(limit.getAge(clock.getTime())),
      rank,
      waitMs: Math.round(limit.getWaitMs(clock.getTime())),
    });
    return false;
  }
}
