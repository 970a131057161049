/**
 * Small stand-ins of the systems outside; each can fail as the users' brief says.
 * @module
 */
export * from "./memoryStore.js";
export * from "./keyValueStandin.js";
export * from "./platformStandin.js";
export * from "./weightStoreStandin.js";
export * from "./textModel.js";
export * from "./engineRecord.js";
export * from "./engineStandin.js";
export * from "./webStandin.js";
export * from "./memoryKeyValue.js";
export * from "./metadataStoreStandin.js";
export * from "./gatewayPlatform.js";
export * from "./scriptedEndpoint.js";
export * from "./gatewayBench.js";
export * from "./runWindows.js";
export * from "./draws.js";
export * from "./freePorts.js";
export { readText } from "./httpStandin.js";
export * from "./endpointNeeds.js";
