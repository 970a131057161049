/**
 * Prefill rate of each service's engines (prompt tokens processed a millisecond), learned by this instance and reported by peers.
 *
 * An instance uses the median of its own rate and its peers', so that an instance that has just started has a rate at once and
 * outliers of one instance do not affect the others.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import { estimatePrefillRate, getMedian, type PrefillObservation } from "@gladewall/policy";

/** Learned rates by service; tokens a millisecond. */
export type RateReport = Readonly<Record<string, number>>;

/** Options of the rates. */
export interface PrefillRatesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Rate that is assumed until one has been learned; tokens a millisecond. */
  readonly initialRate: number;
}

/** Observations kept for a service: 64 give 2,016 pairs, which take some 0.3 ms to sort. */
const maxObservations = 64;
/** Observations between two estimates. */
const observationsPerEstimate = 8;
/** Time after which the rates of a peer that has sent no report since are forgotten. */
const peerLifetimeMs = 30_000;
/** Time for which a merged rate is cached, because it is read for every candidate of every request. */
const mergedLifetimeMs = 1_000;
/** Relative change from which a new rate is logged. */
const minLoggedChange = 0.1;

interface LearnedRate {
  readonly observations: PrefillObservation[];
  sinceEstimate: number;
  rate: number | undefined;
  loggedRate: number;
}

interface PeerRates {
  readonly rates: RateReport;
  readonly receivedAt: number;
}

/** Learns and merges prefill rates. */
export class PrefillRates {
  private readonly learned = new Map<string, LearnedRate>();
  private readonly peers = new Map<string, PeerRates>();
  /** Merged rates by service; undefined if none has been learned. */
  private readonly merged = new Map<string, number | undefined>();
  private mergedAt = -Infinity;

  private constructor(private readonly options: PrefillRatesOptions) {}

  static create(options: PrefillRatesOptions): PrefillRates {
    return new PrefillRates(options);
  }

  /** Rate of a service's engines; tokens a millisecond. */
  get(service: string): number {
    return this.find(service) ?? this.options.initialRate;
  }

  /** Whether this instance or a peer has learned the rate of a service's engines. */
  isLearned(service: string): boolean {
    return this.find(service) !== undefined;
  }

  /** Records a first event whose prompt was, as far as this instance knows, the only one in prefill at its engine. */
  note(service: string, observation: PrefillObservation): void {
    const learned = this.learned.get(service) ?? this.add(service);
    learned.observations.push(observation);
    if (learned.observations.length > maxObservations) learned.observations.shift();
    learned.sinceEstimate += 1;
    if (learned.sinceEstimate < observationsPerEstimate) return;
    learned.sinceEstimate = 0;
    learned.rate = estimatePrefillRate(learned.observations) ?? learned.rate;
    this.merged.clear();
    this.logChange(service, learned);
  }

  /** Rates that this instance has learned itself, for its peers. */
  createReport(): RateReport {
    const report: Record<string, number> = {};
    for (const [service, { rate }] of this.learned) {
      if (rate !== undefined) report[service] = Math.round(rate * 10) / 10;
    }
    return report;
  }

  /** Rates that this instance uses, for instances that receive reports only from it. */
  createView(): RateReport {
    const view: Record<string, number> = {};
    const peers = [...this.peers.values()].flatMap(({ rates }) => Object.keys(rates));
    for (const service of new Set([...this.learned.keys(), ...peers])) {
      const rate = this.find(service);
      if (rate !== undefined) view[service] = Math.round(rate * 10) / 10;
    }
    return view;
  }

  /** Merges the rates that a peer has learned. */
  mergePeer(peer: string, rates: RateReport): void {
    // A peer's first report counts at once; later ones change little and wait for the cache to expire.
    if (!this.peers.has(peer)) this.merged.clear();
    this.peers.set(peer, { rates, receivedAt: this.options.clock.getTime() });
  }

  private find(service: string): number | undefined {
    const time = this.options.clock.getTime();
    if (time - this.mergedAt > mergedLifetimeMs) {
      this.merged.clear();
      this.mergedAt = time;
    }
    if (!this.merged.has(service)) this.merged.set(service, this.merge(service));
    return this.merged.get(service);
  }

  private merge(service: string): number | undefined {
    const rates: number[] = [];
    const ownRate = this.learned.get(service)?.rate;
    if (ownRate !== undefined) rates.push(ownRate);
    const oldestAt = this.options.clock.getTime() - peerLifetimeMs;
    for (const [peer, report] of this.peers) {
      if (report.receivedAt < oldestAt) this.peers.delete(peer);
      else if (report.rates[service] !== undefined) rates.push(report.rates[service]);
    }
    return rates.length > 0 ? getMedian(rates) : undefined;
  }

  private add(service: string): LearnedRate {
    const { initialRate } = this.options;
    const learned: LearnedRate = {
      observations: [],
      sinceEstimate: 0,
      rate: undefined,
      loggedRate: initialRate,
    };
    this.learned.set(service, learned);
    return learned;
  }

  private logChange(service: string, learned: LearnedRate): void {
    const { rate, loggedRate, observations } = learned;
    if (rate === undefined || Math.abs(rate - loggedRate) < loggedRate * minLoggedChange) return;
    learned.loggedRate = rate;
    const fields = { service, rate: Math.round(rate * 10) / 10, observations: observations.length };
    this.options.logger.info("rate.learned", { ...fields, inUse: Math.round(this.get(service) * 10) / 10 });
  }
}
