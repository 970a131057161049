/**
 * The gateway: serves requests that end with their caller's connection, on a platform that a plug-in provides.
 * @module
 */
export * from "./types.js";
export * from "./gatewaySettings.js";
export { Gateway } from "./gateway.js";
export { OriginArchive } from "./origins/originArchive.js";
export { type OriginAnswer, OriginGossip } from "./origins/originGossip.js";
export { OriginTable } from "./origins/originTable.js";
export { OriginKeeper } from "./origins/originKeeper.js";
export { OriginRecorder } from "./origins/originRecorder.js";
export { type RecordedRoutes, ResumableRoutes } from "./origins/resumableRoutes.js";
export { StreamRetention } from "./origins/streamRetention.js";
export { TakeUps } from "./origins/takeUps.js";
export { VersionHistory } from "./origins/versionHistory.js";
export { VersionItems } from "./origins/versionItems.js";
export { VersionRecorder } from "./origins/versionRecorder.js";
export { VersionRecords } from "./origins/versionRecords.js";
export {
  createStreamKey,
  encodeOrigin,
  isBegun,
  mayServe,
  type RequiredOrigin,
  type StreamOrigin,
} from "./origins/streamOrigin.js";
export { runGatewayDaemon } from "./daemon.js";
export { Admission } from "./limits/admission.js";
export { MemberRecords } from "./fleet/memberRecords.js";
export { findHeadFault, HeadFault } from "./responses/responseHead.js";
export { BodyReader } from "./bodies/bodyReader.js";
export { LinkPace } from "./bodies/linkPace.js";
export { EventHold } from "./responses/eventHold.js";
export { LeavingSchedule } from "./intake/leavingSchedule.js";
export { OpenComment } from "./responses/openComment.js";
export { ReadGate } from "./bodies/readGate.js";
export { readRequestBody } from "./bodies/requestBody.js";
export { HeldBytes } from "./bodies/heldBytes.js";
export { EndChecker, type EndCheckerOptions } from "./responses/endChecker.js";
export { StandstillWatch } from "./responses/standstillWatch.js";
export {
  BodyFraming,
  ConnectionEnd,
  EndEvidence,
  getBodyFraming,
  ResponseEnd,
} from "./responses/responseEnd.js";
export { type ArbiterCall, Arbiters } from "./limits/arbiters.js";
export { BrittleItems } from "./brittle/brittleItems.js";
export { BrittleServices } from "./brittle/brittleServices.js";
export { ReaderSelection } from "./fleet/readerSelection.js";
export { Attempt, AttemptOutcome } from "./requests/attempt.js";
export { ServicePaths } from "./forwarding/servicePaths.js";
export { ForwardingPeers } from "./forwarding/forwardingPeers.js";
export { createForwardHeaders, ForwardResult } from "./forwarding/forwardingProtocol.js";
export { Endpoint, EndpointState } from "./endpoints/endpoint.js";
export { EndpointConnections } from "./endpoints/endpointConnections.js";
export { EndpointLimit, LimitChange } from "./limits/endpointLimit.js";
export { EndpointLimits } from "./limits/endpointLimits.js";
export { EndpointAvailability, AvailabilityCache, LeavingSource } from "./endpoints/endpointAvailability.js";
export { EndpointDirectory } from "./endpoints/endpointDirectory.js";
export { CapacityOrders } from "./capacity/capacityOrders.js";
export { planCapacity, type CapacityInput, type HallCount } from "./capacity/capacityPlan.js";
export { CountHandover } from "./counters/countHandover.js";
export { FleetRoles } from "./fleet/fleetRoles.js";
export { ConfigurationFollower, StoreRole } from "./configuration/configurationFollower.js";
export { CrashRecords } from "./crashes/crashRecords.js";
export type { Clearance, CrashReport, CrashSubject, CrashUpdate } from "./crashes/crashUpdates.js";
export { QuarantineState } from "./crashes/quarantineState.js";
export { PartRecords, type PartJudgment, verdictDelayMs } from "./crashes/parts/partRecords.js";
export * from "./crashes/parts/partUpdates.js";
export { ConnectionIntake } from "./intake/connectionIntake.js";
export * from "./crashes/verdicts.js";
export { runVerdictCommand } from "./verdictCommand.js";
export { CrashProtection, type CrashMembers } from "./crashes/crashProtection.js";
export { createCrashItems, crashPrefix } from "./crashes/crashStore.js";
export { createPartId, createPartItems, partPrefix, partSchema } from "./crashes/parts/partStore.js";
export { QuarantineItems } from "./crashes/quarantineItems.js";
export { CrashDetector } from "./crashes/crashDetector.js";
export type { InFlightRequest } from "./crashes/inFlightRequest.js";
export { DemandEstimator } from "./capacity/demandEstimator.js";
export { LeavingGossip } from "./endpoints/leavingGossip.js";
export { LeaderTasks } from "./leadership/leaderTasks.js";
export { FencedLeases } from "./leadership/fencedLeases.js";
export { EraSettling } from "./store/eraSettling.js";
export { probeEndpoint, probeRunning, ProbeResult } from "./crashes/endpointProbe.js";
export { EventSplitter } from "./responses/eventSplitter.js";
export { createFeedTimings } from "./store/feedTimings.js";
export { FeedReplication } from "./store/feedReplication.js";
export { FleetWork } from "./fleet/fleetWork.js";
export { FencedOrders } from "./leadership/fencedOrders.js";
export { CommittedWindows } from "./store/committedWindows.js";
export { GatewayMetrics } from "./gatewayMetrics.js";
export { formatLeaseHandle, parseLeaseHandle } from "./store/leaseHandle.js";
export { PermitIssuer } from "./limits/permitIssuer.js";
export { LimitItem, limitsKey } from "./limits/limitItem.js";
export { LimitGossip } from "./limits/limitGossip.js";
export { LargestRequests } from "./largestRequests.js";
export { LimitOrders } from "./limits/limitOrders.js";
export {
  LimitMessageKind,
  type PermitReply,
  type PermitCall,
  PermitDecision,
} from "./limits/limitMessages.js";
export { PermitClient, type PermitRequest } from "./limits/permitClient.js";
export { LeakyBucket } from "./limits/leakyBucket.js";
export {
  createQuotaCall,
  MemberMessageKind,
  type QuotaReply,
  type QuotaCall,
  QuotaUse,
  type PlacementRelayMessage,
} from "./fleet/memberMessages.js";
export { GrantDecision } from "./limits/grantDecision.js";
export { PeerClocks } from "./fleet/peerClocks.js";
export { PlacementRelay } from "./placement/placementRelay.js";
export { Placer } from "./placement/placer.js";
export { PrefixFollower, RemovalCause } from "./store/prefixFollower.js";
export { PrefillRates, type RateReport } from "./prefillRates.js";
export { PrefixIndex, type PrefixReport } from "./placement/prefixIndex.js";
export { getAllowances, restartsPerWindow } from "./limits/quotaAllowances.js";
export { QuotaCharges } from "./limits/quotaCharges.js";
export { RecentPlacements } from "./placement/recentPlacements.js";
export { createFingerprint } from "./crashes/requestFingerprint.js";
export { GatewayItems } from "./store/gatewayItems.js";
export { parseAdvertisedLimit } from "./limits/advertisedLimit.js";
export { maxRetryAfterMs, parseRetryAfter } from "./retryAfter.js";
export { AcceptanceRates } from "./limits/retries/acceptanceRates.js";
export { RetryCause } from "./limits/retries/creditPool.js";
export { FleetSizePeak } from "./limits/retries/fleetSizePeak.js";
export { RetryBudget, type RetryBudgetOptions, RetryDecision } from "./limits/retries/retryBudget.js";
export { CreditPool } from "./limits/retries/creditPool.js";
export { RetryCredits } from "./limits/retries/retryCredits.js";
export {
  createRetryCall,
  type RetryReply,
  type RetryCallArguments,
  RetryLinks,
  type RetryLinksOptions,
  RetryMessageKind,
} from "./limits/retries/retryLinks.js";
export { type PeerUptime, PeerUptimes } from "./fleet/peerUptimes.js";
export type { FleetTopology } from "./fleet/fleetBroadcast.js";
export { pickWeightedTarget, RouteTable } from "./configuration/routeTable.js";
export { SharedCounters } from "./counters/sharedCounters.js";
export { CounterKind, type CounterTotals } from "./limits/counterTypes.js";
export { FleetShare } from "./fleet/fleetShare.js";
export { FleetSizeItem } from "./fleet/fleetSizeItem.js";
export { SilentPeers } from "./fleet/silentPeers.js";
export { PlacementStage } from "./placement/placementStage.js";
export { QueueStage } from "./requests/queueStage.js";
export { AttemptHistory } from "./requests/attemptHistory.js";
export { NextStep, type RequestContext } from "./requests/requestContext.js";
export { OpenSlots } from "./slots/openSlots.js";
export { RecentArbiters } from "./slots/recentArbiters.js";
export { SlotArbiter, type SlotArbiterOptions } from "./slots/slotArbiter.js";
export { claimSlots, SlotClaims } from "./slots/slotClaims.js";
export { SlotClient } from "./slots/slotClient.js";
export { SlotContention } from "./slots/slotContention.js";
export { SlotResult, type SlotAnswer, type SlotRequestInput } from "./slots/slotAcquisition.js";
export { createCancellation, getSlotSubject, SlotTransport } from "./slots/slotTransport.js";
export type { SlotSchedulerFactory } from "./limits/limitParts.js";
export { OverloadMode, OverloadSwitch } from "./overloadSwitch.js";
export {
  isSlotCall,
  isSlotEnd,
  isSlotReply,
  isSlotWait,
  type SlotCall,
  SlotMessageKind,
  type SlotReply,
  SlotReplyKind,
} from "./slots/slotMessages.js";
export { SlidingWindow } from "./counters/slidingWindow.js";
export {
  type CallStart,
  type EraChange,
  EraSource,
  type ReportedEra,
  isAnsweredAfterRestore,
  isRestore,
  DiscardCause,
  StoreEras,
  type StorePosition,
  initialEra,
} from "./store/storeEras.js";
export { StoreFeed } from "./store/storeFeed.js";
export { SuspectGate, type Trial } from "./crashes/suspectGate.js";
export { TrialScheduler, TrialDecision } from "./crashes/trialScheduler.js";
export { DisciplinedClock } from "./disciplinedClock.js";
export { UsageCounts } from "./usage/usageCounts.js";
export { UsageReporter } from "./usage/usageReporter.js";
