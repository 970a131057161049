/**
 * Tells from when on the bytes of an HTTP client's request may arrive.
 * @module
 */
import type { ClientRequest } from "node:http";

/** Calls the listener once the request has an open connection, a new or a kept one. */
export function onConnected(sent: ClientRequest, listener: () => void): void {
  sent.on("socket", (socket) => {
    if (socket.connecting) socket.once("connect", listener);
    // Without a route, a connection has failed before the request gets its socket.
    else if (sent.reusedSocket || !socket.destroyed) listener();
  });
}
