/**
 * Shapes of one request's life: what it works with, what it is, and what became of it.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Failure } from "@gladewall/kernel";
import type { AdmittedRequest } from "./admission.js";
import type { GatewayParts } from "./gatewayParts.js";
import type { RequestCharge } from "./quotaCharges.js";
import type { Placement } from "./placement.js";
import type { CallerRequestHead, Service } from "./types.js";

/** Parts of an instance that exchanges work with. */
type UsedParts =
  | "platform"
  | "clock"
  | "logger"
  | "directory"
  | "connections"
  | "placer"
  | "rates"
  | "budget"
  | "charges"
  | "suspects"
  | "demand"
  | "limits"
  | "permits"
  | "metrics"
  | "connectTimeoutMs"
  | "countRun"
  | "announcePlacement"
  | "getTimeOfDay";

/** What exchanges work with. */
export interface ActiveRequestParts extends Pick<GatewayParts, UsedParts> {
  /** Whether answers should close their connections. */
  readonly isLeaving: () => boolean;
}

/** One request. */
export interface ActiveRequestInput {
  readonly admitted: AdmittedRequest;
  readonly service: Service;
  readonly head: CallerRequestHead;
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  /** Monotonic time at which the request arrived. */
  readonly arrivedAt: number;
  /** What it was charged; undefined where it counts towards no limit. */
  readonly charge: RequestCharge | undefined;
}

/** What became of a request, for logs and counts. */
export interface RequestOutcome {
  readonly status: number;
  readonly failure: Failure | undefined;
  /** Where it was sent to last, and by what; undefined where it was sent nowhere. */
  readonly placement: Placement | undefined;
  /** Sendings that reached an endpoint. */
  readonly arrivals: number;
  /** Sendings that may have run; 0: it certainly did not run. */
  readonly runs: number;
  /** Milliseconds from the request's arrival to its first event; undefined where none came. */
  readonly firstEventMs: number | undefined;
}
