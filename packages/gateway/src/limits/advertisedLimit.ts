/**
 * Parses the rate limit that an overloaded endpoint advertises: a decimal number of requests a second.
 * @module
 */

const decimalPattern = /^(\d+\.?\d*|\.\d+)$/;
const separator = ",";

/**
 * Returns the requests a second in a header's text; the lowest if the header is repeated. Returns undefined if a value can't be
 * parsed, is negative or is not finite.
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
