/**
 * Compares the endpoints of a service without an engine by the time at which they are expected to complete a request. Many instances
 * read the same late reports; if each took the endpoint that looks best, all would take the same one. Two endpoints are therefore
 * drawn at random among those that look nearly best, and the better one is taken.
 * @module
 */
import { CapacityReading } from "@gladewall/policy";
import type { Endpoint } from "../endpoints/endpoint.js";

/** Margin within which endpoints are drawn, in run times, if the reports are fresh or there is one instance. */
const minMargin = 0.1;
/** Addition to the margin if the report is old and there are many instances. */
const staleMargin = 0.5;
/** Age from which a report counts as old for the margin. */
const staleAgeMs = 400;
/**
 * Run times that a request costs where all slots are taken by others, in proportion where some are. The counts are late: the more
 * slots are taken, the less likely a free one is still free on arrival.
 */
const takenSlotsCost = 0.2;
/**
 * Weight of an endpoint's own mean run time against the mean of the service. At the usual pace, endpoints of a service differ
 * little, and a mean over few requests is inaccurate; but an endpoint that is slower than it reports has to show.
 */
const ownRunTimeWeight = 0.5;
const initialCapacity = 16;

/** One comparison; the object is reused, so that nothing is allocated for an endpoint that is compared. */
export class CompletionDraw {
  private scores = new Float64Array(initialCapacity);
  private expected = new Float64Array(initialCapacity);
  private fills = new Float64Array(initialCapacity);
  private count = 0;
  private time = 0;
  private meanRunTimeMs = 0;
  private readonly reading = CapacityReading.create();
  private best = 0;
  private bestScore = 0;
  private bestAgeMs = 0;

  private constructor() {}

  static create(): CompletionDraw {
    return new CompletionDraw();
  }

  /** Starts a new comparison; `meanRunTimeMs` is the mean of the endpoints' run times at the usual pace. */
  begin(time: number, meanRunTimeMs: number): void {
    this.count = 0;
    this.best = 0;
    this.time = time;
    this.meanRunTimeMs = meanRunTimeMs;
  }

  /** Adds the next endpoint; `penaltyMs` counts in the comparison, but not in the expected time. */
  add(endpoint: Endpoint, peerActive: number, penaltyMs: number): void {
    const { meanRunTimeMs } = this;
    const index = this.count;
    if (index === this.scores.length) this.grow();
    const { isReported, requests, slots, pace, ageMs, isFull } = endpoint.capacity.estimateInto(
      this.reading,
      this.time,
    );
    const width = Math.max(1, slots);
    const taken = (isReported ? requests : Math.max(requests, endpoint.active + peerActive)) / width;
    const queued = Math.max(0, taken + 1 / width - 1);
    // An endpoint that has just refused a request does not start another before one of its requests ends.
    const ahead = isFull ? Math.max(1, queued) : queued;
    const ownRunTimeMs = endpoint.latencyMs ?? meanRunTimeMs;
    const runTimeMs = meanRunTimeMs + (ownRunTimeMs - meanRunTimeMs) * ownRunTimeWeight;
    const expectedMs = runTimeMs * pace * (1 + ahead + Math.min(1, taken) * takenSlotsCost);
    const score = expectedMs + penaltyMs;
    this.expected[index] = expectedMs;
    this.scores[index] = score;
    this.fills[index] = taken;
    this.count += 1;
    if (index > 0 && score >= this.bestScore) return;
    this.best = index;
    this.bestScore = score;
    this.bestAgeMs = ageMs;
  }

  /** Returns the index of the chosen endpoint in the order of the additions; -1 if none was added. */
  select(fleetSize: number, getRandom: () => number): number {
    if (this.count === 0) return -1;
    const staleness = Math.min(1, this.bestAgeMs / staleAgeMs) * (1 - 1 / Math.max(1, fleetSize));
    const margin = this.meanRunTimeMs * (minMargin + staleMargin * staleness);
    const limit = this.bestScore + margin;
    let eligible = 0;
    for (let index = 0; index < this.count; index++) if (this.isWithin(index, limit)) eligible += 1;
    if (eligible < 2) return this.best;
    const first = drawBelow(eligible, getRandom);
    const next = drawBelow(eligible - 1, getRandom);
    const second = next >= first ? next + 1 : next;
    const left = this.findEligible(first, limit);
    const right = this.findEligible(second, limit);
    return this.isBetter(right, left) ? right : left;
  }

  getExpectedMs(index: number): number {
    return this.expected[index] ?? 0;
  }

  private isWithin(index: number, limit: number): boolean {
    return (this.scores[index] ?? Infinity) <= limit;
  }

  /** Returns the index of the endpoint with the given rank among those within the limit. */
  private findEligible(rank: number, limit: number): number {
    let seen = -1;
    for (let index = 0; index < this.count; index++) {
      if (this.isWithin(index, limit)) seen += 1;
      if (seen === rank) return index;
    }
    return this.best;
  }

  private isBetter(left: number, right: number): boolean {
    const difference = (this.scores[left] ?? 0) - (this.scores[right] ?? 0);
    if (difference !== 0) return difference < 0;
    return (this.fills[left] ?? 0) < (this.fills[right] ?? 0);
  }

  private grow(): void {
    this.scores = copyDoubled(this.scores);
    this.expected = copyDoubled(this.expected);
    this.fills = copyDoubled(this.fills);
  }
}

function copyDoubled(values: Float64Array): Float64Array<ArrayBuffer> {
  const doubled = new Float64Array(values.length * 2);
  doubled.set(values);
  return doubled;
}

function drawBelow(count: number, getRandom: () => number): number {
  return Math.min(count - 1, Math.floor(getRandom() * count));
}
