/**
 * The kernel: what every other package stands on.
 * @module
 */
export * from "./types.js";
export * from "./failures.js";
export * from "./clock.js";
export * from "./connectionHeaders.js";
export * from "./daemonLogs.js";
export * from "./daemonSettings.js";
export * from "./hashing.js";
export * from "./lineWriter.js";
export * from "./listen.js";
export * from "./logGate.js";
export * from "./logs.js";
export * from "./metrics.js";
export * from "./registry.js";
export * from "./restingSockets.js";
export * from "./tokenBucket.js";
export * from "./settings.js";
export * from "./settingsSchema.js";
