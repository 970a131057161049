/**
 * Waits for a slot of the request's service before the request is placed, if the service is contended and has fewer slots than the
 * fleet has instances.
 * @module
 */
import { FailureCode, waitFor } from "@gladewall/kernel";
import { mayServe } from "./origins/streamOrigin.js";
import { NextStep, type RequestContext } from "./requestContext.js";
import { createRefusal } from "./requestRefusal.js";
import { SlotResult, type SlotAnswer, type SlotRequestInput } from "./slots/slotAcquisition.js";

/** Requests for a slot of a brittle service without a decision, after which the request is refused, and the time between them. */
const maxUndecided = 5;
const arbiterPollMs = 40;

/** Obtains the slot of each attempt of one request. */
export class QueueStage {
  private observedEnd: (() => void) | undefined;
  /** Requests for a slot on which no arbiter decided. */
  private undecided = 0;

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
    if (service.engine || this.isSuspect()) return NextStep.Retry;
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

  /** Requests a slot again after a while, because brittle endpoints must not be sent requests that nobody has counted. */
  private async waitForArbiter(): Promise<NextStep> {
    const { context } = this;
    this.undecided += 1;
    if (this.undecided > maxUndecided) return this.apply({ result: SlotResult.Refused });
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
    return suspects.hasSuspects(context.workspace) && suspects.isSuspect(context.subject);
  }

  /** Returns undefined if no endpoint accepts the request: no slot is needed to find that out. */
  private createInput(): SlotRequestInput | undefined {
    const { context } = this;
    const { head, service, admitted, arrivedAt } = context.request;
    const { brittle } = context.parts;
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
