/**
 * Reads the complete body of an endpoint's response.
 * @module
 */
import type { IncomingMessage } from "node:http";
import { hasClosedOrderly } from "./connectionEnds.js";

/** A received body and whether it is complete. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  readonly isComplete: boolean;
}

/**
 * Whether a response that has ended is complete. A response without length ends with its connection, and Node.js reports a
 * reset as such an end too; only an orderly close by the other side counts.
 */
export function isCompleteResponse({ complete, headers, socket }: IncomingMessage): boolean {
  const isFramed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
  return complete && (isFramed || hasClosedOrderly(socket));
}

/** Resolves when the body has ended, complete or not. Never rejects. */
export function readResponseBody(message: IncomingMessage): Promise<ReceivedBody> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    message.on("data", (part: Buffer) => parts.push(part));
    message.on("end", () =>
      resolve({ bytes: Buffer.concat(parts), isComplete: isCompleteResponse(message) }),
    );
    // After "end" this has no effect, because a promise settles only once.
    message.on("close", () => resolve({ bytes: Buffer.concat(parts), isComplete: false }));
  });
}
