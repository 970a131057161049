/**
 * Entry point of the daemon on the operators' platform: runs the gateway with the platform's plug-in.
 * @module
 */
import "@gladewall/platform";
import { runGatewayDaemon } from "@gladewall/gateway";

await runGatewayDaemon(process.argv.slice(2));
