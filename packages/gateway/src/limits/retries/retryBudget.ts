/**
 * Budget of retries, which all instances share. A retry is every arrival of a request at an endpoint after the first.
 *
 * Requests and time earn retries at the instance that serves the requests; what it does not keep it lends to the arbiter of the
 * service, which grants it to whoever needs more. Each retry that is taken was earned within the last window and is taken once, so
 * that the bound holds whatever is late, lost or killed: nothing is decided by what is known of others.
 * @module
 */
import type { Clock } from "@gladewall/kernel";
import { GrantDecision } from "../grantDecision.js";
import type { SharedCounters } from "../../counters/sharedCounters.js";
import { CounterKind } from "../counterTypes.js";
import type { Arbiters } from "../arbiters.js";
import { CreditPool, RetryCause } from "./creditPool.js";
import { FleetSizePeak } from "./fleetSizePeak.js";
import {
  createLoan,
  createRetryCall,
  type Loans,
  type RetryCallArguments,
  type RetryReply,
} from "./retryLinks.js";
import { ServiceCredits } from "./serviceCredits.js";

/** How a retry was decided on. The names are written to logs. */
export enum RetryDecision {
  /** Paid by what this instance has earned. */
  Own = 1,
  /** Paid by what others have earned. */
  Granted = 2,
  /** Nothing is left. */
  Exhausted = 3,
  /** Nothing is left here, and no arbiter replied in time. */
  Undecided = 4,
}

/** Whether a decision allows the retry. */
export function isRetryTaken(decision: RetryDecision): boolean {
  return decision === RetryDecision.Own || decision === RetryDecision.Granted;
}

/** Lends retries to arbiters. */
export interface RetryLender {
  supportsLoans(name: string): boolean;
  canLend(name: string): boolean;
  lend(name: string, loans: Loans): void;
}

/** Options of the budget. */
export interface RetryBudgetOptions {
  readonly clock: Clock;
  /** Counts requests and retries, for metrics and for builds that decide by sums. */
  readonly counters: Pick<SharedCounters, "add" | "getOwnTotal" | "getUptime">;
  readonly windowMs: number;
  /** Retries allowed for each request of a window. */
  readonly ratio: number;
  /** Retries of a window allowed in addition. */
  readonly slack: number;
  /** Returns the number of instances; undefined while it may be growing. */
  readonly findFleetSize: () => number | undefined;
  /** Selects the arbiters; omitted if there is only one instance. */
  readonly arbiters?: Pick<Arbiters, "find" | "call">;
  readonly lender?: RetryLender;
  /** Name of this instance. */
  readonly ownName?: string;
}

/** A request that needs a retry. */
export interface RetryNeed {
  readonly cause: RetryCause;
  /** Time that the request has left, milliseconds. */
  readonly leftMs: number;
}

/** Largest share of a request's remaining time to wait for an arbiter; `maxArbiterWaitMs` bounds it as well. */
const arbiterWaitShare = 0.1;
const maxArbiterWaitMs = 250;
/** Time between the grant of a lent retry and its arrival at an endpoint at most, for which it is lent shorter. */
const settlingMs = maxArbiterWaitMs + 100;
/** What is earned is lent this many times in a window. */
const loansPerWindow = 10;

/** Grants retries. */
export class RetryBudget {
  private readonly services = new Map<string, ServiceCredits>();
  private readonly pool: CreditPool;
  private readonly fleetSize: FleetSizePeak;
  private readonly startedAt: number;
  private lentAt: number;
  /** This instance's part of the retries allowed in addition; undefined until the size of the fleet is known. */
  private slackPerWindow: number | undefined;

  private constructor(private readonly options: RetryBudgetOptions) {
    const { clock, windowMs } = options;
    this.startedAt = clock.getTime();
    this.lentAt = this.startedAt;
    this.pool = CreditPool.create(windowMs);
    this.fleetSize = FleetSizePeak.create(windowMs);
  }

  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Whether the size of the fleet is known, so that this instance's part of the slack is. */
  get isFleetKnown(): boolean {
    return this.slackPerWindow !== undefined;
  }

  /** Counts a request of a service. */
  countRequest(service: string): void {
    this.options.counters.add(CounterKind.Requests, service, 1);
    this.getCredits(service).addRequest(this.options.clock.getTime());
  }

