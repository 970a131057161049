/**
 * Back-pressure towards a caller.
 * @module
 */
import { once } from "node:events";
import type { ServerResponse } from "node:http";

/** Resolves when the caller has taken what was written, or when the signal says that it left. */
export async function waitForDrain(response: ServerResponse, signal: AbortSignal): Promise<void> {
  try {
    await once(response, "drain", { signal });
  } catch {
    // Aborted or destroyed: the caller's loop looks at the signal.
  }
}
