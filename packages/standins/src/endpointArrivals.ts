/**
 * Checks an advertised limit: the number of requests that an endpoint may receive from all instances together in a
 * window, and the highest number that arrived in any window.
 * @module
 */
import { RunUnitLog } from "./runUnitLog.js";

const windowMs = 4_000;
/** In each window, this share of the limit plus this number of requests is allowed. */
const allowedShare = 1.5;
const allowedExtraRequests = 5;
const millisecondsPerSecond = 1_000;
const subject = "arrivals";

/** Returns the number of requests that a limit of `perSecond` allows in a window. */
export function getAllowedArrivals(perSecond: number): number {
  return Math.floor((allowedShare * perSecond * windowMs) / millisecondsPerSecond + allowedExtraRequests);
}

/** Returns the highest number of arrivals in any window; times are in milliseconds of any clock. */
export function getMaxArrivals(times: readonly number[]): number {
  const windows = RunUnitLog.create();
  for (const time of times) windows.record(subject, time, 1);
  return windows.getMax(subject, windowMs).units;
}
