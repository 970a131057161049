/**
 * Which parts of a prompt several requests may share.
 * @module
 */
import type { PromptPart } from "../../types.js";

/** Returns the ids of the parts that other requests may share; the last part is the request's own or its session's. */
export function getSharedParts(parts: readonly PromptPart[]): readonly string[] {
  return parts.slice(0, -1).map(({ id }) => id);
}
