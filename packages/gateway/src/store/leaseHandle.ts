/**
 * Handles of the store's leases. A handle is a lease's id together with the era in which the lease is valid, because a store
 * that is restored from a snapshot grants the same ids again, to other instances.
 * @module
 */

/** A lease of the store. */
export interface StoreLease {
  readonly era: number;
  /** Id of the lease in the store. */
  readonly id: string;
}

const separator = "/";

/** Returns the handle of a lease. */
export function formatLeaseHandle({ era, id }: StoreLease): string {
  return `${era}${separator}${id}`;
}

/** Parses a handle. */
export function parseLeaseHandle(handle: string): StoreLease {
  const end = handle.indexOf(separator);
  return { era: Number(handle.slice(0, end)), id: handle.slice(end + separator.length) };
}
