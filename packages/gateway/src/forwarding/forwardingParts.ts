/**
 * Creates what sends attempts to endpoints: connections, the paths of this instance, and the parts that pass attempts on.
 * @module
 */
import { parseAddress } from "@gladewall/kernel";
import type { BrittleServices } from "../brittle/brittleServices.js";
import type { CrashProtection } from "../crashes/crashProtection.js";
import { probeEndpoint, probeRunning } from "../crashes/endpointProbe.js";
import { EndpointConnections } from "../endpoints/endpointConnections.js";
import { getSharedParts } from "../crashes/parts/sharedParts.js";
import type { GatewayParts } from "../parts/gatewayPartTypes.js";
import type { GatewayState } from "../parts/gatewayState.js";
import { canServe } from "../parts/readiness.js";
import type { GatewaySettings } from "../gatewaySettings.js";
import type { Members } from "../fleet/members.js";
import { EndChecker } from "../responses/endChecker.js";
import { StandstillWatch } from "../responses/standstillWatch.js";
import { ForwardingPeers } from "./forwardingPeers.js";
import { ForwardingServer, type ForwardingServerOptions } from "./forwardingServer.js";
import { ServicePaths } from "./servicePaths.js";

/** Parts that attempts pass through on their way. */
export type ForwardingParts = Pick<
  GatewayParts,
  "connections" | "paths" | "forwarding" | "forwardingServer" | "endChecker" | "standstill"
>;

/** Returns the address at which peers reach the forwarding server; undefined if it listens on another interface than for peers. */
export function findForwardingAddress(
  { listen }: GatewaySettings,
  { address }: ForwardingServer,
): string | undefined {
  const { host } = parseAddress(listen.forwarding);
  return host === parseAddress(listen.peers).host ? address : undefined;
}

/** Creates the parts; `getMembers` is called once all parts exist. */
export function createForwarding(
  { settings, platform, clock, logger, directory, follower, failures, linkPace, heldRequests }: GatewayState,
  getMembers: () => Members,
  crashes: CrashProtection,
  brittle: BrittleServices,
): ForwardingParts {
  const { instance, listen, peers, endpoints } = settings;
  const { connect_timeout: connectTimeoutMs } = endpoints;
  const connections = EndpointConnections.create();
  const standstill = StandstillWatch.create(clock);
  const endChecker = EndChecker.create({
    clock,
    drainMs: endpoints.drain,
    hasStoodStill: () => standstill.hasStoodStill(),
    hasCrashed: ({ incarnation }) => crashes.records.hasCrashed(incarnation),
    probe: probeRunning,
    confirm: (endpoint) => crashes.confirmCrash(endpoint),
  });
  const paths = ServicePaths.create({
    clock,
    logger,
    probe: (address) => probeEndpoint(address, connectTimeoutMs),
    getEndpoints: (service) => directory.getOfService(service),
    getRandom: Math.random,
  });
  const forwarding = ForwardingPeers.create({
    clock,
    logger,
    getPeers: () => getMembers().getForwardingPeers(),
    getRandom: Math.random,
  });
  const forwardingServer = ForwardingServer.create({
    ownName: instance.name,
    secret: peers.secret,
    listen: listen.forwarding,
    clock,
    logger,
    directory,
    connections,
    paths,
    connectTimeoutMs,
    maxOpen: peers.max_forwarded,
    canServe: () => canServe({ follower, directory, members: getMembers() }),
    getMaxBodyBytes: () => follower.getTable()?.configuration.limits.maxBodyBytes ?? 0,
    recordInterruption: createInterruptionRecorder(crashes, brittle),
    readDeadlineMs: (headers) =>
      platform.callers.readHead(headers).unwrapOr({ deadlineMs: undefined }).deadlineMs,
    readSharedParts: (headers) =>
      getSharedParts(platform.callers.readHead(headers).unwrapOr({ parts: [] }).parts),
    getSuspectedParts: (service, prompt) => crashes.suspects.getSuspectedParts(service, prompt),
    endChecker,
    failures,
    linkPace,
    heldRequests,
  });
  return { connections, paths, forwarding, forwardingServer, endChecker, standstill };
}

/** Returns what records that a request was interrupted which this instance passed on for a peer. */
function createInterruptionRecorder(
  { suspects }: CrashProtection,
  brittle: BrittleServices,
): ForwardingServerOptions["recordInterruption"] {
  return async (endpoint, request) => {
    // A brittle endpoint crashes because of what it refused.
    if (brittle.getLimit(endpoint.record.service) === undefined)
      await suspects.recordInterruption(endpoint, request);
  };
}
