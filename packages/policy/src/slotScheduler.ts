/**
 * Decides who gets the slots of a service that has fewer slots than the fleet has instances, while its callers compete
 * for them. All requests for its slots are decided in one place, because a share of an instance would be below one slot.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import {
  type AdoptedSlot,
  type EndpointLoad,
  type SlotDecision,
  type SlotDispatch,
  type SlotEnd,
  type SlotEndpoint,
  type SlotEndpointLoad,
  type SlotGrant,
  SlotOutcome,
  SlotRefusal,
  type SlotRequest,
  type SlotScheduler,
} from "./capacityTypes.js";
import { RetryAdvice } from "./retryAdvice.js";
import { SlotEndpoints } from "./slotEndpoints.js";
import type { SlotEndpointState } from "./slotEndpointState.js";
import { type OpenGrant, SlotGrants } from "./slotGrants.js";
import { type NextRequest, SlotOrder } from "./slotOrder.js";
import { SlotRunTime } from "./slotRunTime.js";

/** Part of the objective after which a refusal would cost a caller more than a late response. */
const maxRefusalPartOfObjective = 1 / 8;
/** Requests that are passed over in one dispatch because they may not be sent to the endpoints with room. */
const maxPassedOver = 64;
/**
 * A request counts as able to meet its objective while this multiple of the mean run time is left. Run times vary, so with
 * the mean itself, capacity would be spent at overload on requests that are then late.
 */
const runTimeReserve = 2;
/** Age in milliseconds after which estimates over all endpoints are computed again; paces change every 100 to 400 ms. */
const estimateMaxAgeMs = 5;

/** What a scheduler needs from its owner. */
export interface SlotSchedulerOptions {
  readonly clock: Clock;
  /** Maximum number of waiting requests. */
  readonly maxWaiting: number;
  /** Returns a random number from 0 to 1; spreads the times at which refused callers return. */
  readonly getRandom: () => number;
}

/** Scheduler of the slots of one service. Times are milliseconds of the clock. */
export class ServiceSlotScheduler implements SlotScheduler {
  private readonly endpoints = SlotEndpoints.create();
  private readonly runTime = SlotRunTime.create();
  private readonly order: SlotOrder;
  private readonly grants: SlotGrants;
  private readonly retryAdvice: RetryAdvice;
  /** Requests that left the queue at their deadline and are to be named by the next dispatch. */
  private expired: string[] = [];
  /** Requests that left the queue because their last endpoint is gone, and that are to be named by the next dispatch. */
  private stranded: string[] = [];
  private estimatedAt = -Infinity;
  /** Requests that all endpoints complete per millisecond. */
  private ratePerMs = 0;

  private constructor(private readonly options: SlotSchedulerOptions) {
    this.order = SlotOrder.create(options.clock);
    this.grants = SlotGrants.create(options.clock);
    this.retryAdvice = RetryAdvice.create(options.clock, options.getRandom);
  }

  static create(options: SlotSchedulerOptions): ServiceSlotScheduler {
    return new ServiceSlotScheduler(options);
  }

  setEndpoints(endpoints: readonly SlotEndpoint[]): void {
    this.grants.removeOf(this.endpoints.set(endpoints, this.getTime()));
    this.estimatedAt = -Infinity;
    this.removeStranded();
  }

  /** A repeated call for a request that waits or has a grant returns the same decision again. */
  request(request: SlotRequest): SlotDecision {
    this.removeExpired();
    this.updateEstimates();
    const known = this.findDecision(request.id);
    if (known) return known;
    const isReturn = this.retryAdvice.tryTakeReturn(request);
    if (request.deadlineAt <= this.getTime()) return this.refuse(request, SlotRefusal.DeadlineUnreachable);
    if (!this.endpoints.hasEligible(request.excluded)) return this.refuse(request, SlotRefusal.NoEndpoint);
    if (!this.endpoints.hasMemoryFor(request.excluded, request.tokens ?? 0))
      return this.refuse(request, SlotRefusal.MemoryExceeded);
    if (this.order.size === 0) {
      const endpoint = this.selectEndpoint(request);
      if (endpoint) return this.grant({ request, isPreferred: false }, endpoint);
    }
    const refusal = this.findRefusal(request, isReturn);
    if (refusal !== undefined) return this.refuse(request, refusal);
    if (!this.tryMakeRoom(request)) return this.refuse(request, SlotRefusal.QueueFull);
    const waitMs = this.estimateWaitMs(request);
    this.order.add(request);
    return { outcome: SlotOutcome.Queued, waitMs };
  }

