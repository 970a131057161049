/**
 * What an endpoint in need bears of all instances together, and the most that arrived there.
 * @module
 */
import { RunUnitLog } from "./runUnitLog.js";

const windowMs = 4_000;
/** Share of a named limit, and requests beside it, that are borne in a window. */
const allowedShare = 1.5;
const allowedExtraRequests = 5;
const millisecondsPerSecond = 1_000;
const subject = "arrivals";

/** Returns the requests that an endpoint bears in a window which takes so many a second. */
export function getAllowedArrivals(perSecond: number): number {
  return Math.floor((allowedShare * perSecond * windowMs) / millisecondsPerSecond + allowedExtraRequests);
}

/** Returns the most that arrived in any window; times are milliseconds of any clock. */
export function getMaxArrivals(times: readonly number[]): number {
  const windows = RunUnitLog.create();
  for (const time of times) windows.record(subject, time, 1);
  return windows.getMax(subject, windowMs).units;
}
