/**
 * How often endpoints of a service accept what this instance sends them now, to tell whether another attempt is worth a retry. While
 * they refuse most requests, a retry can only take the place of another request's first attempt, and its caller loses nothing by
 * coming back.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

interface Counts {
  accepted: number;
  refused: number;
  updatedAt: number;
}

const halfLifeMs = 1_000;
/** Acceptances assumed of a service of which nothing is known. */
const assumedAccepted = 2;
/** Share of accepted attempts below which a refused request is not sent again. */
const minAcceptedShare = 0.1;

/** Recent outcomes of attempts, by service. */
export class AcceptanceRates {
  private readonly counts = new Map<string, Counts>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): AcceptanceRates {
    return new AcceptanceRates(clock);
  }

  /** Records whether an endpoint accepted a request. */
  record(service: string, isAccepted: boolean): void {
    const counts = this.refresh(service);
    if (isAccepted) counts.accepted += 1;
    else counts.refused += 1;
  }

  /** Whether another attempt at an endpoint of the service is likely enough to be accepted. */
  isRetryWorthwhile(service: string): boolean {
    if (!this.counts.has(service)) return true;
    const { accepted, refused } = this.refresh(service);
    const likely = accepted + assumedAccepted;
    return likely >= minAcceptedShare * (likely + refused);
  }

  private refresh(service: string): Counts {
    const time = this.clock.getTime();
    let counts = this.counts.get(service);
    if (!counts) {
      counts = { accepted: 0, refused: 0, updatedAt: time };
      this.counts.set(service, counts);
    }
    const remaining = 2 ** ((counts.updatedAt - time) / halfLifeMs);
    counts.accepted *= remaining;
    counts.refused *= remaining;
    counts.updatedAt = time;
    return counts;
  }
}