  cancel(id: string): void {
    if (!this.order.remove(id)) this.grants.remove(id);
  }

  /** The end of an expired or unknown grant is ignored. */
  end(end: SlotEnd): void {
    const grant = this.grants.get(end.id);
    if (!grant) return;
    const time = this.getTime();
    const meanRunMs = this.runTime.getMeanMs();
    if (end.load) this.applyReport(grant, end.load);
    this.grants.remove(end.id);
    if (end.isRejected) return grant.endpoint.recordRejection(time, meanRunMs);
    // The pace changes while a request runs, so it counts with its mean of the start and the end.
    const pace = (grant.pace + grant.endpoint.getPace(time)) / 2;
    this.runTime.record(end.tookMs, pace * grant.waitFactor);
  }

  adopt(slot: AdoptedSlot): void {
    const endpoint = this.endpoints.get(slot.endpoint);
    if (!endpoint || slot.deadlineAt <= this.getTime()) return;
    // Another scheduler has granted what waited here.
    this.order.remove(slot.id);
    this.grants.adopt(slot, endpoint);
  }

  orphan(id: string): void {
    this.grants.orphan(id);
  }

  recordLoad(id: string, load: EndpointLoad): void {
    const grant = this.grants.get(id);
    if (grant) this.applyReport(grant, load);
  }

  describe(id: string): SlotEndpointLoad | undefined {
    return this.grants.get(id)?.endpoint.describe(this.getTime());
  }

  private applyReport({ id, endpoint }: OpenGrant, load: EndpointLoad): void {
    endpoint.applyReport(load, this.getTime(), this.runTime.getMeanMs());
    this.grants.releaseOrphans(endpoint, load, id);
  }

  /** Also names as expired the requests that gave way to others in a full queue. */
  dispatch(): SlotDispatch {
    this.removeExpired();
    const { expired, stranded } = this;
    this.expired = [];
    this.stranded = [];
    const granted: SlotGrant[] = [];
    const passedOver: NextRequest[] = [];
    const reserved = new Set<string>();
    this.updateEstimates();
    while (passedOver.length < maxPassedOver && this.order.size > 0 && this.hasRoom(reserved)) {
      const next = this.order.take();
      if (!next) break;
      const endpoint = this.selectEndpoint(next.request, reserved);
      if (!endpoint) {
        passedOver.push(next);
        this.reserveMemory(next.request, reserved);
        continue;
      }
      this.grant(next, endpoint);
      granted.push({ id: next.request.id, endpoint: endpoint.incarnation });
    }
    for (const next of passedOver) this.order.putBack(next);
    return { granted, expired, stranded };
  }

  /** Also the time at which an endpoint has room again for a waiting request although no grant ends. */
  getNextAt(): number | undefined {
    const times = [this.order.getNextDeadline(), this.grants.getNextExpiry()];
    if (this.order.size > 0) times.push(this.endpoints.getRoomAt(this.getTime(), this.runTime.getMeanMs()));
    const known = times.filter((time) => time !== undefined);
    return known.length > 0 ? Math.min(...known) : undefined;
  }

  getState(): { readonly waiting: number; readonly open: number } {
    return { waiting: this.order.size, open: this.grants.size };
  }

  private findDecision(id: string): SlotDecision | undefined {
    const grant = this.grants.get(id);
    if (grant) return { outcome: SlotOutcome.Granted, endpoint: grant.endpoint.incarnation };
    const waiting = this.order.get(id);
    return waiting && { outcome: SlotOutcome.Queued, waitMs: this.estimateWaitMs(waiting) };
  }

