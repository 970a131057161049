/**
 * Handles of the store's leases: a lease's number together with the era in which it holds, as a store that comes back from a
 * copy grants its numbers again, to others.
 * @module
 */

/** A lease of the store. */
export interface StoreLease {
  readonly era: number;
  /** The store's own name of the lease. */
  readonly id: string;
}

const separator = "/";

/** Returns the handle of a lease. */
export function formatLeaseHandle({ era, id }: StoreLease): string {
  return `${era}${separator}${id}`;
}

/** Reads a handle. */
export function parseLeaseHandle(handle: string): StoreLease {
  const end = handle.indexOf(separator);
  return { era: Number(handle.slice(0, end)), id: handle.slice(end + separator.length) };
}
