/**
 * Coordination of instances over a key-value service with compare-and-swap and over links between peers:
 * leases, claims, shared limits, a versioned document and the membership view. Can be embedded in other
 * programs.
 * @module
 */
export * from "./types.js";
export * from "./membershipView.js";
export * from "./versionedDocument.js";
export * from "./frames.js";
export * from "./peerMessages.js";
export { type ConnectionTraffic, getIncarnationKey, type PeerIdentity } from "./peerConnection.js";
export * from "./peerLinks.js";
export * from "./serviceBudget.js";
export * from "./leaseHolder.js";
export * from "./claimStore.js";
export * from "./sharedLimits.js";
