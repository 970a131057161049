/**
 * Limits the calls that this process makes to the key-value service to its part of the service's rate limit. Calls
 * of a more urgent kind go first; a call that has waited too long fails with `ServiceBudgetSpent`, without reaching
 * the service.
 * @module
 */
import { type Clock, Failure, FailureCode, type Metrics, TokenBucket } from "@gladewall/kernel";
import { Err, type Result } from "ts-results-es";
import type { GrantedLease, KeyValueService, StoredValue } from "./types.js";

/** Kinds of call, most urgent first. */
export enum CallKind {
  Lease = 1,
  Claim = 2,
  Configuration = 3,
  Other = 4,
}

const kindNames: Readonly<Record<CallKind, string>> = {
  [CallKind.Lease]: "lease",
  [CallKind.Claim]: "claim",
  [CallKind.Configuration]: "configuration",
  [CallKind.Other]: "other",
};

/** Minimum milliseconds between two checks of the waiting calls. */
const minPauseMs = 1;

interface WaitingCall {
  readonly kind: CallKind;
  readonly settle: (isGranted: boolean) => void;
}

/** Call budget, shared by all users of the service in a process. */
export class ServiceBudget {
  private readonly bucket: TokenBucket;
  private waiting: WaitingCall[] = [];
  private isScheduled = false;

  private constructor(
    private readonly clock: Clock,
    rate: number,
    private readonly maxWaitMs: number,
    private readonly metrics: Metrics,
  ) {
    this.bucket = TokenBucket.create(clock, rate);
  }

  /** `rate`: calls per second; `maxWaitMs`: maximum milliseconds that a call waits. */
  static create(clock: Clock, rate: number, maxWaitMs: number, metrics: Metrics): ServiceBudget {
    return new ServiceBudget(clock, rate, maxWaitMs, metrics);
  }

  /** Returns the service with each call subject to the budget, as a call of one kind. */
  wrap(service: KeyValueService, kind: CallKind): KeyValueService {
    return BudgetedService.create(service, this, kind);
  }

  /** Waits until a call may be made; resolves to false if it has waited too long. */
  acquire(kind: CallKind): Promise<boolean> {
    if (this.waiting.length === 0 && this.bucket.tryTake(1)) {
      this.count(kind);
      return Promise.resolve(true);
    }
    return new Promise((resolve) => {
      const waiting: WaitingCall = { kind, settle };
      const timer = this.clock.startTimer(this.maxWaitMs, () => {
        this.waiting = this.waiting.filter((other) => other !== waiting);
        resolve(false);
      });
      function settle(isGranted: boolean): void {
        timer.cancel();
        resolve(isGranted);
      }
      const position = this.waiting.findIndex((other) => other.kind > kind);
      this.waiting.splice(position < 0 ? this.waiting.length : position, 0, waiting);
      this.scheduleNext();
    });
  }

  private count(kind: CallKind): void {
    const help = "Calls on the key-value service.";
    this.metrics.getCounter("gladewall_service_calls_total", help, { kind: kindNames[kind] }).add();
  }

  private scheduleNext(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.clock.startTimer(Math.max(minPauseMs, this.bucket.getWaitMs(1) ?? minPauseMs), () => {
      this.isScheduled = false;
      this.serveWaiting();
    });
  }

  private serveWaiting(): void {
    while (this.waiting.length > 0 && this.bucket.tryTake(1)) {
      const next = this.waiting.shift();
      if (!next) return;
      this.count(next.kind);
      next.settle(true);
    }
    if (this.waiting.length > 0) this.scheduleNext();
  }
}

/** Key-value service whose calls are subject to the budget. */
class BudgetedService implements KeyValueService {
  private constructor(
    private readonly service: KeyValueService,
    private readonly budget: ServiceBudget,
    private readonly kind: CallKind,
  ) {}

  static create(service: KeyValueService, budget: ServiceBudget, kind: CallKind): BudgetedService {
    return new BudgetedService(service, budget, kind);
  }

  read(key: string): Promise<Result<StoredValue | undefined, Failure>> {
    return this.callWithinBudget(() => this.service.read(key));
  }

  compareAndSwap(key: string, value: Uint8Array, expected: number): Promise<Result<number, Failure>> {
    return this.callWithinBudget(() => this.service.compareAndSwap(key, value, expected));
  }

  watch(
    key: string,
    revision: number,
    wait: number,
    signal: AbortSignal,
  ): Promise<Result<StoredValue | undefined, Failure>> {
    return this.callWithinBudget(() => this.service.watch(key, revision, wait, signal));
  }

  acquireLease(
    name: string,
    holder: string,
    ttl: number,
  ): Promise<Result<GrantedLease | undefined, Failure>> {
    return this.callWithinBudget(() => this.service.acquireLease(name, holder, ttl));
  }

  renewLease(session: string): Promise<Result<void, Failure>> {
    return this.callWithinBudget(() => this.service.renewLease(session));
  }

  releaseLease(session: string): Promise<Result<void, Failure>> {
    return this.callWithinBudget(() => this.service.releaseLease(session));
  }

  /** Does nothing: the underlying service is closed by its owner. */
  close(): Promise<void> {
    return Promise.resolve();
  }

  private async callWithinBudget<T>(call: () => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
    const isGranted = await this.budget.acquire(this.kind);
    return isGranted ? call() : Err(Failure.create(FailureCode.ServiceBudgetSpent));
  }
}
