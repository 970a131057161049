/**
 * Tells an orderly end of a connection from a reset.
 *
 * Where data and a reset arrive together, the event loop library reports an end of stream, not an error. But a reset
 * connection has no peer any more, while one that was ended in order still has: the peer's address tells them apart.
 * @module
 */
import type { Socket } from "node:net";

const resetSockets = new WeakSet<Socket>();

/** Watches a connection; to be called before anything else listens to it. */
export function trackConnectionEnd(socket: Socket): void {
  socket.on("end", () => {
    // Node.js remembers the address from the first time it is asked for; nobody asks before.
    if (socket.remoteAddress === undefined) resetSockets.add(socket);
  });
}

/** Whether a connection that was watched has ended in order. */
export function hasEndedInOrder(socket: Socket): boolean {
  return socket.readableEnded && !socket.errored && !resetSockets.has(socket);
}
