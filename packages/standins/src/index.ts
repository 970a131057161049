/**
 * Small stand-ins of the systems outside; each can fail as the users' brief says.
 * @module
 */
export * from "./memoryStore.js";
export * from "./fakeKeyValueServer.js";
export * from "./fakeCloudServices.js";
export * from "./fakeWeightStore.js";
export * from "./deterministicText.js";
export * from "./engineRecord.js";
export * from "./fakeEngine.js";
export * from "./fakeWebService.js";
export * from "./memoryKeyValue.js";
export * from "./fakeMetadataStore.js";
export * from "./fakePlatform.js";
export * from "./scriptedEndpoint.js";
export * from "./gatewayTestBench.js";
export * from "./runUnitLog.js";
export * from "./random.js";
export * from "./freePorts.js";
export { readText } from "./fakeHttpServer.js";
export * from "./endpointArrivals.js";
