/**
 * How many endpoints the load of a service needs: prompt tokens that came over the last seconds, against what one
 * endpoint reads at the utilization that still leaves first events in time; and requests under way, against its slots.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { CounterKind, type SharedCounters } from "./sharedCounters.js";
import type { Service } from "./types.js";

/** Options of the estimate. */
export interface DemandEstimatorOptions {
  readonly clock: Clock;
  readonly counters: SharedCounters;
  /** Returns the prompt tokens that a service's engine reads in a millisecond. */
  readonly getReadingRate: (service: string) => number;
  /** Whether that rate has been seen, and is not the one that is assumed at the start. */
  readonly isRateLearned: (service: string) => boolean;
  /** Share of that rate at which an engine still answers in time. */
  readonly utilization: number;
  /** Endpoints of a data hall that are kept without load. */
  readonly minEndpointsPerHall: number;
  /** Length of the window that load is counted over. */
  readonly windowMs: number;
  /** Returns the requests of a service that all instances have at its endpoints. */
  readonly getActive: (service: string) => number;
}

/** Share of an engine's slots that is planned with: requests come in clumps, and none should wait for a slot. */
const maxSlotShare = 0.4;

/** Time for which a need that has passed is still provided for. */
const peakHoldMs = 15_000;
/** Time after which the load seen says more than the number of endpoints that was found. */
const warmupMs = 8_000;

interface Peak {
  needed: number;
  at: number;
}

/** Estimates the need of every service. */
export class DemandEstimator {
  private readonly peaks = new Map<string, Peak>();
  private readonly loadSince = new Map<string, number>();

  private constructor(private readonly options: DemandEstimatorOptions) {}

  static create(options: DemandEstimatorOptions): DemandEstimator {
    return new DemandEstimator(options);
  }

  /** Counts the prompt tokens of a request. */
  countPromptTokens(service: string, tokens: number): void {
    this.options.counters.add(CounterKind.PromptTokens, service, tokens);
  }

  /** Whether any load of a service has been seen. */
  hasSeenLoad(service: string): boolean {
    return this.loadSince.has(service);
  }

  /** Returns the endpoints that a service needs, `present` of which are there over so many data halls. */
  getNeededEndpoints(service: Service, halls: number, present: number): number {
    const { clock, counters, getReadingRate, isRateLearned, utilization, minEndpointsPerHall, windowMs } =
      this.options;
    const time = clock.getTime();
    const tokensPerMs = counters.getSum(CounterKind.PromptTokens, service.name) / windowMs;
    if (tokensPerMs > 0 && !this.loadSince.has(service.name)) this.loadSince.set(service.name, time);
    const isWarmedUp = time - (this.loadSince.get(service.name) ?? time) > warmupMs;
    // An assumed rate may be far off: until engines have shown theirs, it is no reason to order any.
    const isRateKnown = isWarmedUp || isRateLearned(service.name);
    const tokensPerEndpoint = getReadingRate(service.name) * utilization;
    const forTokens = isRateKnown ? Math.ceil(tokensPerMs / tokensPerEndpoint) : 0;
    const forLoad = Math.max(forTokens, this.getNeededForSlots(service));
    // Until the load is known, the number that was found is the operators' own estimate of it.
    const minimum = isWarmedUp
      ? Math.ceil(halls * minEndpointsPerHall)
      : Math.max(present, Math.ceil(halls * minEndpointsPerHall));
    return this.holdPeak(service.name, Math.max(forLoad, minimum), time);
  }

  private getNeededForSlots({ name, engine }: Service): number {
    if (!engine) return 0;
    return Math.ceil(this.options.getActive(name) / (engine.slots * maxSlotShare));
  }

  private holdPeak(service: string, needed: number, time: number): number {
    const peak = this.peaks.get(service);
    if (peak && peak.needed > needed && time - peak.at < peakHoldMs) return peak.needed;
    this.peaks.set(service, { needed, at: time });
    return needed;
  }
}
