/**
 * Queues requests in fair order until an endpoint has capacity, then places them. Requests wait in the entry and not at
 * the endpoints: an endpoint receives only slightly more requests than it can process at once.
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

/** A placement and how long the request waited for it. */
export interface QueuedPlacement {
  readonly placement: Placement;
  /** Time in the queue. */
  readonly waitMs: number;
  /** Requests that were in the queue when this one was added. */
  readonly ahead: number;
}

interface QueuedRequest extends QueueItem {
  readonly request: PlacementRequest;
  readonly queuedAt: number;
  readonly ahead: number;
  readonly settle: (result: Result<QueuedPlacement, Failure>) => void;
}

const noEndpointRetryAfterMs = 1_000;

/** Queues requests by service and places them on endpoints. */
export class Dispatcher {
  private readonly queues = new Map<string, FairQueue<QueuedRequest>>();

  private constructor(
    private readonly settings: EntrySettings["requests"],
    private readonly clock: Clock,
    private readonly fleet: Fleet,
    private readonly prefixes: PrefixIndex,
    private readonly getOptions: () => PlacementOptions,
  ) {
    fleet.onCapacity((service) => this.placeQueued(service));
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

  /** Returns the number of queued requests of a service. */
  getQueuedCount(service: string): number {
    return this.queues.get(service)?.size ?? 0;
  }

  /** Returns the number of queued requests of all services. */
  getTotalQueuedCount(): number {
    let total = 0;
    for (const queue of this.queues.values()) total += queue.size;
    return total;
  }

  /**
   * Returns the expected time until the first token or byte of a new request, in milliseconds; `Infinity` if the
   * service has no usable endpoint.
   */
  getExpectedWaitMs(service: string, priority: number, tokens: number): number {
    const loads = this.fleet.getLoads(service).filter((load) => !load.isLeaving);
    if (loads.length === 0) return Infinity;
    const shortestWaitMs = loads.reduce(
      (least, load) => Math.min(least, load.estimateWaitMs(tokens)),
      Infinity,
    );
    const workAhead = this.queues.get(service)?.getWorkAhead(priority) ?? 0;
    const tokensPerMs = loads.reduce((sum, load) => sum + load.getWorkRate(), 0);
    return shortestWaitMs + (tokensPerMs > 0 ? workAhead / tokensPerMs : 0);
  }

  /** Returns whether requests of the service are queued or all its endpoints are full. */
  hasBacklog(service: string): boolean {
    if (this.getQueuedCount(service) > 0) return true;
    return !this.fleet.getLoads(service).some((load) => !load.isLeaving && this.hasCapacity(load));
  }

  /**
   * Waits until the request can be placed on an endpoint; `remaining` is the time to its deadline in milliseconds.
   * Fails with `QueueFull`, `NoEndpoint`, `DeadlinePassed` or `CallerGone`.
   */
  place(
    request: PlacementRequest,
    item: QueueItem,
    remaining: number,
    signal: AbortSignal,
  ): Promise<Result<QueuedPlacement, Failure>> {
    return new Promise((resolve) => {
      const queue = this.getQueue(request.service);
      const timer = this.clock.startTimer(remaining, () => failQueued(FailureCode.DeadlinePassed));
      const handleAbort = (): void => failQueued(FailureCode.CallerGone);
      const settle = (result: Result<QueuedPlacement, Failure>): void => {
        timer.cancel();
        signal.removeEventListener("abort", handleAbort);
        resolve(result);
      };
      const queued: QueuedRequest = {
        ...item,
        request,
        queuedAt: this.clock.getTime(),
        ahead: queue.size,
        settle,
      };
      function failQueued(code: FailureCode): void {
        if (queue.cancel(queued)) settle(Err(Failure.create(code)));
      }
      signal.addEventListener("abort", handleAbort);
      if (signal.aborted) return settle(Err(Failure.create(FailureCode.CallerGone)));
      if (!queue.tryAdd(queued)) {
        return settle(
          Err(Failure.create(FailureCode.QueueFull, { service: request.service }, noEndpointRetryAfterMs)),
        );
      }
      this.placeQueued(request.service);
    });
  }

  /** Places queued requests while an endpoint has capacity. */
  private placeQueued(service: string): void {
    const queue = this.queues.get(service);
    while (queue && queue.size > 0) {
      const loads = this.fleet.getLoads(service);
      const withCapacity = loads.filter((load) => !load.isLeaving && this.hasCapacity(load));
      const hasUsableEndpoint = loads.some((load) => !load.isLeaving);
      if (withCapacity.length === 0 && hasUsableEndpoint) return;
      const queued = queue.take();
      if (!queued) return;
      queued.settle(this.placeOne(queued, withCapacity, loads));
    }
  }

  private placeOne(
    queued: QueuedRequest,
    withCapacity: readonly EndpointLoadEstimate[],
    loads: readonly EndpointLoadEstimate[],
  ): Result<QueuedPlacement, Failure> {
    const hasUntried = withCapacity.some((load) => !queued.request.excluded.has(load.record.id));
    const candidates = hasUntried ? withCapacity : loads;
    const placement = placeRequest(queued.request, candidates, this.prefixes, this.getOptions());
    if (placement.isErr()) return Err(placement.error.withRetryAfter(noEndpointRetryAfterMs));
    const { endpoint, cachedTokens } = placement.value;
    endpoint.recordDispatch(Math.max(0, queued.request.tokens - cachedTokens));
    return Ok({
      placement: placement.value,
      waitMs: this.clock.getTime() - queued.queuedAt,
      ahead: queued.ahead,
    });
  }

  private hasCapacity(load: EndpointLoadEstimate): boolean {
    return load.getActiveCount() < load.getWidth() * (1 + this.settings.engine_slack);
  }

  private getQueue(service: string): FairQueue<QueuedRequest> {
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
