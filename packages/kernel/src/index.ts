/**
 * Common base of all packages: clock, failures, settings, logs, metrics, plug-in registry and network helpers.
 * @module
 */
export * from "./types.js";
export * from "./failures.js";
export * from "./clientConnections.js";
export * from "./clock.js";
export * from "./finalStatus.js";
export * from "./hopByHopHeaders.js";
export * from "./daemonLogs.js";
export * from "./daemonSettings.js";
export * from "./exitCodes.js";
export * from "./hashing.js";
export * from "./lineWriter.js";
export * from "./listen.js";
export * from "./logRateLimiter.js";
export * from "./logs.js";
export * from "./metrics.js";
export * from "./registry.js";
export * from "./idleSockets.js";
export * from "./tokenBucket.js";
export * from "./unsentResponses.js";
export * from "./settings.js";
export * from "./settingsSchema.js";
