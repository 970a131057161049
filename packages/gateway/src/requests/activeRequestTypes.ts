/**
 * Types of an active request: the components it uses, its input, and its outcome.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Failure } from "@gladewall/kernel";
import type { LeavingSchedule } from "../intake/leavingSchedule.js";
import type { AdmittedRequest } from "../limits/admission.js";
import type { GatewayParts } from "../parts/gatewayPartTypes.js";
import type { RequestCharge } from "../limits/quotaCharges.js";
import type { RequiredOrigin } from "../origins/streamOrigin.js";
import type { Placement } from "../placement/placer.js";
import type { EndedResponse } from "../responses/responseEnd.js";
import type { CallerRequestHead, Service } from "../types.js";

/** Names of the instance's components that an active request uses. */
type UsedParts =
  | "platform"
  | "clock"
  | "logger"
  | "directory"
  | "connections"
  | "paths"
  | "forwarding"
  | "endChecker"
  | "origins"
  | "settings"
  | "placer"
  | "rates"
  | "budget"
  | "acceptance"
  | "charges"
  | "suspects"
  | "demand"
  | "limits"
  | "permits"
  | "slots"
  | "contention"
  | "brittle"
  | "members"
  | "metrics"
  | "connectTimeoutMs"
  | "countRun"
  | "failures"
  | "heldResponses"
  | "linkPace"
  | "announcePlacement"
  | "getTimeOfDay";

/** Components that an active request uses. */
export interface ActiveRequestParts extends Pick<GatewayParts, UsedParts> {
  /** Whether the instance leaves, so that responses close their connections, and whether a request that has not run could outlast it. */
  readonly leaving: Pick<LeavingSchedule, "hasBegun" | "mayBeOutlastedBy">;
}

/** An admitted request with the streams to read it from and to respond to. */
export interface ActiveRequestInput {
  readonly admitted: AdmittedRequest;
  readonly service: Service;
  readonly head: CallerRequestHead;
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  /** Where the stream began that the request goes on with; undefined if any endpoint of the service may serve it. */
  readonly origin: RequiredOrigin | undefined;
  /** Monotonic time at which the request arrived. */
  readonly arrivedAt: number;
  /** Units charged to the workspace's limit; undefined if the request counts towards no limit. */
  readonly charge: RequestCharge | undefined;
}

/** How a request ended, for logs and metrics. */
export interface RequestOutcome {
  readonly status: number;
  readonly failure: Failure | undefined;
  /** The last placement, with its reason; undefined if the request was sent nowhere. */
  readonly placement: Placement | undefined;
  /** Attempts that reached an endpoint. */
  readonly arrivals: number;
  /** Attempts that may have run; 0 means that the request certainly did not run. */
  readonly runs: number;
  /** Milliseconds from the request's arrival to its first event; undefined if none was received. */
  readonly firstEventMs: number | undefined;
  /** How the last response ended that was received; undefined if there was none. */
  readonly ended: EndedResponse | undefined;
}
