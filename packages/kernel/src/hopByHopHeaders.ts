/**
 * Headers that speak of one connection only and are not passed on (RFC 9110, 7.6.1), in lower case.
 * @module
 */

/** The headers' names. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);
