/**
 * Creates the links between the members of the fleet.
 * @module
 */
import { PeerLinks } from "@gladewall/coordination";
import { FailurePlace } from "../failures/containedFailures.js";
import type { MembersOptions } from "./members.js";

const pingIntervalMs = 1_000;
const lostAfterMs = 2_500;
const handshakeTimeoutMs = 1_000;
const outboxBytes = 262_144;

/** Creates the links of an instance; nothing is opened. */
export function createMemberLinks(options: MembersOptions): PeerLinks {
  const { clock, logger, name, incarnation, secret, address, largestMesh } = options;
  return PeerLinks.create({
    own: { name, incarnation },
    secret,
    clock,
    logger,
    listen: address,
    handshakeTimeoutMs: handshakeTimeoutMs,
    maxOutboxBytes: outboxBytes,
    pingIntervalMs: pingIntervalMs,
    lossTimeoutMs: lostAfterMs,
    maxPersistentLinks: largestMesh,
    getRandom: Math.random,
    onFailure: (error, peer) => options.failures.record(FailurePlace.PeerMessage, error, { peer }),
    getPingFields: () => ({ time: options.time.get(), uptime: Math.round(options.counters.getUptime()) }),
  });
}
