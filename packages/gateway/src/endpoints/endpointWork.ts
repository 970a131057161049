/**
 * Sums of open requests and pending prompt tokens at endpoints, as instances report them to each other.
 * @module
 */

/** Open requests and pending prompt tokens by endpoint incarnation. */
export type EndpointWork = Readonly<Record<string, readonly [active: number, pendingTokens: number]>>;

/** Adds work up, endpoint by endpoint. */
export function sumWork(parts: readonly EndpointWork[]): EndpointWork {
  const sum: Record<string, [number, number]> = {};
  for (const part of parts) {
    for (const [endpoint, [active, pendingTokens]] of Object.entries(part)) {
      const known = (sum[endpoint] ??= [0, 0]);
      known[0] += active;
      known[1] += pendingTokens;
    }
  }
  return sum;
}

/** Subtracts a part from a sum. No value falls below 0, because the part may be newer than the sum. */
export function subtractWork(sum: EndpointWork, part: EndpointWork): EndpointWork {
  const remaining: Record<string, readonly [number, number]> = { ...sum };
  for (const [endpoint, [active, pendingTokens]] of Object.entries(part)) {
    const known = remaining[endpoint];
    if (known) remaining[endpoint] = [Math.max(0, known[0] - active), Math.max(0, known[1] - pendingTokens)];
  }
  return remaining;
}
