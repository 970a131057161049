/**
 * Coordination parts over a key-value service with compare-and-swap, for gladewall and for others to embed.
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
