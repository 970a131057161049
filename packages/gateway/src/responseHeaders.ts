/**
 * Selects the headers of endpoints' responses that are forwarded to callers.
 * @module
 */
import { hopByHopHeaders } from "@gladewall/kernel";

/** Not copied, because it is set from the length of the forwarded body. */
const lengthHeader = "content-length";

/** Copies an endpoint's response headers except for hop-by-hop ones. Both lists are name, value, name, value, … */
export function copyResponseHeaders(rawHeaders: readonly string[]): string[] {
  const headers: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? "";
    const lowerCase = name.toLowerCase();
    if (hopByHopHeaders.has(lowerCase) || lowerCase === lengthHeader) continue;
    headers.push(name, rawHeaders[index + 1] ?? "");
  }
  return headers;
}