  private findRefusal(request: SlotRequest, isReturn: boolean): SlotRefusal | undefined {
    const time = this.getTime();
    const startAt = time + this.estimateWaitMs(request);
    if (startAt > request.deadlineAt) return SlotRefusal.DeadlineUnreachable;
    const objectiveMs = request.objectiveAt - request.arrivedAt;
    if (isReturn || time - request.arrivedAt > objectiveMs * maxRefusalPartOfObjective) return undefined;
    if (startAt <= this.order.getLatestStart(request)) return undefined;
    const completable = this.ratePerMs * objectiveMs;
    return this.order.inTimeCount > completable ? SlotRefusal.ObjectiveUnreachable : undefined;
  }

  /**
   * A late request would only leave a full queue at its deadline. It gives way to one in time, so that a queue full of
   * late requests does not refuse the urgent ones; the next dispatch names it as expired.
   */
  private tryMakeRoom(request: SlotRequest): boolean {
    if (this.order.size < this.options.maxWaiting) return true;
    const displaced = this.order.takeDisplaced(request);
    if (displaced) this.expired.push(displaced.id);
    return displaced !== undefined;
  }

  private refuse(request: SlotRequest, refusal: SlotRefusal): SlotDecision {
    const ahead = this.order.countAhead(request);
    const retryAfterMs = this.retryAdvice.decideRetryAfterMs(request, ahead, this.ratePerMs);
    return { outcome: SlotOutcome.Refused, refusal, retryAfterMs };
  }

  private grant(next: Omit<NextRequest, "sequence">, endpoint: SlotEndpointState): SlotDecision {
    this.grants.add(next.request, endpoint, this.runTime.getMeanMs());
    this.order.recordGrant(next);
    return { outcome: SlotOutcome.Granted, endpoint: endpoint.incarnation };
  }

  /** Estimates the wait behind the requests ahead and the returns that are booked before the request's turn. */
  private estimateWaitMs(request: SlotRequest): number {
    if (this.ratePerMs <= 0) return Math.max(0, request.deadlineAt - this.getTime());
    const waitMs = (this.order.countAhead(request) + 1) / this.ratePerMs;
    const returns = this.retryAdvice.countReturns(request.rank, this.getTime() + waitMs);
    return Math.min(waitMs + returns / this.ratePerMs, this.order.countMostServed(request) / this.ratePerMs);
  }

  private removeExpired(): void {
    this.grants.removeExpired();
    for (const { id } of this.order.takeExpired()) this.expired.push(id);
  }

  /** An endpoint without free slots keeps its requests waiting; one that is gone does not. */
  private removeStranded(): void {
    for (const { id, excluded } of this.order.getAll()) {
      if (this.endpoints.hasAny(excluded)) continue;
      this.order.remove(id);
      this.stranded.push(id);
    }
  }

  private hasRoom(reserved: ReadonlySet<string>): boolean {
    return this.endpoints.hasRoom(this.getTime(), this.runTime.getMeanMs(), reserved);
  }

  private selectEndpoint(
    request: SlotRequest,
    reserved?: ReadonlySet<string>,
  ): SlotEndpointState | undefined {
    return this.endpoints.selectFor(request, this.getTime(), this.runTime.getMeanMs(), reserved);
  }

  /** Leaves an endpoint to a request that lacks only memory there, or else smaller ones would always take what is freed. */
  private reserveMemory(request: SlotRequest, reserved: Set<string>): void {
    if (request.tokens === undefined) return;
    const endpoint = this.endpoints.selectForMemory(
      request,
      this.getTime(),
      this.runTime.getMeanMs(),
      reserved,
    );
    if (endpoint) reserved.add(endpoint.incarnation);
  }

  private updateEstimates(): void {
    const time = this.getTime();
    if (time - this.estimatedAt < estimateMaxAgeMs) return;
    this.estimatedAt = time;
    const meanRunMs = this.runTime.getMeanMs();
    this.ratePerMs = this.endpoints.getRatePerMs(time, meanRunMs);
    const runMs = this.ratePerMs > 0 ? this.endpoints.countSlots() / this.ratePerMs : meanRunMs;
    this.order.setReserveMs(runMs * runTimeReserve);
  }

  private getTime(): number {
    return this.options.clock.getTime();
  }
}
