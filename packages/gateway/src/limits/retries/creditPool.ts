/**
 * Retries that instances have lent to this one, which grants them as the arbiter of a service to whoever needs them. An arbiter that
 * has just begun has none, so that it grants nothing of what another may have granted.
 * @module
 */
import { SlidingWindow } from "../../counters/slidingWindow.js";
import { type CreditBatch, RetryCredits } from "./retryCredits.js";

/** Why a request needs a retry. */
export enum RetryCause {
  /** It may have run, and its connection was lost. */
  Interrupted = 1,
  /** Its endpoint did not take it, or only its end is in doubt; its caller can come back without a loss. */
  Refused = 2,
}

/** Part of what was lent within a window that is left for interrupted requests. */
const reservedShare = 1 / 4;

interface ServicePool {
  readonly credits: RetryCredits;
  readonly lent: SlidingWindow;
}

/** The lent retries of all services. */
export class CreditPool {
  private readonly pools = new Map<string, ServicePool>();

  private constructor(private readonly windowMs: number) {}

  static create(windowMs: number): CreditPool {
    return new CreditPool(windowMs);
  }

  add(service: string, batch: CreditBatch, time: number): void {
    if (batch.lapsesAt <= time || !(batch.amount > 0)) return;
    let pool = this.pools.get(service);
    if (!pool) {
      pool = { credits: RetryCredits.create(), lent: SlidingWindow.create(this.windowMs) };
      this.pools.set(service, pool);
    }
    pool.credits.add(batch);
    pool.lent.add(time, batch.amount);
  }

  tryTake(service: string, cause: RetryCause, time: number): boolean {
    const pool = this.pools.get(service);
    if (!pool) return false;
    const reserved = cause === RetryCause.Refused ? pool.lent.getSum(time) * reservedShare : 0;
    return pool.credits.getTotal(time) - reserved >= 1 && pool.credits.tryTake(time);
  }

  /** Drops services of which nothing is left. */
  dropEmpty(time: number): void {
    for (const [service, { credits, lent }] of this.pools) {
      if (credits.getTotal(time) + lent.getSum(time) <= 0) this.pools.delete(service);
    }
  }
}
