/**
 * The operators' side: command line and local fleet.
 * @module
 */
export * from "./local/localFleet.js";
export * from "./local/sampleTable.js";