  /** Takes one retry for a request. */
  async take(service: string, need: RetryNeed): Promise<RetryDecision> {
    const decision = await this.decide(service, need);
    if (isRetryTaken(decision)) this.options.counters.add(CounterKind.Retries, service, 1);
    return decision;
  }

  /** Adds what time has earned, and lends what this instance does not keep; called before each report. */
  refresh(): void {
    const { clock, windowMs, slack, findFleetSize } = this.options;
    const time = clock.getTime();
    const size = findFleetSize();
    if (size !== undefined) this.slackPerWindow = slack / this.fleetSize.record(size, time);
    for (const credits of this.services.values()) {
      if (this.slackPerWindow !== undefined && credits.isUsed(time))
        credits.refresh(this.slackPerWindow, time);
    }
    if (time - this.lentAt < windowMs / loansPerWindow) return;
    this.lentAt = time;
    this.lend(time);
    this.pool.dropEmpty(time);
  }

  /** Takes retries that a peer has earned; they lapse after `lapsesInMs`. */
  addLoan(service: string, amount: number, lapsesInMs: number): void {
    const { clock, windowMs } = this.options;
    const time = clock.getTime();
    this.pool.add(service, { amount, lapsesAt: time + Math.min(windowMs, lapsesInMs) }, time);
  }

  /** Decides as the arbiter of a service whether a peer may take one more retry. */
  decideForPeer({ service, cause = RetryCause.Refused }: RetryCallArguments): RetryReply {
    const isGranted = this.pool.tryTake(service, cause, this.options.clock.getTime());
    return { word: isGranted ? GrantDecision.Granted : GrantDecision.Refused };
  }

  private async decide(service: string, { cause, leftMs }: RetryNeed): Promise<RetryDecision> {
    const { clock, arbiters, ownName, lender, counters } = this.options;
    const time = clock.getTime();
    const credits = this.getCredits(service);
    if (this.slackPerWindow !== undefined) credits.refresh(this.slackPerWindow, time);
    if (credits.tryTake(time)) return RetryDecision.Own;
    if (this.pool.tryTake(service, cause, time)) return RetryDecision.Granted;
    if (!arbiters || !lender) return RetryDecision.Exhausted;
    const supportsCall = (name: string): boolean => lender.supportsLoans(name);
    if (arbiters.find(service, supportsCall) === ownName) return RetryDecision.Exhausted;
    const total = counters.getOwnTotal(CounterKind.Retries, service) + 1;
    const uptime = Math.round(counters.getUptime());
    const call = createRetryCall({ service, total, uptime, cause }, supportsCall);
    const reply = await arbiters.call(call, Math.min(maxArbiterWaitMs, leftMs * arbiterWaitShare));
    if (reply.isErr()) return RetryDecision.Undecided;
    const isGranted = reply.value.word === GrantDecision.Granted;
    // A process that stood still may read a reply long after the retry has lapsed.
    const isLate = clock.getTime() - time > settlingMs;
    return isGranted && !isLate ? RetryDecision.Granted : RetryDecision.Exhausted;
  }

  private lend(time: number): void {
    const { arbiters, lender, ownName } = this.options;
    if (!arbiters || !lender) return;
    const loansByArbiter = new Map<string, Record<string, readonly [number, number]>>();
    for (const [service, credits] of this.services) {
      const arbiter = arbiters.find(service, (name) => lender.supportsLoans(name));
      const isOwn = arbiter === ownName;
      if (arbiter === undefined || (!isOwn && !lender.canLend(arbiter))) continue;
      const loan = credits.takeLoan(time);
      if (!loan) continue;
      const batch = { ...loan, lapsesAt: loan.lapsesAt - settlingMs };
      if (isOwn) {
        this.pool.add(service, batch, time);
        continue;
      }
      const loans = loansByArbiter.get(arbiter) ?? {};
      loans[service] = createLoan(batch, time);
      loansByArbiter.set(arbiter, loans);
    }
    for (const [arbiter, loans] of loansByArbiter) lender.lend(arbiter, loans);
  }

  private getCredits(service: string): ServiceCredits {
    let credits = this.services.get(service);
    if (!credits) {
      const { windowMs, ratio } = this.options;
      credits = ServiceCredits.create({ windowMs, ratio, startedAt: this.startedAt });
      this.services.set(service, credits);
    }
    return credits;
  }
}
