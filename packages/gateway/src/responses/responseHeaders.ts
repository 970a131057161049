/**
 * Selects the headers of endpoints' responses that are forwarded to callers.
 * @module
 */
import { isPassedOn, selectHeaders } from "../forwarding/forwardingProtocol.js";

/** Not copied, because it is set from the length of the forwarded body. */
const lengthHeader = "content-length";

/** Copies an endpoint's response headers except for hop-by-hop ones. Both lists are name, value, name, value, … */
export function copyResponseHeaders(rawHeaders: readonly string[]): string[] {
  return selectHeaders(rawHeaders, (name) => isPassedOn(name) && name !== lengthHeader);
}
