/**
 * Distinguishes an orderly close of a connection from a reset.
 *
 * If data and a reset arrive together, libuv reports an end of stream instead of an error. A reset connection no longer has
 * a peer, however, while an orderly closed one still has, so the peer's address distinguishes them.
 * @module
 */
import type { Socket } from "node:net";

const resetSockets = new WeakSet<Socket>();

/** Starts tracking a connection; must be called before any other listener is added. */
export function trackConnectionEnd(socket: Socket): void {
  socket.on("end", () => {
    // Node.js caches the address when it is first read, so nothing may read it before this point.
    if (socket.remoteAddress === undefined) resetSockets.add(socket);
  });
}

/** Whether a tracked connection was closed in an orderly way, not reset. */
export function hasClosedOrderly(socket: Socket): boolean {
  return socket.readableEnded && !socket.errored && !resetSockets.has(socket);
}
