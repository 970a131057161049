/**
 * Applies a caller's back-pressure to the writer of a response.
 * @module
 */
import { once } from "node:events";
import type { ServerResponse } from "node:http";

/** Resolves when the response accepts more data, fails, or the signal is aborted because the caller disconnected. */
export async function waitForDrain(response: ServerResponse, signal: AbortSignal): Promise<void> {
  try {
    await once(response, "drain", { signal });
  } catch {
    // The signal was aborted or the response destroyed; the writing loop checks the signal.
  }
}
