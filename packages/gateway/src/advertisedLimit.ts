/**
 * Reads how many requests a second an endpoint in need takes: a decimal number.
 * @module
 */

const decimalPattern = /^(\d+\.?\d*|\.\d+)$/;
const separator = ",";

/**
 * Returns the requests a second that a text names; of a header that is repeated, the lowest. Undefined where a value can't be
 * read, is negative or has no end.
 */
export function parseAdvertisedLimit(text: string): number | undefined {
  const values = text.split(separator).map(parseDecimal);
  const lowest = Math.min(...values.map((value) => value ?? NaN));
  return Number.isFinite(lowest) ? lowest : undefined;
}

function parseDecimal(text: string): number | undefined {
  const trimmed = text.trim();
  return decimalPattern.test(trimmed) ? Number(trimmed) : undefined;
}
