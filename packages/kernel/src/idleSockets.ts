/**
 * Kept connections of an HTTP agent that no request uses.
 * @module
 */
import type { Agent } from "node:http";

/** Destroys the connections of an agent that rest; those in use end with their requests. */
export function destroyIdleSockets(agent: Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}
