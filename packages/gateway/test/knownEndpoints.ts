/**
 * Creates endpoints as an instance reads them from their records, for tests without a platform.
 * @module
 */
import { Endpoint, type EndpointRecord } from "@gladewall/gateway";

/** Creates an endpoint; fields left out of its record take small defaults. */
export function createKnownEndpoint(record: Partial<EndpointRecord> & Pick<EndpointRecord, "id">): Endpoint {
  return Endpoint.create({
    service: "web",
    address: "127.0.0.1:1",
    hall: "a",
    slots: 4,
    isLeaving: false,
    isReclaimable: false,
    ...record,
  });
}

/** Options of an arbiter named `arbiter` that no other instance can be preferred to. */
export const soleArbiter = {
  own: { name: "arbiter", incarnation: 1 },
  getFleetSize: () => 1,
  precedes: () => false,
  getPrecedingReaders: () => [],
  claimOwn: () => [],
  getTokenCapacity: () => undefined,
};
