/**
 * Statuses of final responses (RFC 9110, section 15).
 * @module
 */

const firstFinalStatus = 200;
const lastStatus = 599;

/** Whether a status is one of a final response; the parsers of HTTP let any three digits through. */
export function isFinalStatus(status: number): boolean {
  return status >= firstFinalStatus && status <= lastStatus;
}
