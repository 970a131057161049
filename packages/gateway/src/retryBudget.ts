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
const usedShare = 0.7;
const untoldShare = 0.15;
/** Share of the budget up to which repeats are taken while the arbiter does not answer. */
const unansweredShare = 0.2;
/** Of the time that a request has left, an arbiter is waited for this share at most, and no longer than `longestWaitMs`. */
const waitedShare = 0.1;
const longestWaitMs = 100;

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
    if (!this.hasRoom(service, 1)) return false;
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
    const isUntold = counters.getUnreported(CounterKind.Retries, service) + 1 <= this.getUntoldPart(service);
    if (!arbiters || arbiter === undefined || arbiter === own || isUntold) return this.tryTake(service);
    if (!this.hasRoom(service, 1)) return false;
    counters.add(CounterKind.Retries, service, 1);
    const total = counters.getOwnTotal(CounterKind.Retries, service);
    const question = createRetryCall({ service, total, uptime: Math.round(counters.getUptime()) }, isAble);
    const answer = await arbiters.call(question, Math.min(longestWaitMs, leftMs * waitedShare));
    if (answer.isOk() && answer.value.word === GrantDecision.Granted) {
      counters.confirm(CounterKind.Retries, service, total);
      return true;
    }
    // Without a clear answer others may have taken the rest: only while little of the budget is taken it is enough.
    if (answer.isErr() && this.hasRoom(service, 0, unansweredShare)) return true;
    counters.add(CounterKind.Retries, service, -1);
    return false;
  }

  /** Decides as the arbiter of a service on what a peer has taken in all. */
  decideForPeer(peer: PeerIdentity, { service, total, uptime }: RetryCallArguments): RetryReply {
    const early = { peer: peer.name, life: getIncarnationKey(peer), uptime, name: service, total };
    const { counters } = this.options;
    return {
      word: counters.applyTotal(CounterKind.Retries, early, (amount) => this.hasRoom(service, amount)),
    };
  }

  private hasRoom(service: string, amount: number, share = usedShare): boolean {
    const { counters, getKnownShare } = this.options;
    const allowed = this.getBorne(service) * share * getKnownShare();
    return counters.getSum(CounterKind.Retries, service) + amount <= allowed;
  }

  /** Repeats that this instance may have taken without anybody having been told. */
  private getUntoldPart(service: string): number {
    return (this.getBorne(service) * untoldShare) / (this.options.getFleetSize?.() ?? 1);
  }

  private getBorne(service: string): number {
    const { counters, ratio, slack } = this.options;
    return ratio * counters.getSum(CounterKind.Requests, service) + slack;
  }
}
