/**
 * The entry: everything between a caller and an endpoint.
 * @module
 */
import "./plugins/httpKeyValue.js";
import "./plugins/httpPlatform.js";
import "./plugins/openaiEngine.js";
import "./plugins/webService.js";

export * from "./types.js";
export * from "./entrySettings.js";
export * from "./entry.js";
export * from "./configurationCodec.js";
export { createPlatformClients, type PlatformClients } from "./platform.js";
