/**
 * Estimates how many endpoints the load of a service needs. Two figures are compared: the prompt tokens of the last seconds
 * that endpoints have to prefill, divided by what one endpoint prefills at the utilization that still keeps first events on time; and the
 * requests in progress, divided by the planned share of an endpoint's slots.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import type { SharedCounters } from "../counters/sharedCounters.js";
import { CounterKind } from "../limits/counterTypes.js";
import type { Service } from "../types.js";

/** Options of the estimate. */
export interface DemandEstimatorOptions {
  readonly clock: Clock;
  readonly counters: SharedCounters;
  /** Returns the prompt tokens that a service's engine prefills in a millisecond. */
  readonly getPrefillRate: (service: string) => number;
  /** Whether that rate has been measured, and is not the one assumed at the start. */
  readonly isRateLearned: (service: string) => boolean;
  /** Share of that rate at which an engine still responds on time. */
  readonly utilization: number;
  /** Endpoints of a data hall that are kept even without load. */
  readonly minEndpointsPerHall: number;
  /** Length of the window that load is counted over. */
  readonly windowMs: number;
  /** Returns the requests of a service that all instances have in flight. */
  readonly getActive: (service: string) => number;
}

/** Prompt tokens of a request. */
export interface PromptTokens {
  readonly prompt: number;
  /** Those of them that the chosen endpoint has cached. */
  readonly cached: number;
}

/** Share of an engine's slots to plan with: requests arrive in bursts, and none should wait for a slot. */
const maxSlotShare = 0.4;

/** Time for which the peak of the need is held after it has passed. */
const peakHoldMs = 15_000;
/** Time after which the observed load is a better estimate than the number of endpoints present. */
const warmupMs = 8_000;

interface Peak {
  needed: number;
  at: number;
}

/** Estimates the endpoints that every service needs. */
export class DemandEstimator {
  private readonly peaks = new Map<string, Peak>();
  private readonly loadSince = new Map<string, number>();

  private constructor(private readonly options: DemandEstimatorOptions) {}

  static create(options: DemandEstimatorOptions): DemandEstimator {
    return new DemandEstimator(options);
  }

  /**
   * Counts the prompt tokens of a request. Cached ones count by the share that has to be prefilled again after the loss of a data
   * hall, because the endpoints that are left must carry that load too until others have booted.
   */
  countPromptTokens({ name, scaling }: Service, { prompt, cached }: PromptTokens): void {
    const halls = Math.max(1, scaling?.hallPrices.size ?? 1);
    this.options.counters.add(CounterKind.PromptTokens, name, Math.round(prompt - cached + cached / halls));
  }

  /** Whether a service has had any load. */
  hasSeenLoad(service: string): boolean {
    return this.loadSince.has(service);
  }

  /** Returns the endpoints that a service needs. `present` is the number that it has in `halls` data halls. */
  getNeededEndpoints(service: Service, halls: number, present: number): number {
    const { clock, counters, getPrefillRate, isRateLearned, utilization, minEndpointsPerHall, windowMs } =
      this.options;
    const time = clock.getTime();
    const tokensPerMs = counters.getSum(CounterKind.PromptTokens, service.name) / windowMs;
    if (tokensPerMs > 0 && !this.loadSince.has(service.name)) this.loadSince.set(service.name, time);
    const isWarmedUp = time - (this.loadSince.get(service.name) ?? time) > warmupMs;
    // An assumed rate may be far off, so it is no reason to order endpoints until a rate has been measured.
    const isRateKnown = isWarmedUp || isRateLearned(service.name);
    const tokensPerEndpoint = getPrefillRate(service.name) * utilization;
    const forTokens = isRateKnown ? Math.ceil(tokensPerMs / tokensPerEndpoint) : 0;
    const forLoad = Math.max(forTokens, this.getNeededForSlots(service));
    // Until the load is known, the number of endpoints present is the operators' own estimate of it.
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
