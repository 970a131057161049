/**
 * The requests that arrive at a simulated endpoint, counted against the limit that it advertises.
 * @module
 */
import { getAllowedArrivals, getMaxArrivals } from "@gladewall/standins";
import type { PermitScenario } from "./permitScenario.js";

/** Time after a change of the limit from which arrivals are counted. */
const checkedAfterMs = 1_000;
const millisecondsPerSecond = 1_000;

/** One request that arrived. */
export interface Arrival {
  readonly at: number;
  readonly isUrgent: boolean;
}

/** Arrivals in the order of time. */
export class ArrivalLog {
  private readonly arrivals: Arrival[] = [];

  private constructor(private readonly scenario: PermitScenario) {}

  static create(scenario: PermitScenario): ArrivalLog {
    return new ArrivalLog(scenario);
  }

  record(arrival: Arrival): void {
    this.arrivals.push(arrival);
  }

  /** Returns the counted arrivals under an advertised limit, as a share of that limit. */
  getAdmittedShare(
    { from, perSecond }: PermitScenario["advertised"][number],
    until: number,
    isCounted: (arrival: Arrival) => boolean,
  ): number {
    const counted = this.arrivals.filter(
      (one) => one.at >= from + checkedAfterMs && one.at < until && isCounted(one),
    );
    return counted.length / ((perSecond! * (until - from - checkedAfterMs)) / millisecondsPerSecond);
  }

  /** Returns the most arrivals of a window, as a share of the tolerated number. */
  getMaxShare(): number {
    const { advertised, endsAt } = this.scenario;
    const maxShares = advertised.map(({ from, perSecond }, index) => {
      const until = advertised[index + 1]?.from ?? endsAt;
      return perSecond === undefined ? 0 : this.getMaxWindowShare(perSecond, from + checkedAfterMs, until);
    });
    return Math.max(...maxShares);
  }

  private getMaxWindowShare(perSecond: number, from: number, until: number): number {
    const times = this.arrivals.map(({ at }) => at).filter((at) => at >= from && at < until);
    return getMaxArrivals(times) / getAllowedArrivals(perSecond);
  }
}
