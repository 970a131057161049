/**
 * Shapes of one request's life: what it works with, what it is, and what became of it.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Failure, Logger } from "@gladewall/kernel";
import type { Admitted } from "./admission.js";
import type { Demand } from "./demand.js";
import type { EndpointConnections } from "./endpointConnections.js";
import type { EndpointDirectory } from "./endpointDirectory.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { Placement, Placer } from "./placement.js";
import type { ReadingRates } from "./readingRates.js";
import type { RetryBudget } from "./retryBudget.js";
import type { CallerHead, PlatformAdapter, Service } from "./types.js";

/** What exchanges work with. */
export interface ExchangeParts {
  readonly platform: PlatformAdapter;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: EndpointDirectory;
  readonly connections: EndpointConnections;
  readonly placer: Placer;
  readonly rates: ReadingRates;
  readonly budget: RetryBudget;
  readonly demand: Demand;
  readonly metrics: GatewayMetrics;
  readonly connectTimeoutMs: number;
  /** Called once a request has begun to run, with the time of day at which it did. */
  readonly countRun: (workspace: string, at: number) => void;
  /** Tells the other instances at once of prompt tokens that were sent to an endpoint. */
  readonly tellPlaced: (endpoint: string, tokens: number) => void;
  /** Returns the time of day. */
  readonly getTimeOfDay: () => number;
  /** Whether answers should close their connections. */
  readonly isLeaving: () => boolean;
}

/** One request. */
export interface ExchangeRequest {
  readonly admitted: Admitted;
  readonly service: Service;
  readonly head: CallerHead;
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  /** Monotonic time at which the request arrived. */
  readonly arrivedAt: number;
}

/** What became of a request, for logs and counts. */
export interface ExchangeEnd {
  readonly status: number;
  /** Whether it may have run. */
  readonly mayHaveRun: boolean;
  readonly failure: Failure | undefined;
  /** Where it was sent to last, and by what; undefined where it was sent nowhere. */
  readonly placement: Placement | undefined;
  /** Sendings that reached an endpoint. */
  readonly arrivals: number;
  /** Milliseconds from the request's arrival to its first event; undefined where none came. */
  readonly firstEventMs: number | undefined;
}
