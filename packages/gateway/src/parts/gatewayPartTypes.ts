/**
 * The shape of all parts of an instance.
 * @module
 */
import type { Admission } from "../limits/admission.js";
import { HeldBytes } from "../bodies/heldBytes.js";
import { LinkPace } from "../bodies/linkPace.js";
import type { EndpointConnections } from "../endpoints/endpointConnections.js";
import { EndpointDirectory } from "../endpoints/endpointDirectory.js";
import type { BrittleServices } from "../brittle/brittleServices.js";
import { CrashProtection } from "../crashes/crashProtection.js";
import { ConfigurationFollower } from "../configuration/configurationFollower.js";
import { DemandEstimator } from "../capacity/demandEstimator.js";
import { LeaderTasks } from "../leadership/leaderTasks.js";
import type { EraSettling } from "../store/eraSettling.js";
import type { EndpointLimits } from "../limits/endpointLimits.js";
import type { ForwardingPeers } from "../forwarding/forwardingPeers.js";
import type { ForwardingServer } from "../forwarding/forwardingServer.js";
import type { ServicePaths } from "../forwarding/servicePaths.js";
import { GatewayMetrics } from "../gatewayMetrics.js";
import { OverloadSwitch } from "../overloadSwitch.js";
import type { PermitClient } from "../limits/permitClient.js";
import { Members } from "../fleet/members.js";
import { Placer } from "../placement/placer.js";
import { PrefillRates } from "../prefillRates.js";
import type { SuspectGate } from "../crashes/suspectGate.js";
import type { QuotaCharges } from "../limits/quotaCharges.js";
import type { AcceptanceRates } from "../limits/retries/acceptanceRates.js";
import type { RetryBudget } from "../limits/retries/retryBudget.js";
import { SharedCounters } from "../counters/sharedCounters.js";
import type { SlotArbiter } from "../slots/slotArbiter.js";
import type { SlotClient } from "../slots/slotClient.js";
import type { SlotContention } from "../slots/slotContention.js";
import type { EndChecker } from "../responses/endChecker.js";
import type { StandstillWatch } from "../responses/standstillWatch.js";
import { type OriginParts } from "../origins/originParts.js";
import type { GatewayBase } from "./gatewayState.js";

/** All parts of an instance. */
export interface GatewayParts extends GatewayBase, Pick<OriginParts, "origins" | "takeUps"> {
  readonly follower: ConfigurationFollower;
  readonly directory: EndpointDirectory;
  readonly connections: EndpointConnections;
  /** Whether this instance reaches the endpoints itself. */
  readonly paths: ServicePaths;
  /** Peers through which attempts are passed on. */
  readonly forwarding: ForwardingPeers;
  /** Passes attempts of peers on. */
  readonly forwardingServer: ForwardingServer;
  /** Looks for evidence on the ends of responses. */
  readonly endChecker: EndChecker;
  readonly standstill: StandstillWatch;
  readonly members: Members;
  /** Detects endpoints that crashed and keeps the requests that they had. */
  readonly crashProtection: CrashProtection;
  /** Decides whether such requests may run. */
  readonly suspects: SuspectGate;
  /** The limits that endpoints advertise for all instances together. */
  readonly limits: EndpointLimits;
  /** Requests permits to send to endpoints with an advertised limit. */
  readonly permits: PermitClient;
  /** Mode of the decisions on short capacity. */
  readonly overload: OverloadSwitch;
  /** Services whose endpoints crash if they refuse too much. */
  readonly brittle: BrittleServices;
  /** Which services are contended. */
  readonly contention: SlotContention;
  /** Decides on slots for this instance and its peers. */
  readonly slotArbiter: SlotArbiter;
  /** Requests slots of contended services. */
  readonly slots: SlotClient;
  readonly admission: Admission;
  readonly charges: QuotaCharges;
  readonly placer: Placer;
  readonly rates: PrefillRates;
  readonly budget: RetryBudget;
  /** How often endpoints accept requests now. */
  readonly acceptance: AcceptanceRates;
  readonly demand: DemandEstimator;
  readonly counters: SharedCounters;
  readonly metrics: GatewayMetrics;
  /** The bytes of endpoints' responses that are held. */
  readonly heldResponses: HeldBytes;
  /** The bytes of callers' requests that are held. */
  readonly heldRequests: HeldBytes;
  /** The rate at which long bodies are read. */
  readonly linkPace: LinkPace;
  readonly leaderTasks: LeaderTasks;
  /** Determines whether reads of the store show everything that was acknowledged. */
  readonly settling: EraSettling;
  readonly connectTimeoutMs: number;
  /** Sends the other instances immediately that prompt tokens were sent to an endpoint. */
  readonly announcePlacement: (endpoint: string, tokens: number) => void;
  /** Called once a request has begun to run, with the time of day at which it did. */
  readonly countRun: (workspace: string, at: number) => void;
  /** Returns the time of day. */
  readonly getTimeOfDay: () => number;
}
