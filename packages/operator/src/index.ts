/**
 * Local fleet, sample configuration and the soak test's caller and checker. The command line is in `main.ts`.
 * @module
 */
export * from "./local/localFleet.js";
export * from "./local/sampleTable.js";
export * from "./soak/types.js";
export * from "./soak/caller.js";
export * from "./soak/checker.js";
