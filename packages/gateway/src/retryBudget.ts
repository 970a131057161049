/**
 * The budget of arrivals past the first of each request, shared by all instances: a few are taken untold, the others are
 * decided by one arbiter for each service.
 * @module
 */
import { getIncarnationKey, type PeerIdentity } from "@gladewall/coordination";
import type { Arbiters } from "./arbiters.js";
import { GrantDecision } from "./memberMessages.js";
import { createRetryCall, type RetryReply, type RetryCallArguments } from "./retryLinks.js";
import { CounterKind, type SharedCounters } from "./sharedCounters.js";

/** Options of the budget. */
export interface RetryBudgetOptions {
  readonly counters: SharedCounters;
  /** Repeats allowed for each request of a window. */
  readonly ratio: number;
  /** Repeats of a window allowed beside these. */
  readonly slack: number;
  /** Returns the share of the fleet whose counts are known. */
  readonly getKnownShare: () => number;
  /** Who decides for the fleet; left out where there is one instance only. */
  readonly arbiters?: Pick<Arbiters, "find" | "call">;
  /** Whether an instance decides on repeats. */
  readonly supportsRetryCalls?: (name: string) => boolean;
  /** Name of this instance. */
  readonly own?: string;
  /** Returns the number of instances; one where it is left out. */
  readonly getFleetSize?: () => number;
}

/** Share of the budget that is given out; of the rest, a part is taken untold, and a part covers a change of arbiter. */
const grantedShare = 0.7;
const unreportedShare = 0.15;
/** Share of the budget up to which repeats are taken while the arbiter does not answer. */
const fallbackShare = 0.2;
/** Of the time that a request has left, an arbiter is waited for this share at most, and no longer than `longestWaitMs`. */
const arbiterWaitShare = 0.1;
const maxArbiterWaitMs = 100;

/** Gives repeats out. */
export class RetryBudget {
  private constructor(private readonly options: RetryBudgetOptions) {}

  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Counts a request of a service. */
  countRequest(service: string): void {
    this.options.counters.add(CounterKind.Requests, service, 1);
  }

  /** Takes one repeat by what is known here; false where the budget is spent. */
  tryTake(service: string): boolean {
    if (!this.hasCapacity(service, 1)) return false;
    this.options.counters.add(CounterKind.Retries, service, 1);
    return true;
  }

  /**
   * Takes one repeat of a request that has so much time left; false where the budget is spent. By what each knows alone, all
   * would take the same room when endpoints end under many requests at once.
   */
  async take(service: string, leftMs: number): Promise<boolean> {
    const { arbiters, supportsRetryCalls: isAble, own, counters } = this.options;
    const arbiter = arbiters?.find(service, isAble);
    const fitsUnreported =
      counters.getUnreported(CounterKind.Retries, service) + 1 <= this.getUnreportedAllowance(service);
    if (!arbiters || arbiter === undefined || arbiter === own || fitsUnreported) return this.tryTake(service);
    if (!this.hasCapacity(service, 1)) return false;
    counters.add(CounterKind.Retries, service, 1);
    const total = counters.getOwnTotal(CounterKind.Retries, service);
    const question = createRetryCall({ service, total, uptime: Math.round(counters.getUptime()) }, isAble);
    const reply = await arbiters.call(question, Math.min(maxArbiterWaitMs, leftMs * arbiterWaitShare));
    if (reply.isOk() && reply.value.word === GrantDecision.Granted) {
      counters.confirm(CounterKind.Retries, service, total);
      return true;
    }
    // Without a clear answer others may have taken the rest: only while little of the budget is taken it is enough.
    if (reply.isErr() && this.hasCapacity(service, 0, fallbackShare)) return true;
    counters.add(CounterKind.Retries, service, -1);
    return false;
  }

  /** Decides as the arbiter of a service on what a peer has taken in all. */
  decideForPeer(peer: PeerIdentity, { service, total, uptime }: RetryCallArguments): RetryReply {
    const early = { peer: peer.name, life: getIncarnationKey(peer), uptime, name: service, total };
    const { counters } = this.options;
    return {
      word: counters.applyTotal(CounterKind.Retries, early, (amount) => this.hasCapacity(service, amount)),
    };
  }

  private hasCapacity(service: string, amount: number, share = grantedShare): boolean {
    const { counters, getKnownShare } = this.options;
    const allowed = this.getTolerated(service) * share * getKnownShare();
    return counters.getSum(CounterKind.Retries, service) + amount <= allowed;
  }

  /** Repeats that this instance may have taken without anybody having been told. */
  private getUnreportedAllowance(service: string): number {
    return (this.getTolerated(service) * unreportedShare) / (this.options.getFleetSize?.() ?? 1);
  }

  private getTolerated(service: string): number {
    const { counters, ratio, slack } = this.options;
    return ratio * counters.getSum(CounterKind.Requests, service) + slack;
  }
}
