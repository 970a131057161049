/**
 * Holds requests in order of service until an endpoint has room, then places them. Queues are the entry's: an
 * endpoint gets little more than it can work on at once.
 * @module
 */
import { type Clock, Failure, FailureCode } from "@gladewall/kernel";
import {
  type EndpointLoadEstimate,
  FairQueue,
  type Placement,
  type PlacementOptions,
  type PlacementRequest,
  placeRequest,
  type PrefixIndex,
  type QueueItem,
} from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import type { EntrySettings } from "./entrySettings.js";
import type { Fleet } from "./fleet.js";

/** A placement and how long it took to get. */
export interface Placed {
  readonly placement: Placement;
  /** Milliseconds in the queue. */
  readonly waited: number;
  /** Requests that waited when it came. */
  readonly ahead: number;
}

interface Waiting extends QueueItem {
  readonly request: PlacementRequest;
  readonly since: number;
  readonly ahead: number;
  readonly settle: (result: Result<Placed, Failure>) => void;
}

const noEndpointRetryAfter = 1_000;

/** The queues of all services. */
export class Dispatcher {
  private readonly queues = new Map<string, FairQueue<Waiting>>();

  private constructor(
    private readonly settings: EntrySettings["requests"],
    private readonly clock: Clock,
    private readonly fleet: Fleet,
    private readonly prefixes: PrefixIndex,
    private readonly getOptions: () => PlacementOptions,
  ) {
    fleet.onRoom((service) => this.pump(service));
  }

  static create(
    settings: EntrySettings["requests"],
    clock: Clock,
    fleet: Fleet,
    prefixes: PrefixIndex,
    getOptions: () => PlacementOptions,
  ): Dispatcher {
    return new Dispatcher(settings, clock, fleet, prefixes, getOptions);
  }

  /** Requests that wait for a service. */
  getWaiting(service: string): number {
    return this.queues.get(service)?.size ?? 0;
  }

  /** Requests that wait in all. */
  getTotal(): number {
    let total = 0;
    for (const queue of this.queues.values()) total += queue.size;
    return total;
  }

  /** Expected milliseconds until a new request would give its first token or byte. */
  getExpectedWait(service: string, priority: number, tokens: number): number {
    const loads = this.fleet.getLoads(service).filter((load) => !load.isLeaving);
    if (loads.length === 0) return Infinity;
    const direct = loads.reduce((least, load) => Math.min(least, load.estimateWaitMs(tokens)), Infinity);
    const ahead = this.queues.get(service)?.getWorkAhead(priority) ?? 0;
    const perToken = loads.reduce((sum, load) => sum + load.getWorkRate(), 0);
    return direct + (perToken > 0 ? ahead / perToken : 0);
  }

  /** Tells whether requests wait, or every endpoint of the service is full. */
  hasBacklog(service: string): boolean {
    if (this.getWaiting(service) > 0) return true;
    return !this.fleet.getLoads(service).some((load) => !load.isLeaving && this.hasRoom(load));
  }

  /** Waits for an endpoint. Fails with `QueueFull`, `NoEndpoint`, `DeadlinePassed` or `CallerGone`. */
  place(
    request: PlacementRequest,
    item: QueueItem,
    remaining: number,
    signal: AbortSignal,
  ): Promise<Result<Placed, Failure>> {
    return new Promise((resolve) => {
      const queue = this.getQueue(request.service);
      const timer = this.clock.startTimer(remaining, () => abandon(FailureCode.DeadlinePassed));
      const leave = (): void => abandon(FailureCode.CallerGone);
      const settle = (result: Result<Placed, Failure>): void => {
        timer.cancel();
        signal.removeEventListener("abort", leave);
        resolve(result);
      };
      const waiting: Waiting = { ...item, request, since: this.clock.getTime(), ahead: queue.size, settle };
      function abandon(code: FailureCode): void {
        if (queue.cancel(waiting)) settle(Err(Failure.create(code)));
      }
      signal.addEventListener("abort", leave);
      if (signal.aborted) return settle(Err(Failure.create(FailureCode.CallerGone)));
      if (!queue.tryAdd(waiting)) {
        return settle(
          Err(Failure.create(FailureCode.QueueFull, { service: request.service }, noEndpointRetryAfter)),
        );
      }
      this.pump(request.service);
    });
  }

  /** Places waiting requests while there is room. */
  private pump(service: string): void {
    const queue = this.queues.get(service);
    while (queue && queue.size > 0) {
      const loads = this.fleet.getLoads(service);
      const withRoom = loads.filter((load) => !load.isLeaving && this.hasRoom(load));
      const isAnyLeft = loads.some((load) => !load.isLeaving);
      if (withRoom.length === 0 && isAnyLeft) return;
      const waiting = queue.take();
      if (!waiting) return;
      waiting.settle(this.placeWaiting(waiting, withRoom, loads));
    }
  }

  private placeWaiting(
    waiting: Waiting,
    withRoom: readonly EndpointLoadEstimate[],
    loads: readonly EndpointLoadEstimate[],
  ): Result<Placed, Failure> {
    const hasOthers = withRoom.some((load) => !waiting.request.excluded.has(load.record.id));
    const candidates = hasOthers ? withRoom : loads;
    const placement = placeRequest(waiting.request, candidates, this.prefixes, this.getOptions());
    if (placement.isErr()) return Err(placement.error.withRetryAfter(noEndpointRetryAfter));
    const { endpoint, cachedTokens } = placement.value;
    endpoint.recordDispatch(Math.max(0, waiting.request.tokens - cachedTokens));
    return Ok({
      placement: placement.value,
      waited: this.clock.getTime() - waiting.since,
      ahead: waiting.ahead,
    });
  }

  private hasRoom(load: EndpointLoadEstimate): boolean {
    return load.getActiveCount() < load.getWidth() * (1 + this.settings.engine_slack);
  }

  private getQueue(service: string): FairQueue<Waiting> {
    let queue = this.queues.get(service);
    if (!queue) {
      const { queue: capacity, starvation_bound: starvationBound } = this.settings;
      this.queues.set(
        service,
        (queue = FairQueue.create(this.clock, { capacity, starvationLimitMs: starvationBound })),
      );
    }
    return queue;
  }
}
