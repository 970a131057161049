/**
 * Reads the complete body of an endpoint's response.
 * @module
 */
import { type EndedResponse, type EndpointResponse, readEnd } from "./responseEnd.js";

/** A received body and how it ended. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  readonly ended: EndedResponse;
}

/** Resolves when the body has ended, complete or not. Never rejects. */
export function readResponseBody(response: EndpointResponse): Promise<ReceivedBody> {
  const { message } = response;
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    const finish = (): void => resolve({ bytes: Buffer.concat(parts), ended: readEnd(response) });
    message.on("data", (part: Buffer) => parts.push(part));
    message.on("end", finish);
    // After "end" this has no effect, because a promise settles only once.
    message.on("close", finish);
  });
}
