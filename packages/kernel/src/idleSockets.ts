/**
 * Handles idle connections of an HTTP agent, which are kept alive and not used by a request.
 * @module
 */
import type { Agent } from "node:http";

/** Destroys the idle connections of an agent. Connections in use are not affected. */
export function destroyIdleSockets(agent: Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}
