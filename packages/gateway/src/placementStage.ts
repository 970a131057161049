/**
 * Chooses the endpoint of a request's next attempt; an isolated request gets one where no other isolated request runs.
 * @module
 */
import { type Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import type { Placement, PlacementRequest } from "./placement.js";
import type { RequestContext } from "./requestContext.js";
import { createRefusal } from "./requestRefusal.js";

/** Refused permits after which a request is only sent to endpoints that need none. */
const maxPermitRefusals = 3;

/** Places one request. */
export class PlacementStage {
  private constructor(private readonly context: RequestContext) {}

  static create(context: RequestContext): PlacementStage {
    return new PlacementStage(context);
  }

  /** Fails with `NoEndpoint`, or with the reason why a suspect must not run now. */
  async choose(): Promise<Result<Placement, Failure>> {
    const { context } = this;
    const { suspects, placer } = context.parts;
    const { service } = context.request;
    const placementRequest = this.createPlacementRequest();
    if (suspects.hasSuspects(context.workspace)) {
      const trial = await suspects.findTrial({
        id: context.request.head.id,
        subject: context.subject,
        service: service.name,
        excluded: context.excluded,
        leftMs: context.getTimeLeft(),
      });
      if (trial.isErr()) return trial;
      context.trial = trial.value;
    }
    if (context.trial) return Ok(placer.describe(placementRequest, context.trial.endpoint));
    const placement = placer.choose(placementRequest);
    return placement ? Ok(placement) : Err(createRefusal(FailureCode.NoEndpoint, service));
  }

  private createPlacementRequest(): PlacementRequest {
    const { context } = this;
    const { service, head } = context.request;
    const { promptTokens = 0, parts } = head;
    const { excluded, permitRank: rank } = context;
    const avoidsLimited = context.permitRefusals >= maxPermitRefusals;
    return { service, promptTokens, parts, excluded, rank, avoidsLimited };
  }
}
