/**
 * The gateway: serves requests that live and die with their connection, on a platform given by a plug-in.
 * @module
 */
export * from "./types.js";
export * from "./gatewaySettings.js";
export { Gateway } from "./gateway.js";
export { runGatewayDaemon } from "./daemon.js";
export { Admission } from "./admission.js";
export { MemberRecords } from "./memberRecords.js";
export { isWholeAnswer, readWholeBody } from "./answerBody.js";
export { Arbiters } from "./arbiters.js";
export { AskedReader } from "./askedReader.js";
export { Attempt, AttemptEnd } from "./attempt.js";
export { Endpoint, EndpointState } from "./endpoint.js";
export { EndpointConnections } from "./endpointConnections.js";
export { EndpointLimit, LimitChange } from "./endpointLimit.js";
export { EndpointLimits } from "./endpointLimits.js";
export { EndpointWords, WordMemory, WordSource } from "./endpointWords.js";
export { EndpointDirectory } from "./endpointDirectory.js";
export { CapacityOrders } from "./capacityOrders.js";
export { planCapacity, type CapacityInput, type HallCount } from "./capacityPlan.js";
export { CountHandover } from "./countHandover.js";
export { Collectors } from "./collectors.js";
export { ConfigurationFollower, StoreRole } from "./configurationFollower.js";
export {
  type Acquittal,
  CrashRecords,
  type CrashReport,
  type CrashSubject,
  type CrashWords,
  Verdict,
} from "./crashRecords.js";
export { CrashStore } from "./crashStore.js";
export { CrashWatch } from "./crashWatch.js";
export { Demand } from "./demand.js";
export { Duties } from "./duties.js";
export { DutyLeases } from "./dutyLeases.js";
export { EraSettling } from "./eraSettling.js";
export { probeEndpoint, ProbeWord } from "./endpointProbe.js";
export { EventSplitter } from "./eventSplitter.js";
export { createFeedTimes } from "./feedTimes.js";
export { FleetFeed } from "./fleetFeed.js";
export { FleetWork } from "./fleetWork.js";
export { FencedOrders } from "./fencedOrders.js";
export { FixedWindows } from "./fixedWindows.js";
export { GatewayMetrics } from "./gatewayMetrics.js";
export { formatLeaseHandle, parseLeaseHandle } from "./leaseHandle.js";
export { LimitIssuer } from "./limitIssuer.js";
export { LimitLinks } from "./limitLinks.js";
export { LimitMessageKind, type PermitAnswer, type PermitAsk, PermitWord } from "./limitMessages.js";
export { LimitPermits, type PermitRequest } from "./limitPermits.js";
export { LeakyBucket } from "./leakyBucket.js";
export {
  createQuotaQuestion,
  MemberMessageKind,
  type QuotaAnswer,
  type QuotaAsk,
  QuotaUse,
  QuotaWord,
  type RelayedMessage,
} from "./memberMessages.js";
export { PeerTimes } from "./peerTimes.js";
export { PlacementRelay } from "./placementRelay.js";
export { Placer } from "./placement.js";
export { PrefixFollower, RemovalCause } from "./prefixFollower.js";
export { ReadingRates, type RateReport } from "./readingRates.js";
export { PrefixMemory, type ReadReport } from "./prefixMemory.js";
export { getAllowances, restartsPerWindow } from "./quotaAllowances.js";
export { QuotaCharges } from "./quotaCharges.js";
export { RecentPlacements } from "./recentPlacements.js";
export { createFingerprint } from "./requestFingerprint.js";
export { OwnItems } from "./ownItems.js";
export { parseNamedLimit } from "./namedLimit.js";
export { longestRetryAfterMs, parseRetryAfter } from "./retryAfter.js";
export { RetryBudget } from "./retryBudget.js";
export { type RetryAnswer, type RetryAsk, RetryLinks } from "./retryLinks.js";
export type { WordFleet } from "./fleetWords.js";
export { drawTarget, RouteTable } from "./routeTable.js";
export { CounterKind, type CounterTotals, SharedCounters } from "./sharedCounters.js";
export { SilentPeers } from "./silentPeers.js";
export { SlidingWindow } from "./slidingWindow.js";
export {
  type CallStart,
  type EraRise,
  EraSource,
  type EraWord,
  hasCrossed,
  isReturn,
  PassedOver,
  StoreEras,
  type StorePosition,
  untoldEra,
} from "./storeEras.js";
export { StoreFeed } from "./storeFeed.js";
export { Suspects } from "./suspects.js";
export { TrialGrants, TrialWord } from "./trialGrants.js";
export { TrueTime } from "./trueTime.js";
export { UsageCounts } from "./usageCounts.js";
export { UsageReporter } from "./usageReporter.js";
