/**
 * Selects the headers of endpoints' responses that are forwarded to callers.
 * @module
 */
import { copyForwardedHeaders } from "./forwarding/forwardingProtocol.js";

/** Not copied, because it is set from the length of the forwarded body. */
const lengthHeader = "content-length";

/** Copies an endpoint's response headers except for hop-by-hop ones. Both lists are name, value, name, value, … */
export function copyResponseHeaders(rawHeaders: readonly string[]): string[] {
  const headers: string[] = [];
  const forwarded = copyForwardedHeaders(rawHeaders);
  for (let index = 0; index < forwarded.length; index += 2) {
    const name = forwarded[index] ?? "";
    if (name.toLowerCase() !== lengthHeader) headers.push(name, forwarded[index + 1] ?? "");
  }
  return headers;
}
