/**
 * The decisions: who is admitted, in which order, on which endpoint, and what happens after a failure.
 * @module
 */
export * from "./types.js";
export * from "./configuration.js";
export * from "./table.js";
export * from "./blocks.js";
export * from "./tokens.js";
export * from "./gates.js";
export * from "./order.js";
export * from "./load.js";
export * from "./prefixes.js";
export * from "./placement.js";
export * from "./readingRate.js";
export * from "./retry.js";
export * from "./reasons.js";
