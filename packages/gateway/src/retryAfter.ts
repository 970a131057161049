/**
 * Reads the time after which an endpoint wants to be asked again: seconds or an HTTP date (RFC 9110, 10.2.3). Fractions of
 * seconds are taken as well.
 * @module
 */

const millisecondsPerSecond = 1_000;
/** Longest time that is taken: a longer one is a mistake more often than meant, and would cost the endpoint's life. */
export const longestRetryAfterMs = 600_000;
const secondsPattern = /^\d+(\.\d+)?$/;
/** RFC 9110 dates begin with the name of a day; anything else that `Date.parse` takes is not one. */
const datePattern = /^(Mon|Tues?|Wed(nes)?|Thu(rs)?|Fri|Sat(ur)?|Sun)(day)?,? /;

/**
 * Returns the milliseconds that a `Retry-After` names, at most `longestRetryAfterMs`; undefined where it can't be read. A
 * date counts from the answer's own `Date`, or from `wallTime` (Unix milliseconds) where it has none.
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
  return Math.min(longestRetryAfterMs, Math.max(0, milliseconds));
}
