/**
 * Tells whether a caller still waits for its response.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Resolves once the event loop has read from all connections again. A request and the end of its connection that both wait to be read are
 * read in two turns of the event loop, so that the request of a caller that has left looks like any other until then.
 */
export async function waitForNextRead(): Promise<void> {
  // The first callback runs at the end of the current turn, the second one after the reads of the next turn.
  await waitForTurnEnd();
  await waitForTurnEnd();
}

/** Whether the caller has closed its connection; the response is only closed some turns of the event loop later. */
export function isCallerGone({ socket }: IncomingMessage, { destroyed }: ServerResponse): boolean {
  return destroyed || socket.destroyed || socket.readableEnded;
}

function waitForTurnEnd(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
