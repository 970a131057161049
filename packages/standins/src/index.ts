/**
 * Fakes: small working implementations of the external systems, for tests and local runs. Each can be made to fail in
 * the ways that the users' requirements name.
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
export * from "./callerEnd.js";
export { type CallerText, parseStreamText, readCallerText } from "./streamText.js";
export * from "./rawResponse.js";
export * from "./scriptedEndpoint.js";
export * from "./gatewayTestBench.js";
export * from "./retryWindows.js";
export * from "./runUnitLog.js";
export * from "./random.js";
export * from "./freePorts.js";
export { readText } from "./fakeHttpServer.js";
export * from "./endpointArrivals.js";
export * from "./pathFaults.js";
export * from "./brittleEndpoint.js";
export * from "./brittleWork.js";
