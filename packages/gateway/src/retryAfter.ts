/**
 * Parses the `Retry-After` header of an endpoint: seconds or an HTTP date (RFC 9110, 10.2.3). Fractions of seconds are
 * accepted as well.
 * @module
 */

const millisecondsPerSecond = 1_000;
/** Longest accepted time: a longer one is more likely a mistake, and would keep the endpoint out of service. */
export const maxRetryAfterMs = 600_000;
const secondsPattern = /^\d+(\.\d+)?$/;
/** RFC 9110 dates begin with the name of a day; `Date.parse` also accepts texts that are no such dates. */
const datePattern = /^(Mon|Tues?|Wed(nes)?|Thu(rs)?|Fri|Sat(ur)?|Sun)(day)?,? /;

/**
 * Returns the milliseconds that a `Retry-After` header specifies, at most `maxRetryAfterMs`; undefined if it can't be
 * parsed. A date is relative to the response's own `Date`, or to `wallTime` (Unix milliseconds) if it has none.
 */
export function parseRetryAfter(
  text: string,
  date: string | undefined,
  wallTime: number,
): number | undefined {
  const trimmed = text.trim();
  if (secondsPattern.test(trimmed)) return bound(Number(trimmed) * millisecondsPerSecond);
  const until = parseDate(trimmed);
  if (until === undefined) return undefined;
  return bound(until - ((date === undefined ? undefined : parseDate(date)) ?? wallTime));
}

function parseDate(text: string): number | undefined {
  if (!datePattern.test(text)) return undefined;
  const time = Date.parse(text);
  return Number.isNaN(time) ? undefined : time;
}

function bound(milliseconds: number): number {
  return Math.min(maxRetryAfterMs, Math.max(0, milliseconds));
}
