/**
 * Headers of answers on their way back to callers.
 * @module
 */
import { hopByHopHeaders } from "@gladewall/kernel";

/** Set anew with the body's length. */
const lengthHeader = "content-length";

/** Copies an endpoint's headers, without those of its connection. Both are name, value, name, value, … */
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
