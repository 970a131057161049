/**
 * State of one endpoint whose slots are granted: its open grants, the requests that were sent to it without a grant, and
 * its present pace. Reports correct it; absent, old or absurd reports leave the grants alone to count.
 * @module
 */
import type { EndpointLoad, SlotEndpoint, SlotEndpointLoad } from "./capacityTypes.js";
import { isPlausiblePace, maxReportAgeMs } from "./endpointCapacity.js";
import { getRefusalRecoveryMs } from "./refusalRecovery.js";

/** The pace of an endpoint changes every 100 to 400 ms, so a report tells little after that time. */
const paceDecayMs = 250;
/**
 * A report of more requests than this multiple of the slots counts as that many, so that it holds grants back for about one run
 * time only. An endpoint that always reports to be full would otherwise hardly be used.
 */
const maxRequestsPerSlot = 2;
/** Requests beyond the slots that may wait at an endpoint, so that a slot is not idle for the transmission time. */
const maxWaitingAtEndpoint = 1;
/** Time after which work that no report has shown is taken to have ended at an endpoint that reports no load. */
const unreportedWorkMs = 2_000;

/** Load of one endpoint as the scheduler knows it. Times are milliseconds of the scheduler's clock. */
export class SlotEndpointState {
  private slots = 0;
  private refusalLimit: number | undefined;
  private mostGranted = Infinity;
  private tokenCapacity = Infinity;
  private term: number | undefined;
  /** Until when work may be there that is neither granted nor reported. */
  private unverifiedUntil = -Infinity;
  private open = 0;
  /** Open grants of other schedulers. */
  private adopted = 0;
  private usedTokens = 0;
  /** Open grants whose instance is gone. */
  orphaned = 0;
  /** Requests without a grant at the time of the last report. */
  private ungranted = 0;
  private reportedAt = -Infinity;
  private pace = 1;
  private fullUntil = -Infinity;

  private constructor(readonly incarnation: string) {}

  static create(endpoint: SlotEndpoint, time: number): SlotEndpointState {
    const state = new SlotEndpointState(endpoint.incarnation);
    state.update(endpoint, time);
    return state;
  }

  update({ slots, refusalLimit, mostGranted, tokenCapacity, term }: SlotEndpoint, time: number): void {
    this.slots = Number.isFinite(slots) ? Math.max(0, Math.floor(slots)) : 0;
    this.refusalLimit = refusalLimit;
    this.mostGranted = mostGranted ?? Infinity;
    this.tokenCapacity = tokenCapacity ?? Infinity;
    if (term !== undefined && term !== this.term) this.unverifiedUntil = time + unreportedWorkMs;
    this.term = term;
  }

  getSlots(): number {
    return this.slots;
  }

  /** Whether its slots are granted so that it never has to refuse a request. */
  get isBrittle(): boolean {
    return this.refusalLimit !== undefined;
  }

  addGrant(tokens: number, isAdopted: boolean): void {
    this.open += 1;
    this.usedTokens += tokens;
    if (isAdopted) this.adopted += 1;
  }

  removeGrant(tokens: number, isAdopted: boolean): void {
    this.open -= 1;
    this.usedTokens -= tokens;
    if (isAdopted) this.adopted -= 1;
  }

  /** Whether a request could run here if nothing else did. */
  hasMemoryFor(tokens: number): boolean {
    return tokens <= this.tokenCapacity;
  }

  /** Tokens of its memory that no granted request takes. */
  get freeTokens(): number {
    return this.tokenCapacity - this.usedTokens;
  }

  describe(time: number): SlotEndpointLoad {
    const { open, orphaned, ungranted, slots, usedTokens, reportedAt } = this;
    return { open, orphaned, ungranted, slots, usedTokens, reportAgeMs: time - reportedAt };
  }

  /** Records that the endpoint refused a request: it counts as full for a while, long enough for its limit of refusals. */
  recordRejection(time: number, meanRunMs: number): void {
    const { refusalLimit } = this;
    const recoveryMs = refusalLimit === undefined ? 0 : getRefusalRecoveryMs(refusalLimit);
    this.fullUntil = Math.max(this.fullUntil, time + Math.max(meanRunMs, recoveryMs));
  }

