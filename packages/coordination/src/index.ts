/**
 * Coordination parts over a key-value service with compare-and-swap, for gladewall and for others to embed.
 * @module
 */
export * from "./types.js";
export * from "./liveView.js";
export * from "./versionedDocument.js";
