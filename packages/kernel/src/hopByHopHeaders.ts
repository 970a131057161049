/**
 * Hop-by-hop headers: they apply to a single connection and must not be forwarded (RFC 9110, section 7.6.1).
 * @module
 */

/** Names of the hop-by-hop headers, in lower case. */
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
