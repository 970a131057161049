/**
 * Policy decisions: which requests are admitted, in which order they are served, on which endpoint they are placed, and
 * whether they are retried after a failure.
 * @module
 */
export * from "./types.js";
export * from "./capacityTypes.js";
export * from "./configuration.js";
export * from "./policyTable.js";
export * from "./blocks.js";
export * from "./tokens.js";
export * from "./rowLimiter.js";
export * from "./fairQueue.js";
export * from "./endpointLoadEstimate.js";
export * from "./endpointCapacity.js";
export * from "./prefixes.js";
export * from "./placement.js";
export * from "./prefillRate.js";
export * from "./limitOrder.js";
export * from "./limitShares.js";
export * from "./retry.js";
export * from "./reasons.js";
export * from "./retryAdvice.js";
export { maxGrantMs } from "./slotGrants.js";
export * from "./slotOrder.js";
export * from "./slotScheduler.js";
export { getRefusalRecoveryMs } from "./refusalRecovery.js";
