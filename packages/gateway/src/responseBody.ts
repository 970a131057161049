/**
 * Reads the body of an endpoint's answer as a whole.
 * @module
 */
import type { IncomingMessage } from "node:http";
import { hasEndedInOrder } from "./connectionEnds.js";

/** A body and whether all of it came. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  readonly isComplete: boolean;
}

/**
 * Whether an answer that has ended is all of it. One without length ends with its connection, and Node.js takes a reset
 * for such an end as well; only an orderly end of the other side counts.
 */
export function isCompleteResponse({ complete, headers, socket }: IncomingMessage): boolean {
  const isFramed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
  return complete && (isFramed || hasEndedInOrder(socket));
}

/** Resolves when the body has ended, whole or cut. */
export function readResponseBody(message: IncomingMessage): Promise<ReceivedBody> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    message.on("data", (part: Buffer) => parts.push(part));
    message.on("end", () =>
      resolve({ bytes: Buffer.concat(parts), isComplete: isCompleteResponse(message) }),
    );
    // After "end" this changes nothing; a promise settles once.
    message.on("close", () => resolve({ bytes: Buffer.concat(parts), isComplete: false }));
  });
}
