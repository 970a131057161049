/**
 * Enforces this entry's share of a row's limits: two token buckets for the rates, and a count for concurrency.
 * The share is a part of the limit for the whole fleet. The caller sets it, and may change it at any time.
 * @module
 */
import { type Clock, Failure, FailureCode, TokenBucket } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";

/** The part of a row's limits that one entry may use. A limit of 0 admits no request. */
export interface RowShare {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrency: number;
}

/** Rate and concurrency limiter of one row in one entry. */
export class RowLimiter {
  private readonly requests: TokenBucket;
  private readonly tokens: TokenBucket;
  private active = 0;

  private constructor(
    clock: Clock,
    private readonly row: string,
    private share: RowShare,
  ) {
    this.requests = TokenBucket.create(clock, share.requestsPerSecond);
    this.tokens = TokenBucket.create(clock, share.tokensPerSecond);
  }

  static create(clock: Clock, row: string, share: RowShare): RowLimiter {
    return new RowLimiter(clock, row, share);
  }

  /** Changes the share. Requests that are already admitted are not affected. */
  setShare(share: RowShare): void {
    this.share = share;
    this.requests.setRate(share.requestsPerSecond);
    this.tokens.setRate(share.tokensPerSecond);
  }

  /** Returns the number of requests admitted and not yet released. */
  getActiveCount(): number {
    return this.active;
  }

  /**
   * Admits a request that costs `tokens`. Fails with `ConcurrencyExceeded`, `RateExceeded` or `TokensExceeded`;
   * the last two carry the time after which a retry may succeed.
   */
  tryAcquire(tokens: number): Result<void, Failure> {
    if (this.active >= this.share.concurrency)
      return Err(this.refuse(FailureCode.ConcurrencyExceeded, this.share.concurrency, undefined));
    if (!this.requests.tryTake(1)) {
      return Err(
        this.refuse(FailureCode.RateExceeded, this.share.requestsPerSecond, this.requests.getWaitMs(1)),
      );
    }
    if (!this.tokens.tryTake(tokens)) {
      this.requests.refund(1);
      return Err(
        this.refuse(FailureCode.TokensExceeded, this.share.tokensPerSecond, this.tokens.getWaitMs(tokens)),
      );
    }
    this.active += 1;
    return Ok.EMPTY;
  }

  /** Releases an admitted request and refunds `unusedTokens`, which it was charged for and did not use. */
  release(unusedTokens: number): void {
    this.active -= 1;
    if (unusedTokens > 0) this.tokens.refund(unusedTokens);
  }

  private refuse(code: FailureCode, limit: number, wait: number | undefined): Failure {
    return Failure.create(code, { row: this.row, limit }, wait);
  }
}
