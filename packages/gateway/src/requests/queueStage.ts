/**
 * Waits for a slot of the request's service before the request is placed, if the service is contended and has fewer slots than the
 * fleet has instances.
 * @module
 */
import type { Endpoint } from "../endpoints/endpoint.js";
import { FailureCode, waitFor } from "@gladewall/kernel";
import { mayServe } from "../origins/streamOrigin.js";
import { NextStep, type RequestContext } from "./requestContext.js";
import { createRefusal } from "./requestRefusal.js";
import { SlotResult, type SlotAnswer, type SlotRequestInput } from "../slots/slotAcquisition.js";

/** Time between two requests for a slot of a brittle service while no arbiter decides, as after several of them have ended. */
const arbiterPollMs = 40;
/** Engines that are named as the best ones for a prompt; if none of them has room, any other may get it. */
const preferredEndpoints = 3;

/** Obtains the slot of each attempt of one request. */
export class QueueStage {
  private observedEnd: (() => void) | undefined;

  private constructor(private readonly context: RequestContext) {}

  static create(context: RequestContext): QueueStage {
    return new QueueStage(context);
  }

  /**
   * Waits for a slot if one is needed. Returns `Retry` if the request may be placed now, with `context.slot` if it has a slot;
   * `Fail` if it is refused; `Done` if nobody waits for it any more.
   */
  async acquireSlot(): Promise<NextStep> {
    const { context } = this;
    const { slots, brittle } = context.parts;
    const { service } = context.request;
    // A suspect may be sent like other requests, so that it needs a counted place unless it gets a trial.
    if (this.isSuspect() && brittle.getLimit(service.name) === undefined) return NextStep.Retry;
    const isObserved = slots.isObserved(service);
    if (!isObserved && !slots.isNeeded(service)) return NextStep.Retry;
    const input = this.createInput();
    if (!input) return NextStep.Retry;
    if (isObserved) {
      this.observedEnd = slots.observe(input).end;
      return NextStep.Retry;
    }
    const queueing = new AbortController();
    context.queueing = queueing;
    const answer = await slots.acquire(input, queueing.signal);
    context.queueing = undefined;
    const isUndecided = answer.result === SlotResult.Direct && !context.isOver;
    if (isUndecided && brittle.getLimit(service.name) !== undefined) return this.waitForArbiter();
    return this.apply(answer);
  }

  /** Obtains a slot of one endpoint, at which the request is to run isolated from others; false if it gets none there. */
  async acquireAt({ incarnation }: Endpoint): Promise<boolean> {
    const { context } = this;
    const { slots, brittle, directory } = context.parts;
    const { service } = context.request;
    const isBrittle = brittle.getLimit(service.name) !== undefined;
    const input = isBrittle && slots.isNeeded(service) ? this.createInput() : undefined;
    if (!input) return true;
    const others = directory.getOfService(service.name).filter((one) => one.incarnation !== incarnation);
    const excluded = [...input.excluded, ...others.map((one) => one.incarnation)];
    const queueing = new AbortController();
    context.queueing = queueing;
    const { slot } = await slots.acquire({ ...input, excluded }, queueing.signal);
    context.queueing = undefined;
    context.slot = slot;
    return slot !== undefined;
  }

  /** Requests a slot again after a while, because brittle endpoints must not be sent requests that nobody has counted. */
  private async waitForArbiter(): Promise<NextStep> {
    const { context } = this;
    const { arrivedAt, admitted } = context.request;
    const isLate = context.parts.clock.getTime() > arrivedAt + admitted.route.latencyObjectiveMs;
    if (isLate) return this.apply({ result: SlotResult.Refused });
    await waitFor(context.parts.clock, arbiterPollMs);
    return context.isOver ? NextStep.Done : this.acquireSlot();
  }

  /** Ends the grant of the attempt; it is cancelled if the attempt was not made with it. */
  release(): void {
    const { context } = this;
    context.slot?.end();
    context.slot = undefined;
    this.observedEnd?.();
    this.observedEnd = undefined;
  }

  private apply({ result, slot, retryAfterMs }: SlotAnswer): NextStep {
    const { context } = this;
    if (context.isOver || result === SlotResult.Abandoned) {
      slot?.end();
      return NextStep.Done;
    }
    if (result === SlotResult.Refused) {
      const refusal = createRefusal(FailureCode.Overloaded, context.request.service);
      // A request that may have run before fails with that run's failure, which takes precedence.
      context.history.recordNotRun(
        retryAfterMs === undefined ? refusal : refusal.withRetryAfter(retryAfterMs),
      );
      return NextStep.Fail;
    }
    context.slot = slot;
    return NextStep.Retry;
  }

  /** Whether the request may have to run isolated from others. */
  private isSuspect(): boolean {
    const { context } = this;
    const { suspects } = context.parts;
    const { service } = context.request;
    return suspects.hasSuspects(context.workspace, service.name) && suspects.isSuspect(context.suspectSource);
  }

  /** Returns undefined if no endpoint accepts the request: no slot is needed to find that out. */
  private createInput(): SlotRequestInput | undefined {
    const { context } = this;
    const { head, service, admitted, arrivedAt } = context.request;
    const { brittle, placer } = context.parts;
    const excluded = this.findExcluded();
    if (!excluded) return undefined;
    return {
      request: head.id,
      service,
      workspace: context.workspace,
      route: admitted.route.name,
      rank: context.rank,
      arrivedAt,
      objectiveMs: admitted.route.latencyObjectiveMs,
      deadlineAt: context.deadlineAt,
      excluded,
      isBrittle: brittle.getLimit(service.name) !== undefined,
      ...(service.engine && {
        preferred: placer.rank(context.placementRequest, preferredEndpoints),
        tokens: context.memoryTokens,
      }),
    };
  }

  /**
   * Incarnations that the request can't be sent to. They include endpoints that this instance holds off or cannot reach, or at which its
   * stream can't go on, because the arbiter has no record of that and would grant their slots again and again.
   */
  private findExcluded(): readonly string[] | undefined {
    const { context } = this;
    const { clock, directory } = context.parts;
    const time = clock.getTime();
    const usable = directory.getOfService(context.request.service.name).filter((one) => one.isUsable());
    const eligible = usable.filter(
      (one) =>
        one.acceptsRequest(time, context.permitRank) &&
        !context.excluded.has(one.incarnation) &&
        mayServe(context.origin, one),
    );
    if (eligible.length === 0) return undefined;
    const reachable = eligible.filter((one) => !one.isUnreachable(time));
    const chosen = reachable.length > 0 ? reachable : eligible;
    return usable.filter((one) => !chosen.includes(one)).map(({ incarnation }) => incarnation);
  }
}