  /** Applies a report that a response carried while its grant is still counted as open. */
  applyReport(load: EndpointLoad, time: number, meanRunMs: number): void {
    if (!isValid(load)) return;
    this.unverifiedUntil = -Infinity;
    const requests = Math.min(load.running + load.waiting, this.slots * maxRequestsPerSlot);
    this.ungranted = Math.max(0, requests - this.open);
    // Smooths the pace over about the time that one request takes.
    const reported = (load.pacePercent ?? 100) / 100;
    const weight = 1 - Math.exp(-(time - this.reportedAt) / Math.max(1, meanRunMs));
    this.pace = this.getPace(time) + (reported - this.getPace(time)) * weight;
    this.reportedAt = time;
  }

  /** Returns the factor by which work takes longer than usual at present. */
  getPace(time: number): number {
    const age = time - this.reportedAt;
    if (age > maxReportAgeMs) return 1;
    return 1 + (this.pace - 1) * Math.exp(-age / paceDecayMs);
  }

  /**
   * Returns whether a request that needs some tokens may be granted: fewer than slots + 1 are there, or than slots if the endpoint
   * bears few refusals.
   */
  hasRoom(time: number, meanRunMs: number, tokens = 0): boolean {
    const most = this.getMaxRequests();
    if (this.slots === 0 || this.open >= most || time < this.fullUntil) return false;
    if (this.open - this.adopted >= this.mostGranted) return false;
    if (time < this.unverifiedUntil && this.open > 0) return false;
    if (tokens > this.freeTokens) return false;
    return this.getRequests(time, meanRunMs) < most;
  }

  /** Returns when a request may be granted although no grant ends; undefined if it may now, or if only an end makes room. */
  getRoomAt(time: number, meanRunMs: number): number | undefined {
    const room = this.getMaxRequests() - this.open;
    if (this.slots === 0 || room <= 0 || this.hasRoom(time, meanRunMs)) return undefined;
    const excess = Math.max(0, this.countUngranted(time, meanRunMs) - room);
    const leftAt = time + excess * this.getCompletionIntervalMs(time, meanRunMs);
    return Math.max(time + 1, this.fullUntil, Math.min(leftAt, this.reportedAt + maxReportAgeMs));
  }

  /** Estimates the milliseconds until a request that is sent now would be completed. */
  estimateCompletionMs(time: number, meanRunMs: number): number {
    return meanRunMs * this.getPace(time) * this.getWaitFactor(time, meanRunMs);
  }

  /** Returns a new request's time from sending to response, as a multiple of its run time. */
  getWaitFactor(time: number, meanRunMs: number): number {
    const ahead = this.getRequests(time, meanRunMs);
    return 1 + Math.max(0, ahead + 1 - this.slots) / Math.max(1, this.slots);
  }

  /** Returns the part of the slots that is taken, which decides between equal completion times. */
  getOccupancy(time: number, meanRunMs: number): number {
    return this.getRequests(time, meanRunMs) / Math.max(1, this.slots);
  }

  private getMaxRequests(): number {
    return this.slots + (this.refusalLimit === undefined ? maxWaitingAtEndpoint : 0);
  }

  private getRequests(time: number, meanRunMs: number): number {
    return this.open + this.countUngranted(time, meanRunMs);
  }

  /** Requests without a grant leave at the rate at which the endpoint completes work, until the next report. */
  private countUngranted(time: number, meanRunMs: number): number {
    const age = time - this.reportedAt;
    if (this.ungranted === 0 || age > maxReportAgeMs) return 0;
    return Math.max(0, this.ungranted - age / this.getCompletionIntervalMs(time, meanRunMs));
  }

  private getCompletionIntervalMs(time: number, meanRunMs: number): number {
    return (meanRunMs * this.getPace(time)) / Math.max(1, this.slots);
  }
}

function isValid({ running, waiting, slots, pacePercent }: EndpointLoad): boolean {
  return isCount(running) && isCount(waiting) && isCount(slots) && isPlausiblePace(pacePercent);
}

function isCount(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}
