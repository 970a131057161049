/**
 * Estimates the free slots and the pace of one endpoint from the load that it last reported, and from the requests that this instance has sent to it
 * and seen end since. Handles endpoints that share their machine with other workloads, so that the time their work takes changes
 * several times a second. All times are passed in and are milliseconds of one monotonic clock.
 * @module
 */
import type { CapacityEstimate, EndpointLoad } from "./capacityTypes.js";

/** Age from which a report is ignored: endpoints are replaced and queues drained within a few seconds. */
export const maxReportAgeMs = 2_000;
/** Highest plausible number of requests or slots; a larger number makes the report invalid. */
const maxReportedCount = 100_000;
const minPacePercent = 10;
const maxPacePercent = 10_000;
const usualPacePercent = 100;
/**
 * Bounds of the factor that an estimate uses. Work is slowed down by other workloads, hardly ever sped up: an endpoint that always
 * reports a fast pace must not attract a long queue. Beyond ten, a slow endpoint gets no requests in any case.
 */
const minPace = 0.8;
const maxPace = 10;
/** Time constant with which an aging pace returns to 1: the pace of an endpoint changes several times a second. */
const paceDecayMs = 400;
const cubicTerm = 1 / 6;

/** An estimate that is written again for each endpoint of a comparison. */
export class CapacityReading implements CapacityEstimate {
  isReported = false;
  requests = 0;
  freeSlots = 0;
  pace = 1;
  slots = 0;
  /** Whether the endpoint has reported its pace recently. */
  hasPace = false;
  /** Whether the endpoint has refused a request within the last mean run time. */
  isFull = false;
  /** Age of the last valid report. */
  ageMs = Infinity;

  private constructor() {}

  static create(): CapacityReading {
    return new CapacityReading();
  }
}

/** Requests, free slots and pace of one incarnation of an endpoint. */
export class EndpointCapacity {
  private report: EndpointLoad | undefined;
  private reportedAt = -Infinity;
  /** Smoothed pace at `reportedAt`; it applies only if the report has a pace. */
  private smoothedPace = 1;
  /** Time from which no pace is known. */
  private paceUntil = -Infinity;
  /** Open requests of this instance. */
  private open = 0;
  /** Requests sent less requests ended by this instance since the report. */
  private netSent = 0;
  private fullUntil = -Infinity;

  private constructor(private readonly recordedSlots: number) {}

  /** @param slots slots that count while no recent report states their number */
  static create(slots: number): EndpointCapacity {
    return new EndpointCapacity(slots);
  }

  /**
   * Records a report. Invalid reports are ignored, because they say nothing about the endpoint.
   * @param runTimeMs time that one request takes, which the pace is smoothed over
   */
  recordReport(report: EndpointLoad, time: number, runTimeMs: number): void {
    if (!isValidReport(report) || !Number.isFinite(time) || time < this.reportedAt) return;
    if (report.pacePercent !== undefined) {
      const pace = clamp(report.pacePercent / usualPacePercent, minPace, maxPace);
      const weight = this.hasPace(time) ? getWeight(time - this.reportedAt, runTimeMs) : 1;
      const previous = this.getPace(time);
      this.smoothedPace = previous + (pace - previous) * weight;
    }
    this.report = report;
    this.reportedAt = time;
    this.paceUntil = report.pacePercent === undefined ? -Infinity : time + maxReportAgeMs;
    this.netSent = 0;
  }

  /** Returns the last valid report, however old; undefined if there was none. */
  getReport(): { readonly load: EndpointLoad; readonly at: number } | undefined {
    return this.report && { load: this.report, at: this.reportedAt };
  }

  recordSent(): void {
    this.open += 1;
    this.netSent += 1;
  }

  recordEnded(): void {
    this.open = Math.max(0, this.open - 1);
    this.netSent -= 1;
  }

  /** Records that the endpoint refused a request because it was full. */
  recordRejected(time: number, runTimeMs: number): void {
    const durationMs = Number.isFinite(runTimeMs) ? clamp(runTimeMs, 0, maxReportAgeMs) : maxReportAgeMs;
    this.fullUntil = Math.max(this.fullUntil, time + durationMs);
  }

  /** Whether the endpoint has reported its pace recently. */
  hasPace(time: number): boolean {
    return time <= this.paceUntil;
  }

  /** Returns the factor by which work takes longer than usual; 1 if it is unknown. */
  getPace(time: number): number {
    return this.hasPace(time) ? decayPace(this.smoothedPace, time - this.reportedAt) : 1;
  }

  estimate(time: number): CapacityEstimate {
    return this.estimateInto(CapacityReading.create(), time);
  }

  /** Writes the estimate to an object of the caller, so that a comparison of many endpoints allocates none for each. */
  estimateInto(reading: CapacityReading, time: number): CapacityReading {
    const { report, open } = this;
    const ageMs = time - this.reportedAt;
    const recent = ageMs <= maxReportAgeMs ? report : undefined;
    const slots = recent ? recent.slots : this.recordedSlots;
    const known = recent ? recent.running + recent.waiting + this.netSent : open;
    const counted = known > open ? known : open;
    reading.isFull = time < this.fullUntil;
    reading.isReported = recent !== undefined;
    reading.hasPace = this.hasPace(time);
    reading.ageMs = ageMs;
    reading.slots = slots;
    reading.requests = reading.isFull && counted < slots ? slots : counted;
    reading.freeSlots = reading.requests < slots ? slots - reading.requests : 0;
    reading.pace = this.getPace(time);
    return reading;
  }
}

/** Returns a pace after some time without a report: exponential decay towards 1, by the first terms of its series. */
function decayPace(pace: number, ageMs: number): number {
  const elapsed = Math.max(0, ageMs) / paceDecayMs;
  return 1 + (pace - 1) / (1 + elapsed * (1 + elapsed * (0.5 + elapsed * cubicTerm)));
}

function isValidReport({ running, waiting, slots, pacePercent }: EndpointLoad): boolean {
  if (!isCount(running) || !isCount(waiting) || !isCount(slots) || slots < 1) return false;
  return isPlausiblePace(pacePercent);
}

/** Returns whether an endpoint may report this pace; it need not report any. */
export function isPlausiblePace(pacePercent: number | undefined): boolean {
  return pacePercent === undefined || (pacePercent >= minPacePercent && pacePercent <= maxPacePercent);
}

function isCount(value: number): boolean {
  return value >= 0 && value <= maxReportedCount;
}

/** Weight of a new value in an average over `windowMs`, if the last value is `elapsedMs` old. */
function getWeight(elapsedMs: number, windowMs: number): number {
  if (!(windowMs > 0)) return 1;
  return 1 - Math.exp(-elapsedMs / windowMs);
}

function clamp(value: number, lowest: number, highest: number): number {
  return Math.min(highest, Math.max(lowest, value));
}
