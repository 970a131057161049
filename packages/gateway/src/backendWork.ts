/**
 * Work at backends, as nodes tell each other.
 * @module
 */

/** Active requests and pending prompt tokens by backend. */
export type BackendWork = Readonly<Record<string, readonly [active: number, pendingTokens: number]>>;

/** Adds work up, backend by backend. */
export function sumWork(parts: readonly BackendWork[]): BackendWork {
  const sum: Record<string, [number, number]> = {};
  for (const part of parts) {
    for (const [backend, [active, pendingTokens]] of Object.entries(part)) {
      const known = (sum[backend] ??= [0, 0]);
      known[0] += active;
      known[1] += pendingTokens;
    }
  }
  return sum;
}

/** Returns what is left of a sum without a part of it; the part may be newer than the sum. */
export function subtractWork(sum: BackendWork, part: BackendWork): BackendWork {
  const left: Record<string, readonly [number, number]> = { ...sum };
  for (const [backend, [active, pendingTokens]] of Object.entries(part)) {
    const known = left[backend];
    if (known) left[backend] = [Math.max(0, known[0] - active), Math.max(0, known[1] - pendingTokens)];
  }
  return left;
}
