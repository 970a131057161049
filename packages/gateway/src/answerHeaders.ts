/**
 * Headers of answers on their way back to callers.
 * @module
 */

/** Headers that concern one connection, or that are set anew with the body's length. */
const droppedHeaders = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
]);

/** Copies a backend's headers, without those of its connection. Both are name, value, name, value, … */
export function copyAnswerHeaders(rawHeaders: readonly string[]): string[] {
  const headers: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? "";
    if (!droppedHeaders.has(name.toLowerCase())) headers.push(name, rawHeaders[index + 1] ?? "");
  }
  return headers;
}
