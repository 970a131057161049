/**
 * The entry: accepts callers' requests, places them on endpoints and returns the responses. Importing this module
 * registers the plug-ins.
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
