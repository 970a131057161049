/**
 * Reads the rest of a message that nobody needs, so that its connection can be used again.
 * @module
 */
import type { IncomingMessage } from "node:http";

/** Bounds of what is read; beyond either, the connection is closed. */
export interface DiscardBounds {
  readonly maxBytes: number;
  readonly maxMs: number;
}

/** The body of a refusal is short, and comes with its head. */
export const refusalBounds: DiscardBounds = { maxBytes: 16_384, maxMs: 200 };

/** A caller may be sending a body of the usual size while its request is refused. */
export const requestBounds: DiscardBounds = { maxBytes: 8_388_608, maxMs: 15_000 };

/** Reads a message to its end, or closes its connection. */
export function discardBody(message: IncomingMessage, { maxBytes, maxMs }: DiscardBounds): void {
  if (message.complete) return void message.resume();
  let bytes = 0;
  const timer = setTimeout(() => message.destroy(), maxMs);
  const finish = (): void => clearTimeout(timer);
  message.on("data", (part: Buffer) => {
    bytes += part.length;
    if (bytes > maxBytes) message.destroy();
  });
  message.on("end", finish);
  message.on("close", finish);
}
