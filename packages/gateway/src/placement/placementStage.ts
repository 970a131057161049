/**
 * Chooses the endpoint of a request's next attempt; an isolated request gets one where no other isolated request runs.
 * @module
 */
import { type Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { mayServe } from "../origins/streamOrigin.js";
import type { Placement, PlacementRequest } from "./placer.js";
import type { RequestContext } from "../requests/requestContext.js";
import { createRefusal } from "../requests/requestRefusal.js";

/** Places one request. */
export class PlacementStage {
  private constructor(private readonly context: RequestContext) {}

  static create(context: RequestContext): PlacementStage {
    return new PlacementStage(context);
  }

  /** Fails with `NoEndpoint`, or with the reason why a suspect must not run now. */
  async choose(): Promise<Result<Placement, Failure>> {
    const { context } = this;
    const { suspects, placer, brittle, slots } = context.parts;
    const { service } = context.request;
    const placementRequest = context.placementRequest;
    if (suspects.hasSuspects(context.workspace, service.name)) {
      const trial = await suspects.findTrial({
        id: context.request.head.id,
        subject: context.subject,
        service: service.name,
        sharedParts: context.sharedParts,
        excluded: context.excluded,
        origin: context.origin,
        leftMs: context.getTimeLeft(),
      });
      if (trial.isErr()) return trial;
      context.trial = trial.value;
    }
    const granted = this.takeGranted(placementRequest);
    if (granted) return Ok(granted);
    if (context.trial) return Ok(placer.describe(placementRequest, context.trial.endpoint));
    const placement = placer.choose(placementRequest);
    if (!placement) return Err(createRefusal(FailureCode.NoEndpoint, service));
    // Nobody has counted a place for it.
    const needsSlot = brittle.getLimit(service.name) !== undefined && slots.isNeeded(service);
    return needsSlot ? Err(createRefusal(FailureCode.Overloaded, service)) : Ok(placement);
  }

  /** Returns the endpoint of the request's slot; the slot is returned if the request can't be sent there. */
  private takeGranted(request: PlacementRequest): Placement | undefined {
    const { context } = this;
    const { clock, directory, placer } = context.parts;
    const { slot, trial } = context;
    if (!slot) return undefined;
    const time = clock.getTime();
    const endpoint = directory.find(slot.endpoint);
    const isAccepted =
      endpoint?.record.service === request.service.name &&
      endpoint.acceptsRequest(time, request.rank) &&
      !endpoint.isUnreachable(time) &&
      !request.excluded.has(endpoint.incarnation) &&
      mayServe(request.origin, endpoint);
    const mustAvoid = request.avoidsLimited === true && endpoint?.availability.limit.perSecond !== undefined;
    if (isAccepted && !mustAvoid && !trial) return placer.describe(request, endpoint);
    slot.end();
    context.slot = undefined;
    return undefined;
  }
}
